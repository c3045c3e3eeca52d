#include "Wire/MessageCodec.h"

#include "Wire/CommandStructs.h"
#include "Wire/Fields.h"
#include "Wire/FlatMessage.h"
#include "Wire/ResourceStructs.h"

namespace Wire {

namespace {

    using Common::Incarnation;
    using Common::InstanceId;
    using Common::Revision;
    using Wire::read;
    using Wire::write;

    void write(ControlSchema::LiveListNumber::Builder out, const Control::LiveListNumber& number)
    {
        out.setTerm(number.term.value());
        out.setNumber(number.number);
    }

    Control::LiveListNumber read(ControlSchema::LiveListNumber::Reader in)
    {
        return { Common::Term(in.getTerm()), in.getNumber() };
    }

    template <typename Id> void writeIds(capnp::List<capnp::Text>::Builder out, const std::vector<Id>& ids)
    {
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, toText(ids[i]));
    }

    template <typename Id = InstanceId> std::vector<Id> readIds(capnp::List<capnp::Text>::Reader in)
    {
        std::vector<Id> ids;
        ids.reserve(in.size());
        for (auto id : in)
            ids.push_back(fromText<Id>(id));
        return ids;
    }

    void write(ControlSchema::LiveChanges::Builder out, const Control::LiveChanges& changes)
    {
        out.setWhole(changes.whole);
        write(out.initNumber(), changes.number);
        auto joined = out.initJoined(changes.joined.size());
        for (unsigned i = 0; i < joined.size(); ++i)
            write(joined[i], changes.joined[i]);
        writeIds(out.initLeft(changes.left.size()), changes.left);
    }

    Control::LiveChanges read(ControlSchema::LiveChanges::Reader in)
    {
        Control::LiveChanges changes { in.getWhole(), read(in.getNumber()), {}, readIds(in.getLeft()) };
        for (auto instance : in.getJoined())
            changes.joined.push_back(read(instance));
        return changes;
    }

    struct RequestWriter {
        ControlSchema::Request::Builder& out;

        void operator()(const Control::ProposeRequest& request) const
        {
            auto part = out.initPropose();
            part.setShard(request.shard.value());
            write(part.initCommand(), request.command);
        }
        void operator()(const Control::RenewRequest& request) const
        {
            auto part = out.initRenew();
            write(part.initInstance(), request.instance);
            part.setApplied(request.applied.value());
            write(part.initLive(), request.live);
        }
        void operator()(const Control::ReadRequest& request) const
        {
            auto part = out.initRead();
            part.setKind(toNumber(request.kind));
            part.setName(toText(request.name));
            part.setKnownVersion(request.knownVersion.value());
        }
        void operator()(const Control::WatchRequest& request) const { out.setWatchFrom(request.from.value()); }
        void operator()(const Control::StatusRequest& request) const { out.setStatusOf(request.revision.value()); }
        void operator()(const Control::ReleaseRequest& request) const
        {
            auto part = out.initRelease();
            part.setId(toText(request.id));
            part.setIncarnation(request.incarnation.value());
        }
    };

    Control::Request readRequest(ControlSchema::Request::Reader in)
    {
        switch (in.which()) {
        case ControlSchema::Request::PROPOSE: {
            auto part = in.getPropose();
            return Control::ProposeRequest { Common::LogShardId(part.getShard()), read(part.getCommand()) };
        }
        case ControlSchema::Request::RENEW: {
            auto part = in.getRenew();
            return Control::RenewRequest { read(part.getInstance()), Revision(part.getApplied()),
                read(part.getLive()) };
        }
        case ControlSchema::Request::READ: {
            auto part = in.getRead();
            return Control::ReadRequest { fromNumber(part.getKind(), Model::lastKind), fromText(part.getName()),
                Revision(part.getKnownVersion()) };
        }
        case ControlSchema::Request::WATCH_FROM:
            return Control::WatchRequest { Revision(in.getWatchFrom()) };
        case ControlSchema::Request::STATUS_OF:
            return Control::StatusRequest { Revision(in.getStatusOf()) };
        case ControlSchema::Request::RELEASE: {
            auto part = in.getRelease();
            return Control::ReleaseRequest { fromText<InstanceId>(part.getId()), Incarnation(part.getIncarnation()) };
        }
        }
        failDecode("unknown kind of request");
    }

    void write(ControlSchema::RenewGrant::Builder out, const Control::RenewGrant& grant)
    {
        out.setLeaseMs(grant.lease.value());
        write(out.initChanges(), grant.changes);
        write(out.initLive(), grant.live);
    }

    Control::RenewGrant read(ControlSchema::RenewGrant::Reader in)
    {
        return { Common::Milliseconds(in.getLeaseMs()), read(in.getChanges()), read(in.getLive()) };
    }

    void write(ControlSchema::ReadFound::Builder out, const Control::ReadFound& found)
    {
        out.setRevision(found.revision.value());
        auto resources = out.initResources(found.resources.size());
        for (unsigned i = 0; i < resources.size(); ++i)
            write(resources[i], found.resources[i]);
        out.setIsUnchanged(found.isUnchanged);
    }

