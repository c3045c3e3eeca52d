#include "Wire/RelayCodec.h"

#include "Wire/Fields.h"
#include "Wire/FlatMessage.h"
#include "Wire/Relay.capnp.h"

#include <cmath>

namespace Wire {

namespace {

    namespace Schema = RelaySchema;
    using Common::Milliseconds;

    constexpr double unknownTimeLeft = -1; // Encoded for a call without a deadline.

    void write(Schema::Refusal::Builder out, const Relay::Refusal& refusal)
    {
        out.setReason(toNumber(refusal.error.reason));
        out.setStep(toText(refusal.error.step));
        out.setPeer(toText(refusal.error.peer));
        out.setMessage(toText(refusal.error.message));
        out.setHasNotRun(refusal.hasNotRun);
        out.setRetryAfterMs(refusal.retryAfter.value());
    }

    void write(Schema::Call::Builder out, const Relay::DelegatedCall& delegated)
    {
        const Relay::Call& call = *delegated.call;
        out.setTableNumber(delegated.table.value());
        out.setWaitedMs(delegated.waited.value());
        out.setBundle(delegated.bundle.number);
        out.setIncarnation(delegated.bundle.requester.value());
        if (delegated.objectiveIn)
            out.setObjectiveInMs(delegated.objectiveIn->value());
        out.setId(toText(call.id));
        out.setHost(toText(call.host));
        out.setTimeLeftMs(call.timeLeft ? call.timeLeft->value() : unknownTimeLeft);
        out.setMethod(toText(call.method));
        out.setTarget(toText(call.target));
        out.setBody(toData(call.body));
        out.setContentHigh(call.keys.content.high);
        out.setContentLow(call.keys.content.low);
        out.setRequestHigh(call.keys.request.high);
        out.setRequestLow(call.keys.request.low);
        out.setPatternHigh(call.keys.pattern.high);
        out.setPatternLow(call.keys.pattern.low);
        if (call.tenant)
            out.setTenant(toText(*call.tenant));
        auto groups = out.initGroups(static_cast<unsigned>(delegated.groups.size()));
        for (unsigned i = 0; i < groups.size(); ++i)
            groups.set(i, static_cast<uint16_t>(delegated.groups[i]));
        auto fields = out.initFields(static_cast<unsigned>(call.fields.size()));
        for (unsigned i = 0; i < fields.size(); ++i) {
            fields[i].setName(toText(call.fields[i].first));
            fields[i].setValue(toText(call.fields[i].second));
        }
    }

    Relay::DelegatedCall read(Schema::Call::Reader in)
    {
        auto call = std::make_shared<Relay::Call>();
        call->id = fromText<Common::RequestId>(in.getId());
        call->host = fromText(in.getHost());
        if (in.getTimeLeftMs() >= 0)
            call->timeLeft = Milliseconds(in.getTimeLeftMs());
        call->method = fromText(in.getMethod());
        call->target = fromText(in.getTarget());
        call->path = call->target.substr(0, call->target.find('?'));
        call->body = fromData(in.getBody());
        for (auto field : in.getFields())
            call->fields.emplace_back(fromText(field.getName()), fromText(field.getValue()));
        call->keys = { { in.getRequestHigh(), in.getRequestLow() }, { in.getContentHigh(), in.getContentLow() },
            { in.getPatternHigh(), in.getPatternLow() } };
        if (call->keys.request == Common::ContentDigest())
            call->keys = Relay::keysOf(*call);
        if (in.hasTenant())
            call->tenant = fromText<Common::TenantName>(in.getTenant());
        Relay::DelegatedCall delegated;
        delegated.bundle = { Common::Incarnation(in.getIncarnation()), in.getBundle() };
        if (in.getObjectiveInMs() >= 0)
            delegated.objectiveIn = Milliseconds(in.getObjectiveInMs());
        delegated.table = Common::TableNumber(in.getTableNumber());
        delegated.waited = Milliseconds(in.getWaitedMs());
        for (auto group : in.getGroups())
            delegated.groups.push_back(group);
        delegated.call = std::move(call);
        return delegated;
    }

