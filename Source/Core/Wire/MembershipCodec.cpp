#include "Wire/MembershipCodec.h"

#include "Wire/Membership.capnp.h"
#include "Wire/PackedMessage.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

using Common::Result;

namespace Wire {

namespace {

    constexpr const char* gossipStep = "decode-gossip";
    constexpr const char* timelineStep = "decode-timeline";

    Common::Error corrupt(const char* step, const std::string& what)
    {
        return Common::makeError(Common::Reason::Corrupt, step, what);
    }

    template <typename Id> Id toId(capnp::Text::Reader text) { return Id(std::string(text.begin(), text.size())); }

    template <typename Enum> Result<Enum> toEnum(unsigned value, Enum last, const char* step, const char* field)
    {
        if (value > static_cast<unsigned>(last))
            return corrupt(step, std::string(field) + " is " + std::to_string(value));
        return static_cast<Enum>(value);
    }

    unsigned fromEnum(auto value) { return static_cast<unsigned>(value); }

    // Cap'n Proto stores list sizes in 32 bits; these lists are far shorter.
    unsigned length(const auto& list) { return static_cast<unsigned>(list.size()); }

    void write(Schema::Server::Builder to, const Membership::ServerRecord& record)
    {
        const Membership::Announcement& announcement = record.announcement;
        to.setId(announcement.server.value());
        to.setAddress(announcement.address.value());
        to.setDomain(announcement.domain.value());
        to.setGroup(announcement.group.value());
        to.setIncarnation(announcement.incarnation.value());
        to.setSequence(announcement.sequence);
        to.setState(fromEnum(announcement.state));
        auto replicas = to.initReplicas(length(announcement.replicas));
        for (unsigned i = 0; i < replicas.size(); ++i) {
            replicas[i].setVersion(announcement.replicas[i].version.value());
            replicas[i].setShard(announcement.replicas[i].shard.value());
        }
        to.setOwner(record.owner.value());
        to.setLife(fromEnum(record.liveness));
    }

    void write(Schema::Member::Builder to, const Membership::InstanceRecord& record)
    {
        to.setId(record.id.value());
        to.setIncarnation(record.incarnation.value());
        to.setAddress(record.address.value());
        to.setDomain(record.domain.value());
        to.setState(fromEnum(record.state));
        to.setSequence(record.sequence);
        to.setLife(fromEnum(record.liveness));
    }

    void write(Schema::Suspicion::Builder to, const Membership::FingerprintRecord& record)
    {
        to.setFingerprint(record.fingerprint.value());
        to.setRound(record.round);
        auto losses = to.initLosses(length(record.losses));
        for (unsigned i = 0; i < losses.size(); ++i) {
            losses[i].setServer(record.losses[i].server.value());
            losses[i].setIncarnation(record.losses[i].incarnation.value());
        }
        constexpr double longest = std::numeric_limits<uint32_t>::max();
        to.setRemainingMilliseconds(static_cast<uint32_t>(std::clamp(record.remaining.value(), 0.0, longest)));
    }

    void write(Schema::Record::Builder to, const Membership::Record& record)
    {
        if (const auto* server = std::get_if<Membership::ServerRecord>(&record))
            write(to.initServer(), *server);
        else if (const auto* instance = std::get_if<Membership::InstanceRecord>(&record))
            write(to.initInstance(), *instance);
        else
            write(to.initFingerprint(), std::get<Membership::FingerprintRecord>(record));
    }

    void write(Schema::Renewal::Builder to, const Membership::Renewal& renewal)
    {
        to.setServer(renewal.server.value());
        to.setIncarnation(renewal.incarnation.value());
        to.setSequence(renewal.sequence);
    }

    void write(Schema::Bucket::Builder to, const Membership::BucketSummaries& bucket)
    {
        to.setBucket(bucket.bucket);
        auto keys = to.initKeys(length(bucket.summaries));
        auto versions = to.initVersions(length(bucket.summaries));
        for (unsigned i = 0; i < keys.size(); ++i) {
            keys.set(i, bucket.summaries[i].key);
            versions.set(i, bucket.summaries[i].version);
        }
    }

