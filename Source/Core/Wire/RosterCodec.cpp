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
        out.setStanding(toNumber(report.status));
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
        report.status = fromNumber(in.getStanding(), Roster::ServerStatus::Lost);
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

    void write(Schema::Peer::Builder out, const Roster::Peer& peer)
    {
        out.setAddress(toText(peer.address));
        out.setDomain(toText(peer.domain));
    }

    Roster::Peer read(Schema::Peer::Reader in)
    {
        return { fromText<Common::Address>(in.getAddress()), fromText<Common::FailureDomain>(in.getDomain()) };
    }

    void write(Schema::Known::Builder out, const Roster::SourceVersion& known)
    {
        out.setSource(toText(known.source));
        out.setEpoch(known.epoch.value());
        out.setPeersVersion(known.peersVersion);
        auto revisions = out.initRevisions(static_cast<unsigned>(known.revisions.size()));
        for (unsigned i = 0; i < revisions.size(); ++i)
            revisions.set(i, known.revisions[i].value());
    }

    Roster::SourceVersion read(Schema::Known::Reader in)
    {
        Roster::SourceVersion known { fromText<Common::Address>(in.getSource()), Roster::Epoch(in.getEpoch()), {},
            in.getPeersVersion() };
        for (auto revision : in.getRevisions())
            known.revisions.emplace_back(revision);
        return known;
    }

    void write(Schema::SourceState::Builder out, const Roster::SourceState& state)
    {
        out.setSource(toText(state.source));
        out.setDomain(toText(state.domain));
        out.setEpoch(state.epoch.value());
        out.setSilentMs(state.silentFor.value());
        out.setPeersVersion(state.peersVersion);
        out.setTableNumber(state.table.value());
        auto shards = out.initShards(static_cast<unsigned>(state.shards.size()));
        for (unsigned i = 0; i < shards.size(); ++i)
            write(shards[i], state.shards[i]);
        auto peers = out.initPeers(static_cast<unsigned>(state.peers.size()));
        for (unsigned i = 0; i < peers.size(); ++i)
            write(peers[i], state.peers[i]);
    }

    Roster::SourceState read(Schema::SourceState::Reader in)
    {
        Roster::SourceState state { fromText<Common::Address>(in.getSource()),
            fromText<Common::FailureDomain>(in.getDomain()), Roster::Epoch(in.getEpoch()),
            Common::Milliseconds(in.getSilentMs()), {}, {}, in.getPeersVersion(),
            Common::TableNumber(in.getTableNumber()) };
        for (auto shard : in.getShards())
            state.shards.push_back(read(shard));
        for (auto peer : in.getPeers())
            state.peers.push_back(read(peer));
        return state;
    }

    void write(Schema::Digest::Builder out, const Common::ContentDigest& digest)
    {
        out.setHigh(digest.high);
        out.setLow(digest.low);
    }

    Common::ContentDigest read(Schema::Digest::Reader in) { return { in.getHigh(), in.getLow() }; }

    void write(Schema::Loss::Builder out, const Suspects::ReportedStrike& strike)
    {
        out.setServer(toText(strike.server));
        out.setIncarnation(strike.incarnation.value());
        out.setGroup(toText(strike.group));
        out.setDomain(toText(strike.domain));
        out.setRun(strike.run.value());
        out.setVariant(strike.variant.value());
        out.setAgeMs(strike.age.value());
        out.setTookMs(strike.took.value());
        out.setIsRefuted(strike.isRefuted);
        out.setWasAnswered(strike.wasAnswered);
        out.setIsAnswered(strike.isAnswered);
    }

    Suspects::ReportedStrike read(Schema::Loss::Reader in)
    {
        return { fromText<Common::BackendServerId>(in.getServer()), Common::Incarnation(in.getIncarnation()),
            fromText<Common::GroupName>(in.getGroup()), fromText<Common::FailureDomain>(in.getDomain()),
            Suspects::RunId(in.getRun()), Suspects::VariantId(in.getVariant()), Common::Milliseconds(in.getAgeMs()),
            Common::Milliseconds(in.getTookMs()), in.getIsRefuted(), in.getWasAnswered(), in.getIsAnswered() };
    }

    void write(Schema::LossRecord::Builder out, const Suspects::Record& record)
    {
        out.setBreadth(static_cast<uint16_t>(record.breadth));
        if (record.breadth == Suspects::Breadth::Request)
            write(out.initRequest(), record.keys.request);
        if (record.breadth != Suspects::Breadth::Pattern)
            write(out.initContent(), record.keys.content);
        if (record.breadth != Suspects::Breadth::Content)
            write(out.initPattern(), record.keys.pattern);
        auto losses = out.initLosses(static_cast<unsigned>(record.strikes.size()));
        for (unsigned i = 0; i < losses.size(); ++i)
            write(losses[i], record.strikes[i]);
    }

    Suspects::Record read(Schema::LossRecord::Reader in)
    {
        Suspects::Record record { Suspects::allBreadths[in.getBreadth()],
            { read(in.getRequest()), read(in.getContent()), read(in.getPattern()) }, {} };
        for (auto loss : in.getLosses())
            record.strikes.push_back(read(loss));
        return record;
    }

    void write(capnp::List<uint64_t>::Builder out, const std::vector<Common::Revision>& revisions)
    {
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, revisions[i].value());
    }

    std::vector<Common::Revision> read(capnp::List<uint64_t>::Reader in)
    {
        std::vector<Common::Revision> revisions;
        for (auto revision : in)
            revisions.emplace_back(revision);
        return revisions;
    }

    void write(Schema::Suspects::Builder out, Roster::Epoch epoch, const Suspects::Changes& changes)
    {
        out.setEpoch(epoch.value());
        write(out.initRevisions(static_cast<unsigned>(changes.revisions.size())), changes.revisions);
        auto records = out.initLosses(static_cast<unsigned>(changes.records.size()));
        for (unsigned i = 0; i < records.size(); ++i)
            write(records[i], changes.records[i]);
    }

    Suspects::Changes read(Schema::Suspects::Reader in)
    {
        Suspects::Changes changes { read(in.getRevisions()), {} };
        for (auto record : in.getLosses()) {
            // Later versions may know further breadths.
            if (record.getBreadth() < Suspects::allBreadths.size())
                changes.records.push_back(read(record));
        }
        return changes;
    }

    void write(Schema::WatchRequest::Builder out, const Roster::WatchRequest& request)
    {
        out.setFollower(toText(request.follower));
        out.setTableNumber(request.table.value());
        out.setAddress(toText(request.peer.address));
        out.setDomain(toText(request.peer.domain));
        out.setIsLeaving(request.isLeaving);
        out.setIsControl(request.isControl);
        out.setEvacuations(request.evacuations.value());
        out.setSuspectsEpoch(request.suspects.epoch.value());
        write(out.initSuspectsRevisions(static_cast<unsigned>(request.suspects.revisions.size())),
            request.suspects.revisions);
        auto known = out.initKnown(static_cast<unsigned>(request.known.size()));
        for (unsigned i = 0; i < known.size(); ++i)
            write(known[i], request.known[i]);
    }

    Roster::WatchRequest read(Schema::WatchRequest::Reader in)
    {
        Roster::WatchRequest request;
        request.follower = fromText<Common::InstanceId>(in.getFollower());
        request.table = Common::TableNumber(in.getTableNumber());
        request.peer = { fromText<Common::Address>(in.getAddress()), fromText<Common::FailureDomain>(in.getDomain()) };
        request.isLeaving = in.getIsLeaving();
        request.isControl = in.getIsControl();
        request.evacuations = Common::Revision(in.getEvacuations());
        request.suspects = { Roster::Epoch(in.getSuspectsEpoch()), read(in.getSuspectsRevisions()) };
        for (auto known : in.getKnown())
            request.known.push_back(read(known));
        return request;
    }

    void write(Schema::Evacuations::Builder out, const Roster::Evacuations& evacuations)
    {
        out.setRevision(evacuations.revision.value());
        auto domains = out.initDomains(static_cast<unsigned>(evacuations.domains.size()));
        for (unsigned i = 0; i < domains.size(); ++i)
            domains.set(i, toText(evacuations.domains[i]));
    }

    Roster::Evacuations read(Schema::Evacuations::Reader in)
    {
        Roster::Evacuations evacuations { Common::Revision(in.getRevision()), {} };
        for (auto domain : in.getDomains())
            evacuations.domains.push_back(fromText<Common::FailureDomain>(domain));
        return evacuations;
    }

    void write(Schema::Departure::Builder out, const Roster::Departure& departure)
    {
        out.setServer(toText(departure.server));
        out.setIncarnation(departure.incarnation.value());
        out.setIsNamed(departure.isNamed);
        out.setReceivedAt(departure.receivedAt.value());
    }

    Roster::Departure read(Schema::Departure::Reader in)
    {
        return { fromText<Common::BackendServerId>(in.getServer()), Common::Incarnation(in.getIncarnation()),
            in.getIsNamed(), Common::Incarnation(in.getReceivedAt()) };
    }

} // namespace