    Relay::Answer read(Schema::Answer::Reader in)
    {
        if (in.isMerged()) {
            Relay::Merged merged;
            for (auto signature : in.getMerged().getSignatures())
                merged.signatures.push_back(fromText(signature));
            for (auto missing : in.getMerged().getMissing())
                merged.missing.push_back({ missing.getPlace(), missing.getIsPending() });
            merged.body = fromData(in.getMerged().getBody());
            return merged;
        }
        auto refusal = in.getRefusal();
        return Relay::Refusal { { fromNumber(refusal.getReason(), Common::lastReason), fromText(refusal.getStep()),
                                    fromText(refusal.getPeer()), fromText(refusal.getMessage()) },
            refusal.getHasNotRun(), Milliseconds(refusal.getRetryAfterMs()) };
    }

    Relay::TenantRateClaim read(Schema::TenantRateClaim::Reader in)
    {
        Routes::Quota quota { Common::RequestRate(in.getPerSecond()), in.getBurst() };
        bool isValid = std::isfinite(quota.rate.value()) && quota.rate.value() > 0 && std::isfinite(quota.burst)
            && quota.burst >= 0;
        require(isValid, "the quota is no positive rate");
        return { fromText<Common::TenantName>(in.getTenant()), { quota, Common::TableNumber(in.getTableNumber()) },
            in.getWanted() };
    }

    Relay::BundleRequest readBundleRequest(Schema::Request::Reader in)
    {
        Relay::BundleRequest request;
        request.requester = fromText<Common::Address>(in.getAsker());
        if (in.isCall()) {
            request.body = read(in.getCall());
            return request;
        }
        require(in.isResume(), "the request is for no bundle");
        auto resume = in.getResume();
        request.body = Relay::ResumeBundle { { Common::Incarnation(resume.getIncarnation()), resume.getBundle() },
            fromText<Common::RequestId>(resume.getCall()), resume.getNeeded() };
        return request;
    }

} // namespace

std::string encode(const Relay::BundleRequest& request)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::Request>();
    out.setFormatVersion(formatVersion);
    out.setAsker(toText(request.requester));
    if (auto call = std::get_if<Relay::DelegatedCall>(&request.body)) {
        write(out.initCall(), *call);
    } else {
        auto& resume = std::get<Relay::ResumeBundle>(request.body);
        auto part = out.initResume();
        part.setBundle(resume.bundle.number);
        part.setIncarnation(resume.bundle.requester.value());
        part.setCall(toText(resume.call));
        part.setNeeded(static_cast<uint16_t>(resume.needed));
    }
    return serializeFlat(message);
}

std::string encode(const Relay::CancelBundle& request)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::Request>();
    out.setFormatVersion(formatVersion);
    out.setAsker(toText(request.requester));
    auto cancel = out.initCancel();
    cancel.setBundle(request.bundle.number);
    cancel.setIncarnation(request.bundle.requester.value());
    cancel.setCall(toText(request.call));
    return serializeFlat(message);
}

Common::Result<RelayRequest> decodeRelayRequest(std::string_view bytes)
{
    return readFlatMessage<Schema::Request>(bytes, [](Schema::Request::Reader in) -> RelayRequest {
        if (in.isCancel()) {
            auto cancel = in.getCancel();
            return Relay::CancelBundle { fromText<Common::Address>(in.getAsker()),
                { Common::Incarnation(cancel.getIncarnation()), cancel.getBundle() },
                fromText<Common::RequestId>(cancel.getCall()) };
        }
        if (in.isTenantRate())
            return read(in.getTenantRate());
        if (!in.isRate())
            return readBundleRequest(in);
        auto claim = in.getRate();
        return Limits::RateClaim { fromText<Common::BackendServerId>(claim.getServer()),
            Common::Incarnation(claim.getIncarnation()), Common::RequestRate(claim.getPerSecond()),
            Milliseconds(claim.getAgeMs()), claim.getWanted() };
    });
}

