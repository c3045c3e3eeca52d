#include "Wire/RosterCodec.h"

#include "Wire/Fields.h"
#include "Wire/FlatMessage.h"
#include "Wire/Roster.capnp.h"

namespace Wire {

namespace {

    namespace Schema = RosterSchema;

    void write(Schema::Server::Builder out, const Roster::Report& report)
    {
        out.setId(toText(report.server));
        out.setGroup(toText(report.group));
        out.setAddress(toText(report.address));
        out.setDomain(toText(report.domain));
        out.setIncarnation(report.incarnation.value());
        out.setSequence(report.sequence);
        out.setSlots(report.slots.value());
        out.setWarmupLeftMs(report.warmupLeft.value());
        out.setStanding(toNumber(report.standing));
    }

    Roster::Report read(Schema::Server::Reader in)
    {
        Roster::Report report;
        report.server = fromText<Common::BackendServerId>(in.getId());
        report.group = fromText<Common::GroupName>(in.getGroup());
        report.address = fromText<Common::Address>(in.getAddress());
        report.domain = fromText<Common::FailureDomain>(in.getDomain());
        report.incarnation = Common::Incarnation(in.getIncarnation());
        report.sequence = in.getSequence();
        report.slots = Common::Slots(in.getSlots());
        report.warmupLeft = Common::Milliseconds(in.getWarmupLeftMs());
        report.standing = fromNumber(in.getStanding(), Roster::Standing::Lost);
        return report;
    }

    void write(Schema::Changes::Builder out, const Roster::Changes& changes)
    {
        out.setWhole(changes.whole);
        out.setRevision(changes.revision.value());
        auto servers = out.initServers(static_cast<unsigned>(changes.reports.size()));
        for (unsigned i = 0; i < servers.size(); ++i)
            write(servers[i], changes.reports[i]);
    }

    Roster::Changes read(Schema::Changes::Reader in)
    {
        Roster::Changes changes { in.getWhole(), Common::Revision(in.getRevision()), {} };
        for (auto server : in.getServers())
            changes.reports.push_back(read(server));
        return changes;
    }

    void write(Schema::WatchRequest::Builder out, const Roster::WatchRequest& request)
    {
        out.setFollower(toText(request.follower));
        out.setEpoch(request.epoch.value());
        out.setTableNumber(request.table.value());
        out.setAddress(toText(request.peer.address));
        out.setDomain(toText(request.peer.domain));
        out.setIsLeaving(request.isLeaving);
        out.setPeersVersion(request.peersVersion);
        out.setWantsPeers(request.wantsPeers);
        auto revisions = out.initRevisions(static_cast<unsigned>(request.revisions.size()));
        for (unsigned i = 0; i < revisions.size(); ++i)
            revisions.set(i, request.revisions[i].value());
    }

    Roster::WatchRequest read(Schema::WatchRequest::Reader in)
    {
        Roster::WatchRequest request;
        request.follower = fromText<Common::InstanceId>(in.getFollower());
        request.epoch = Roster::Epoch(in.getEpoch());
        request.table = Common::TableNumber(in.getTableNumber());
        request.peer = { fromText<Common::Address>(in.getAddress()), fromText<Common::FailureDomain>(in.getDomain()) };
        request.isLeaving = in.getIsLeaving();
        request.peersVersion = in.getPeersVersion();
        request.wantsPeers = in.getWantsPeers();
        for (auto revision : in.getRevisions())
            request.revisions.emplace_back(revision);
        return request;
    }

} // namespace

std::string encode(const Roster::Request& request)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::Request>();
    out.setFormatVersion(formatVersion);
    if (auto watch = std::get_if<Roster::WatchRequest>(&request))
        write(out.initWatch(), *watch);
    else
        out.initTable();
    return flatBytes(message);
}

Common::Result<Roster::Request> decodeRosterRequest(std::string_view bytes)
{
    return readFlatMessage<Schema::Request>(bytes, [](Schema::Request::Reader in) -> Roster::Request {
        if (in.which() == Schema::Request::WATCH)
            return read(in.getWatch());
        return Roster::TableRequest {};
    });
}

std::string encode(const Roster::WatchReply& reply)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::WatchReply>();
    out.setFormatVersion(formatVersion);
    out.setEpoch(reply.epoch.value());
    out.setTableNumber(reply.table.value());
    out.setPeersVersion(reply.peersVersion);
    out.setDomain(toText(reply.domain));
    auto peers = out.initPeers(static_cast<unsigned>(reply.peers.size()));
    for (unsigned i = 0; i < peers.size(); ++i) {
        peers[i].setAddress(toText(reply.peers[i].address));
        peers[i].setDomain(toText(reply.peers[i].domain));
    }
    auto shards = out.initShards(static_cast<unsigned>(reply.shards.size()));
    for (unsigned i = 0; i < shards.size(); ++i)
        write(shards[i], reply.shards[i]);
    auto members = out.initMembers(static_cast<unsigned>(reply.members.size()));
    for (unsigned i = 0; i < members.size(); ++i)
        members.set(i, toText(reply.members[i]));
    return flatBytes(message);
}

Common::Result<Roster::WatchReply> decodeWatchReply(std::string_view bytes)
{
    return readFlatMessage<Schema::WatchReply>(bytes, [](Schema::WatchReply::Reader in) {
        Roster::WatchReply reply;
        reply.epoch = Roster::Epoch(in.getEpoch());
        reply.table = Common::TableNumber(in.getTableNumber());
        reply.peersVersion = in.getPeersVersion();
        reply.domain = fromText<Common::FailureDomain>(in.getDomain());
        for (auto peer : in.getPeers()) {
            reply.peers.push_back(
                { fromText<Common::Address>(peer.getAddress()), fromText<Common::FailureDomain>(peer.getDomain()) });
        }
        for (auto shard : in.getShards())
            reply.shards.push_back(read(shard));
        for (auto member : in.getMembers())
            reply.members.push_back(fromText<Common::Address>(member));
        return reply;
    });
}

std::string encode(const Roster::TableReply& reply)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::TableReply>();
    out.setFormatVersion(formatVersion);
    out.setNumber(reply.number.value());
    out.setDocument(toText(reply.document));
    return flatBytes(message);
}

Common::Result<Roster::TableReply> decodeTableReply(std::string_view bytes)
{
    return readFlatMessage<Schema::TableReply>(bytes, [](Schema::TableReply::Reader in) {
        return Roster::TableReply { Common::TableNumber(in.getNumber()), fromText(in.getDocument()) };
    });
}

} // namespace Wire
