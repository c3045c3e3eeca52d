#pragma once

#include "Common/Random.h"
#include "Membership/Digest.h"
#include "Membership/Directory.h"
#include "Membership/Quarantine.h"

#include <map>
#include <optional>
#include <vector>

namespace Membership {

struct GossipSettings {
    Common::Milliseconds pushInterval { 200 };
    Common::Milliseconds probeInterval { 1'000 }; // A digest goes to one peer, which has to answer.
    Common::Milliseconds probeRetry { 400 };
    Common::Milliseconds probeTimeout { 2'400 }; // Then the peer is suspect.
    Common::Milliseconds suspicionTimeout { 5'000 }; // Then, if it has not refuted, it is gone.
    Common::Milliseconds isolatedAfter { 2'500 }; // An instance that heard from nobody for so long judges nobody.
    size_t fanOut { 3 };
    size_t helpers { 3 }; // Peers asked to probe one that does not answer.
    size_t maximumPushed { 64 }; // Records in one push.
    size_t maximumSynced { 512 }; // Records in one answer to a digest.
    // What a digest brought is pushed on if it is news of no more records; a newcomer's catching up is no news.
    size_t maximumRelayed { 16 };
    size_t strangerInterval { 8 }; // Each so many probes, one goes to a seed or to an instance believed gone.
    DirectorySettings directory;
};

// One message between two instances. Absent parts cost nothing.
struct GossipMessage {
    Common::InstanceId from;
    std::vector<Record> records;
    std::vector<Renewal> renewals;
    std::optional<uint64_t> digest; // The root over all that the sender knows.
    bool wantsReply { false };
    std::vector<uint32_t> buckets; // The sender's digest bucket by bucket, or empty.
    std::vector<BucketSummaries> summaries;
    std::vector<uint64_t> wanted; // Keys of records that the sender asks for.
    std::optional<Common::InstanceId> probe; // The receiver is asked to probe this instance for the sender.
    std::optional<Common::InstanceId> heard; // The sender tells that it got an answer from this instance.
};

struct OutgoingMessage {
    Common::InstanceId to; // Empty for a seed whose name is not known yet.
    Common::Address address;
    GossipMessage message;
};

struct GossipPlan {
    std::vector<OutgoingMessage> messages;
    std::vector<Change> changes;
};

struct PendingPush {
    Record record;
    size_t sends { 0 };
};

// An instance that has been called on and has not answered yet.
struct Probe {
    Common::TimePoint started;
    Common::TimePoint tried;
    bool isOwn { true }; // False if only others asked for it.
    std::vector<Common::InstanceId> onBehalfOf;
};

struct GossipState {
    GossipSettings settings;
    InstanceRecord self;
    std::vector<Common::Address> seeds;
    Directory directory;
    QuarantineState quarantine;

    std::map<uint64_t, PendingPush> pushes; // By key.
    std::map<Common::InstanceId, std::vector<Renewal>> renewals; // By the owner that has to hear them.
    std::map<Common::InstanceId, Probe> probes;
    std::vector<Common::InstanceId> probeOrder; // Shuffled; each peer once before any twice.
    size_t probesStarted { 0 };
    Common::TimePoint nextPush;
    Common::TimePoint nextProbe;
    Common::TimePoint nextRenewals;
    Common::TimePoint nextExpiry;
    std::optional<Common::TimePoint> lastCalled;
    std::optional<Common::TimePoint> lastHeard;
    Digest digest;
};

GossipState makeGossipState(GossipSettings, InstanceRecord self, std::vector<Common::Address> seeds);

// What is due at now: pushes of changes, a probe with a digest, retries, expiry. To be called every 50 to 100 ms, and
// at once after a change that has to travel fast.
GossipPlan nextGossip(GossipState&, Common::TimePoint now, Common::Random&);

struct GossipReceipt {
    std::vector<OutgoingMessage> replies;
    std::vector<Change> changes;
};

GossipReceipt receiveGossip(GossipState&, const GossipMessage&, Common::TimePoint now);

// An announcement that this instance heard from a backend server.
AnnounceResult receiveAnnouncement(GossipState&, const Announcement&, Common::TimePoint now);

// A record from elsewhere, such as a lease reply of control; pushed on if it is news.
std::optional<Change> receiveRecord(GossipState&, const Record&, Common::TimePoint now);

// This instance says that it leaves.
Change leave(GossipState&, Common::TimePoint now);

std::vector<Change> reportLoss(
    GossipState&, const Loss&, const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now);
std::optional<Change> reportCompletion(GossipState&, Common::Fingerprint, Common::TimePoint now);

} // namespace Membership