    void write(Schema::Event::Builder to, const Observe::TimelineEvent& event)
    {
        to.setInstance(event.instance.value());
        to.setIncarnation(event.incarnation.value());
        to.setSequence(event.sequence);
        to.setTime(event.time.value());
        to.setWallClockMilliseconds(event.wallClock.value());
        to.setKind(fromEnum(event.kind));
        to.setSubject(event.subject);
        to.setDetail(event.detail);
    }

    // Leaves an empty list out, which saves its bytes in the message.
    template <typename Init, typename List> void writeList(Init&& init, const List& from)
    {
        if (from.empty())
            return;
        auto to = init(length(from));
        for (unsigned i = 0; i < to.size(); ++i)
            write(to[i], from[i]);
    }

    template <typename Init, typename List> void writeNumbers(Init&& init, const List& from)
    {
        if (from.empty())
            return;
        auto to = init(length(from));
        for (unsigned i = 0; i < to.size(); ++i)
            to.set(i, from[i]);
    }

    Result<Membership::Record> read(Schema::Server::Reader from)
    {
        Membership::ServerRecord record;
        Membership::Announcement& announcement = record.announcement;
        announcement.server = toId<Common::BackendServerId>(from.getId());
        announcement.address = toId<Common::Address>(from.getAddress());
        announcement.domain = toId<Common::FailureDomain>(from.getDomain());
        announcement.group = toId<Common::GroupName>(from.getGroup());
        announcement.incarnation = Common::Incarnation(from.getIncarnation());
        announcement.sequence = from.getSequence();
        BOOST_OUTCOME_TRY(state, toEnum(from.getState(), Membership::ServerState::Leaving, gossipStep, "server state"));
        announcement.state = state;
        for (auto replica : from.getReplicas())
            announcement.replicas.push_back(
                { Common::IndexVersion(replica.getVersion()), Common::ShardId(replica.getShard()) });
        record.owner = toId<Common::InstanceId>(from.getOwner());
        BOOST_OUTCOME_TRY(liveness, toEnum(from.getLife(), Membership::Liveness::Gone, gossipStep, "server life"));
        record.liveness = liveness;
        return Membership::Record(std::move(record));
    }

    Result<Membership::Record> read(Schema::Member::Reader from)
    {
        Membership::InstanceRecord record;
        record.id = toId<Common::InstanceId>(from.getId());
        record.incarnation = Common::Incarnation(from.getIncarnation());
        record.address = toId<Common::Address>(from.getAddress());
        record.domain = toId<Common::FailureDomain>(from.getDomain());
        BOOST_OUTCOME_TRY(
            state, toEnum(from.getState(), Membership::InstanceState::Leaving, gossipStep, "instance state"));
        record.state = state;
        record.sequence = from.getSequence();
        BOOST_OUTCOME_TRY(liveness, toEnum(from.getLife(), Membership::Liveness::Gone, gossipStep, "instance life"));
        record.liveness = liveness;
        return Membership::Record(std::move(record));
    }

    Result<Membership::Record> read(Schema::Suspicion::Reader from)
    {
        Membership::FingerprintRecord record;
        record.fingerprint = Common::Fingerprint(from.getFingerprint());
        record.round = from.getRound();
        for (auto loss : from.getLosses())
            record.losses.push_back(
                { toId<Common::BackendServerId>(loss.getServer()), Common::Incarnation(loss.getIncarnation()) });
        if (!std::is_sorted(record.losses.begin(), record.losses.end()))
            return corrupt(gossipStep, "losses are not sorted");
        record.remaining = Common::Milliseconds(from.getRemainingMilliseconds());
        return Membership::Record(std::move(record));
    }

    Result<Membership::Record> read(Schema::Record::Reader from)
    {
        switch (from.which()) {
        case Schema::Record::SERVER:
            return read(from.getServer());
        case Schema::Record::INSTANCE:
            return read(from.getInstance());
        case Schema::Record::FINGERPRINT:
            return read(from.getFingerprint());
        }
        return corrupt(gossipStep, "unknown kind of record");
    }