std::string encode(const Roster::Request& request)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::Request>();
    out.setFormatVersion(formatVersion);
    if (auto watch = std::get_if<Roster::WatchRequest>(&request))
        write(out.initWatch(), *watch);
    else if (auto report = std::get_if<Roster::SuspectsReport>(&request))
        write(out.initSuspects(), Roster::Epoch(), { {}, report->records });
    else if (auto departure = std::get_if<Roster::DepartureReport>(&request))
        write(out.initDeparture(), departure->departure);
    else
        out.initTable();
    return serializeFlat(message);
}

Common::Result<Roster::Request> decodeRosterRequest(std::string_view bytes)
{
    return readFlatMessage<Schema::Request>(bytes, [](Schema::Request::Reader in) -> Roster::Request {
        if (in.which() == Schema::Request::WATCH)
            return read(in.getWatch());
        if (in.which() == Schema::Request::SUSPECTS)
            return Roster::SuspectsReport { read(in.getSuspects()).records };
        if (in.which() == Schema::Request::DEPARTURE)
            return Roster::DepartureReport { read(in.getDeparture()) };
        return Roster::TableRequest {};
    });
}

std::string encode(const Roster::WatchReply& reply)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::WatchReply>();
    out.setFormatVersion(formatVersion);
    out.setTableNumber(reply.table.value());
    out.setLogBehindMs(reply.logBehind.value());
    write(out.initSuspects(), reply.epoch, reply.suspects);
    if (reply.evacuations.revision > Common::Revision())
        write(out.initEvacuations(), reply.evacuations);
    auto sources = out.initSources(static_cast<unsigned>(reply.sources.size()));
    for (unsigned i = 0; i < sources.size(); ++i)
        write(sources[i], reply.sources[i]);
    auto members = out.initMembers(static_cast<unsigned>(reply.members.size()));
    for (unsigned i = 0; i < members.size(); ++i)
        members.set(i, toText(reply.members[i]));
    return serializeFlat(message);
}

