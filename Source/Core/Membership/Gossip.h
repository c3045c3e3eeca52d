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
    Common::Milliseconds probeInterval { 1'000 }; // A digest is sent to one peer, which must reply.
    Common::Milliseconds probeRetry { 400 };
    Common::Milliseconds probeTimeout { 2'400 }; // After this the peer is suspected.
    // An exchange that was interrupted by lost messages is repeated with another peer after this time.
    Common::Milliseconds syncRetry { 200 };
    size_t maximumSyncRetries { 8 };
    Common::Milliseconds suspicionTimeout { 5'000 }; // After this a suspect that has not refuted is gone.
    Common::Milliseconds isolatedAfter { 2'500 }; // Without messages for this long, an instance suspects no others.
    size_t fanOut { 3 };
    size_t indirectProbers { 3 }; // Peers requested to probe one that does not reply.
    size_t maximumPushed { 64 }; // Records in one push.
    size_t maximumSynced { 512 }; // Records in one reply to a digest.
    // Records received in a digest exchange are pushed to others only if there are at most this many. A larger number
    // is the initial synchronisation of an instance, whose records the others already have.
    size_t maximumForwarded { 16 };
    // Buckets that differ are answered with their records, instead of summaries alone, if they have at most this many.
    size_t maximumUnrequested { 16 };
    size_t probesPerReconnect { 8 }; // One in so many probes also goes to a seed or an instance considered gone.
    DirectorySettings directory;
};

// One message between two instances. Unset parts are not encoded.
struct GossipMessage {
    Common::InstanceId from;
    std::vector<Record> records;
    std::vector<Renewal> renewals;
    std::optional<uint64_t> digest; // The root hash over all records of the sender.
    bool wantsReply { false };
    std::vector<uint32_t> buckets; // The hash of each bucket of the sender's digest, or empty.
    std::vector<BucketSummaries> summaries;
    std::vector<uint64_t> wanted; // Keys of records that the sender requests.
    std::optional<Common::InstanceId> probe; // The receiver is requested to probe this instance for the sender.
    std::optional<Common::InstanceId> heard; // Acknowledges a requested probe: this instance replied to the sender.
};

struct OutgoingMessage {
    Common::InstanceId to; // Empty for a seed whose instance id is not known yet.
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

// A probe of an instance that has not replied yet.
struct Probe {
    Common::TimePoint startedAt;
    Common::TimePoint lastSentAt;
    bool isOwn { true }; // False if only other instances requested it.
    std::vector<Common::InstanceId> onBehalfOf;
};

// The digest of a peer differed, and no records have arrived since.
struct PendingSync {
    uint64_t ownRoot { 0 }; // The root hash of this instance when it saw the difference.
    Common::TimePoint retryAt;
    size_t retries { 0 };
};

struct GossipState {
    GossipSettings settings;
    InstanceRecord self;
    std::vector<Common::Address> seeds;
    Directory directory;
    QuarantineState quarantine;

    std::map<uint64_t, PendingPush> pushes; // By key.
    std::map<Common::InstanceId, std::vector<Renewal>> renewals; // To be forwarded, by owner.
    std::map<Common::InstanceId, Probe> probes;
    std::vector<Common::InstanceId> probeOrder; // Shuffled peers; each is probed once before any is probed again.
    size_t probesStarted { 0 };
    std::vector<Common::InstanceId> pushOrder; // The same for pushes.
    std::vector<Common::InstanceId> syncOrder; // The same for repeated synchronisations.
    std::optional<PendingSync> pendingSync;
    Common::TimePoint nextPush;
    Common::TimePoint nextProbe;
    Common::TimePoint nextRenewals;
    Common::TimePoint nextExpiry;
    std::optional<Common::TimePoint> lastRun;
    std::optional<Common::TimePoint> lastReceived;
    Digest digest;
};

GossipState makeGossipState(GossipSettings, InstanceRecord self, std::vector<Common::Address> seeds);

// Returns the messages and changes that are due at now: pushes of changes, a probe with a digest, probe and
// synchronisation retries, expiry. Must be called every 50 to 100 ms, and immediately after an urgent change.
GossipPlan nextGossip(GossipState&, Common::TimePoint now, Common::Random&);

struct GossipReceipt {
    std::vector<OutgoingMessage> replies;
    std::vector<Change> changes;
};

GossipReceipt receiveGossip(GossipState&, const GossipMessage&, Common::TimePoint now);

// Handles an announcement that this instance received from a backend server.
AnnounceResult receiveAnnouncement(GossipState&, const Announcement&, Common::TimePoint now);

// Applies a record from another source, such as a lease reply of control. It is pushed to peers if it changed
// something.
std::optional<Change> receiveRecord(GossipState&, const Record&, Common::TimePoint now);

// Marks this instance as leaving.
Change leave(GossipState&, Common::TimePoint now);

std::vector<Change> reportLoss(
    GossipState&, const Loss&, const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now);
std::optional<Change> reportCompletion(GossipState&, Common::Fingerprint, Common::TimePoint now);

} // namespace Membership