std::string encode(const Limits::RateClaim& claim)
{
    capnp::MallocMessageBuilder message;
    auto request = message.initRoot<Schema::Request>();
    request.setFormatVersion(formatVersion);
    auto out = request.initRate();
    out.setServer(toText(claim.server));
    out.setIncarnation(claim.incarnation.value());
    out.setPerSecond(claim.rate.value());
    out.setAgeMs(claim.age.value());
    out.setWanted(static_cast<uint16_t>(claim.wanted));
    return serializeFlat(message);
}

std::string encode(const Relay::TenantRateClaim& claim)
{
    capnp::MallocMessageBuilder message;
    auto request = message.initRoot<Schema::Request>();
    request.setFormatVersion(formatVersion);
    auto out = request.initTenantRate();
    out.setTenant(toText(claim.tenant));
    out.setTableNumber(claim.quota.table.value());
    out.setPerSecond(claim.quota.quota.rate.value());
    out.setBurst(claim.quota.quota.burst);
    out.setWanted(static_cast<uint16_t>(claim.wanted));
    return serializeFlat(message);
}

std::string encode(const Limits::RateGrant& grant)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::RateGrant>();
    out.setFormatVersion(formatVersion);
    out.setTokens(static_cast<uint16_t>(grant.tokens));
    out.setRetryInMs(grant.retryIn.value());
    out.setClosedForMs(grant.closedFor.value());
    out.setIsKeeper(grant.isKeeper);
    out.setIncarnation(grant.incarnation.value());
    return serializeFlat(message);
}

Common::Result<Limits::RateGrant> decodeRateGrant(std::string_view bytes)
{
    return readFlatMessage<Schema::RateGrant>(bytes, [](Schema::RateGrant::Reader in) {
        double closedFor = in.getClosedForMs() >= 0 ? in.getClosedForMs() : in.getRetryInMs();
        return Limits::RateGrant { in.getTokens(), Milliseconds(in.getRetryInMs()), Milliseconds(closedFor),
            in.getIsKeeper(), Common::Incarnation(in.getIncarnation()) };
    });
}

std::string encode(const Relay::BundleAnswer& answer)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::Answer>();
    out.setFormatVersion(formatVersion);
    out.setCall(toText(answer.call));
    out.setTookMs(answer.took.value());
    if (auto merged = std::get_if<Relay::Merged>(&answer.answer)) {
        auto part = out.initMerged();
        auto missing = part.initMissing(static_cast<unsigned>(merged->missing.size()));
        for (unsigned i = 0; i < missing.size(); ++i) {
            missing[i].setPlace(static_cast<uint16_t>(merged->missing[i].place));
            missing[i].setIsPending(merged->missing[i].isPending);
        }
        part.setBody(toData(merged->body));
        auto signatures = part.initSignatures(static_cast<unsigned>(merged->signatures.size()));
        for (unsigned i = 0; i < signatures.size(); ++i)
            signatures.set(i, toText(merged->signatures[i]));
    } else if (auto refusal = std::get_if<Relay::Refusal>(&answer.answer)) {
        write(out.initRefusal(), *refusal);
    } else {
        auto error = Common::makeError(Common::Reason::Internal, "gather", "this kind of answer has no encoding");
        write(out.initRefusal(), { error, false, Milliseconds(0) });
    }
    return serializeFlat(message);
}

Common::Result<Relay::BundleAnswer> decodeBundleAnswer(std::string_view bytes)
{
    return readFlatMessage<Schema::Answer>(bytes, [](Schema::Answer::Reader in) {
        return Relay::BundleAnswer { read(in), fromText<Common::RequestId>(in.getCall()),
            Milliseconds(in.getTookMs()) };
    });
}

} // namespace Wire