Common::Result<Roster::WatchReply> decodeWatchReply(std::string_view bytes)
{
    return readFlatMessage<Schema::WatchReply>(bytes, [](Schema::WatchReply::Reader in) {
        Roster::WatchReply reply;
        reply.table = Common::TableNumber(in.getTableNumber());
        reply.logBehind = Common::Milliseconds(in.getLogBehindMs());
        reply.epoch = Roster::Epoch(in.getSuspects().getEpoch());
        reply.suspects = read(in.getSuspects());
        reply.evacuations = read(in.getEvacuations());
        for (auto source : in.getSources())
            reply.sources.push_back(read(source));
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
    return serializeFlat(message);
}

Common::Result<Roster::TableReply> decodeTableReply(std::string_view bytes)
{
    return readFlatMessage<Schema::TableReply>(bytes, [](Schema::TableReply::Reader in) {
        return Roster::TableReply { Common::TableNumber(in.getNumber()), fromText(in.getDocument()) };
    });
}

std::string encode(const Roster::DepartureReply& reply)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<Schema::DepartureReply>();
    out.setFormatVersion(formatVersion);
    out.setHeld(reply.held.value());
    return serializeFlat(message);
}

Common::Result<Roster::DepartureReply> decodeDepartureReply(std::string_view bytes)
{
    return readFlatMessage<Schema::DepartureReply>(bytes,
        [](Schema::DepartureReply::Reader in) { return Roster::DepartureReply { Common::Incarnation(in.getHeld()) }; });
}

} // namespace Wire