    Control::ReadFound read(ControlSchema::ReadFound::Reader in)
    {
        Control::ReadFound found { Revision(in.getRevision()), {}, in.getIsUnchanged() };
        for (auto resource : in.getResources())
            found.resources.push_back(read(resource));
        return found;
    }

    void write(ControlSchema::StatusFound::Builder out, const Control::StatusFound& found)
    {
        out.setRevision(found.revision.value());
        out.setState(toNumber(found.status.state));
        writeIds(out.initMissing(found.status.missing.size()), found.status.missing);
        out.setNewLeader(found.status.newLeader);
        writeIds(out.initEvacuated(found.evacuated.size()), found.evacuated);
    }

    Control::StatusFound read(ControlSchema::StatusFound::Reader in)
    {
        return { Revision(in.getRevision()),
            { fromNumber(in.getState(), Control::RevisionState::InForce), readIds(in.getMissing()), in.getNewLeader() },
            readIds<Common::FailureDomain>(in.getEvacuated()) };
    }

    void writeLeader(ControlSchema::Reply::Builder out, const Control::LeaderHint& leader)
    {
        if (leader)
            out.setLeader(toText(*leader));
    }

    Control::LeaderHint readLeader(ControlSchema::Reply::Reader in)
    {
        if (!in.hasLeader())
            return std::nullopt;
        return fromText<Common::Address>(in.getLeader());
    }

    // Writes the result into its union member. For an error, the member stays empty and only gives the kind of reply.
    template <typename Part, typename Value>
    void writeResult(ControlSchema::Reply::Builder out, Part part, const std::variant<Value, Common::Error>& result)
    {
        if (const auto* error = std::get_if<Common::Error>(&result))
            write(out.initError(), *error);
        else
            write(part, std::get<Value>(result));
    }

    template <typename Value, typename Part>
    std::variant<Value, Common::Error> readResult(ControlSchema::Reply::Reader in, Part part)
    {
        if (in.hasError())
            return read(in.getError());
        return read(part);
    }

    struct ReplyWriter {
        ControlSchema::Reply::Builder& out;

        void operator()(const Control::ProposeReply& reply) const
        {
            writeLeader(out, reply.leader);
            writeResult(out, out.initPropose(), reply.result);
        }
        void operator()(const Control::RenewReply& reply) const
        {
            writeLeader(out, reply.leader);
            writeResult(out, out.initRenew(), reply.result);
        }
        void operator()(const Control::ReadReply& reply) const
        {
            writeLeader(out, reply.leader);
            writeResult(out, out.initRead(), reply.result);
        }
        void operator()(const Control::WatchReply& reply) const
        {
            writeLeader(out, reply.leader);
            writeResult(out, out.initWatch(), reply.result);
        }
        void operator()(const Control::StatusReply& reply) const
        {
            writeLeader(out, reply.leader);
            writeResult(out, out.initStatus(), reply.result);
        }
        void operator()(const Control::ReleaseReply& reply) const
        {
            writeLeader(out, reply.leader);
            out.setRelease();
            if (reply.error)
                write(out.initError(), *reply.error);
        }
    };

    Control::Reply readReply(ControlSchema::Reply::Reader in)
    {
        auto leader = readLeader(in);
        switch (in.which()) {
        case ControlSchema::Reply::PROPOSE:
            return Control::ProposeReply { readResult<Control::CommandOutcome>(in, in.getPropose()), leader };
        case ControlSchema::Reply::RENEW:
            return Control::RenewReply { readResult<Control::RenewGrant>(in, in.getRenew()), leader };
        case ControlSchema::Reply::READ:
            return Control::ReadReply { readResult<Control::ReadFound>(in, in.getRead()), leader };
        case ControlSchema::Reply::WATCH:
            return Control::WatchReply { readResult<Control::Changes>(in, in.getWatch()), leader };
        case ControlSchema::Reply::STATUS:
            return Control::StatusReply { readResult<Control::StatusFound>(in, in.getStatus()), leader };
        case ControlSchema::Reply::RELEASE: {
            Control::ReleaseReply reply { std::nullopt, leader };
            if (in.hasError())
                reply.error = read(in.getError());
            return reply;
        }
        }
        failDecode("unknown kind of reply");
    }

} // namespace

std::string encode(const Control::Request& request)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<ControlSchema::Request>();
    out.setFormatVersion(formatVersion);
    std::visit(RequestWriter { out }, request);
    return serializeFlat(message);
}

Common::Result<Control::Request> decodeRequest(std::string_view bytes)
{
    return readFlatMessage<ControlSchema::Request>(bytes, readRequest);
}

std::string encode(const Control::Reply& reply)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<ControlSchema::Reply>();
    out.setFormatVersion(formatVersion);
    std::visit(ReplyWriter { out }, reply);
    return serializeFlat(message);
}

Common::Result<Control::Reply> decodeReply(std::string_view bytes)
{
    return readFlatMessage<ControlSchema::Reply>(bytes, readReply);
}

} // namespace Wire