    Result<Membership::BucketSummaries> read(Schema::Bucket::Reader from)
    {
        auto keys = from.getKeys();
        auto versions = from.getVersions();
        if (keys.size() != versions.size())
            return corrupt(gossipStep, "a bucket has different numbers of keys and versions");
        if (from.getBucket() >= Membership::digestBuckets)
            return corrupt(gossipStep, "bucket is " + std::to_string(from.getBucket()));
        Membership::BucketSummaries bucket { from.getBucket(), {} };
        for (unsigned i = 0; i < keys.size(); ++i)
            bucket.summaries.push_back({ keys[i], versions[i] });
        return bucket;
    }

    Result<GossipEnvelope> read(Schema::Gossip::Reader from)
    {
        GossipEnvelope envelope;
        envelope.time = Observe::LogicalTime(from.getTime());
        Membership::GossipMessage& message = envelope.message;
        message.from = toId<Common::InstanceId>(from.getFrom());
        for (auto it : from.getRecords()) {
            BOOST_OUTCOME_TRY(record, read(it));
            message.records.push_back(std::move(record));
        }
        for (auto it : from.getRenewals())
            message.renewals.push_back({ toId<Common::BackendServerId>(it.getServer()),
                Common::Incarnation(it.getIncarnation()), it.getSequence() });
        if (from.getHasDigest())
            message.digest = from.getDigest();
        message.wantsReply = from.getWantsReply();
        for (uint32_t bucket : from.getBuckets())
            message.buckets.push_back(bucket);
        for (auto it : from.getSummaries()) {
            BOOST_OUTCOME_TRY(bucket, read(it));
            message.summaries.push_back(std::move(bucket));
        }
        for (uint64_t key : from.getWanted())
            message.wanted.push_back(key);
        if (from.hasProbe())
            message.probe = toId<Common::InstanceId>(from.getProbe());
        if (from.hasHeard())
            message.heard = toId<Common::InstanceId>(from.getHeard());
        return envelope;
    }

    Result<std::vector<Observe::TimelineEvent>> read(Schema::Timeline::Reader from)
    {
        std::vector<Observe::TimelineEvent> events;
        constexpr auto lastKind = static_cast<Observe::EventKind>(static_cast<int>(Observe::EventKind::Count) - 1);
        for (auto it : from.getEvents()) {
            BOOST_OUTCOME_TRY(kind, toEnum(it.getKind(), lastKind, timelineStep, "event kind"));
            events.push_back({ toId<Common::InstanceId>(it.getInstance()), Common::Incarnation(it.getIncarnation()),
                it.getSequence(), Observe::LogicalTime(it.getTime()),
                Common::Milliseconds(it.getWallClockMilliseconds()), kind, std::string(it.getSubject().cStr()),
                std::string(it.getDetail().cStr()) });
        }
        return events;
    }

} // namespace

std::string encodeGossip(const GossipEnvelope& envelope)
{
    const Membership::GossipMessage& message = envelope.message;
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Schema::Gossip>();
    root.setFrom(message.from.value());
    root.setTime(envelope.time.value());
    writeList([&](unsigned n) { return root.initRecords(n); }, message.records);
    writeList([&](unsigned n) { return root.initRenewals(n); }, message.renewals);
    root.setHasDigest(message.digest.has_value());
    root.setDigest(message.digest.value_or(0));
    root.setWantsReply(message.wantsReply);
    writeNumbers([&](unsigned n) { return root.initBuckets(n); }, message.buckets);
    writeList([&](unsigned n) { return root.initSummaries(n); }, message.summaries);
    writeNumbers([&](unsigned n) { return root.initWanted(n); }, message.wanted);
    if (message.probe)
        root.setProbe(message.probe->value());
    if (message.heard)
        root.setHeard(message.heard->value());
    return packMessage(builder);
}

Result<GossipEnvelope> decodeGossip(std::string_view bytes)
{
    return unpackMessage<Schema::Gossip>(bytes, gossipStep, [](Schema::Gossip::Reader root) { return read(root); });
}

std::string encodeTimeline(const std::vector<Observe::TimelineEvent>& events)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Schema::Timeline>();
    writeList([&](unsigned n) { return root.initEvents(n); }, events);
    return packMessage(builder);
}

Result<std::vector<Observe::TimelineEvent>> decodeTimeline(std::string_view bytes)
{
    return unpackMessage<Schema::Timeline>(
        bytes, timelineStep, [](Schema::Timeline::Reader root) { return read(root); });
}

} // namespace Wire
