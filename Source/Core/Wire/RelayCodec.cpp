#include "Wire/RelayCodec.h"

#include "Wire/Fields.h"
#include "Wire/FlatMessage.h"
#include "Wire/Relay.capnp.h"

namespace Wire {

namespace {

    namespace Schema = RelaySchema;
    using Common::Milliseconds;

    constexpr double notSaid = -1;

    void write(Schema::Refusal::Builder out, const Relay::Refusal& refusal)
    {
        out.setReason(toNumber(refusal.error.reason));
        out.setStep(toText(refusal.error.step));
        out.setPeer(toText(refusal.error.peer));
        out.setMessage(toText(refusal.error.message));
        out.setHasNotRun(refusal.hasNotRun);
        out.setRetryAfterMs(refusal.retryAfter.value());
    }

    Relay::Answer read(Schema::Answer::Reader in)
    {
        if (in.isMerged()) {
            Relay::Merged merged;
            for (auto signature : in.getMerged().getSignatures())
                merged.signatures.push_back(fromText(signature));
            for (auto missing : in.getMerged().getMissing())
                merged.missing.push_back({ missing.getPlace(), missing.getRan() });
            merged.body = fromData(in.getMerged().getBody());
            return merged;
        }
        auto refusal = in.getRefusal();
        return Relay::Refusal { { fromNumber(refusal.getReason(), Common::Reason::Internal),
                                    fromText(refusal.getStep()), fromText(refusal.getPeer()),
                                    fromText(refusal.getMessage()) },
            refusal.getHasNotRun(), Milliseconds(refusal.getRetryAfterMs()) };
    }

} // namespace

std::string encode(const Relay::DelegatedCall& delegated)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::Call>();
    const Relay::Call& call = *delegated.call;
    out.setFormatVersion(formatVersion);
    out.setTableNumber(delegated.table.value());
    out.setWaitedMs(delegated.waited.value());
    out.setId(toText(call.id));
    out.setHost(toText(call.host));
    out.setMayMiss(static_cast<uint16_t>(delegated.mayMiss));
    auto groups = out.initGroups(static_cast<unsigned>(delegated.groups.size()));
    for (unsigned i = 0; i < groups.size(); ++i)
        groups.set(i, static_cast<uint16_t>(delegated.groups[i]));
    out.setTimeLeftMs(call.timeLeft ? call.timeLeft->value() : notSaid);
    out.setMethod(toText(call.method));
    out.setTarget(toText(call.target));
    out.setBody(toData(call.body));
    auto fields = out.initFields(static_cast<unsigned>(call.fields.size()));
    for (unsigned i = 0; i < fields.size(); ++i) {
        fields[i].setName(toText(call.fields[i].first));
        fields[i].setValue(toText(call.fields[i].second));
    }
    return flatBytes(message);
}

Common::Result<Relay::DelegatedCall> decodeDelegatedCall(std::string_view bytes)
{
    return readFlatMessage<Schema::Call>(bytes, [](Schema::Call::Reader in) {
        auto call = std::make_shared<Relay::Call>();
        call->id = fromText<Common::RequestId>(in.getId());
        call->host = fromText(in.getHost());
        if (in.getTimeLeftMs() >= 0)
            call->timeLeft = Milliseconds(in.getTimeLeftMs());
        call->method = fromText(in.getMethod());
        call->target = fromText(in.getTarget());
        call->body = fromData(in.getBody());
        for (auto field : in.getFields())
            call->fields.emplace_back(fromText(field.getName()), fromText(field.getValue()));
        call->path = call->target.substr(0, call->target.find('?'));
        std::vector<size_t> groups;
        for (auto group : in.getGroups())
            groups.push_back(group);
        return Relay::DelegatedCall { Common::TableNumber(in.getTableNumber()), Milliseconds(in.getWaitedMs()),
            std::move(groups), in.getMayMiss(), std::move(call) };
    });
}

std::string encode(const Relay::Answer& answer)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::Answer>();
    out.setFormatVersion(formatVersion);
    if (auto merged = std::get_if<Relay::Merged>(&answer)) {
        auto part = out.initMerged();
        auto missing = part.initMissing(static_cast<unsigned>(merged->missing.size()));
        for (unsigned i = 0; i < missing.size(); ++i) {
            missing[i].setPlace(static_cast<uint16_t>(merged->missing[i].place));
            missing[i].setRan(static_cast<uint16_t>(merged->missing[i].ran));
        }
        part.setBody(toData(merged->body));
        auto signatures = part.initSignatures(static_cast<unsigned>(merged->signatures.size()));
        for (unsigned i = 0; i < signatures.size(); ++i)
            signatures.set(i, toText(merged->signatures[i]));
    } else if (auto refusal = std::get_if<Relay::Refusal>(&answer)) {
        write(out.initRefusal(), *refusal);
    } else {
        auto error = Common::makeError(Common::Reason::Internal, "gather", "no answer for another instance");
        write(out.initRefusal(), { error, false, Milliseconds(0) });
    }
    return flatBytes(message);
}

Common::Result<Relay::Answer> decodeAnswer(std::string_view bytes)
{
    return readFlatMessage<Schema::Answer>(bytes, [](Schema::Answer::Reader in) { return read(in); });
}

} // namespace Wire
