#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Membership {

enum class ServerState {
    Starting, // Cold caches: responds, but slowly.
    Ready,
    Leaving, // Receives no new requests; final for its incarnation.
};

enum class InstanceState {
    Up,
    Leaving, // Final for its incarnation.
};

enum class Liveness {
    Alive,
    Suspect, // No recent sign of life; a higher sequence refutes the suspicion.
    Gone, // Final for its incarnation.
};

struct Replica {
    Common::IndexVersion version;
    Common::ShardId shard;

    friend auto operator<=>(const Replica&, const Replica&) = default;
};

// The state that a backend server reports of itself, repeated every few seconds with a higher sequence.
struct Announcement {
    Common::BackendServerId server;
    Common::Address address;
    Common::FailureDomain domain;
    Common::GroupName group;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 };
    ServerState state { ServerState::Starting };
    std::vector<Replica> replicas;

    friend auto operator<=>(const Announcement&, const Announcement&) = default;
};

// The state of a backend server as exchanged between instances. The owner is the instance that receives the server's
// renewals and monitors it, so renewals need not be gossiped.
struct ServerRecord {
    Announcement announcement;
    Common::InstanceId owner;
    Liveness liveness { Liveness::Alive };

    friend auto operator<=>(const ServerRecord&, const ServerRecord&) = default;
};

struct InstanceRecord {
    Common::InstanceId id;
    Common::Incarnation incarnation;
    Common::Address address;
    Common::FailureDomain domain;
    InstanceState state { InstanceState::Up };
    uint64_t sequence { 0 }; // Incremented by the instance itself to refute a suspicion.
    Liveness liveness { Liveness::Alive };

    friend auto operator<=>(const InstanceRecord&, const InstanceRecord&) = default;
};

// The loss of one incarnation of a backend server while a request ran on it.
struct Loss {
    Common::BackendServerId server;
    Common::Incarnation incarnation;

    friend auto operator<=>(const Loss&, const Loss&) = default;
};

// A request that may crash the backend servers that run it, as exchanged between instances.
struct FingerprintRecord {
    Common::Fingerprint fingerprint;
    uint64_t round { 0 }; // A normal completion starts a new round, without losses.
    std::vector<Loss> losses; // Sorted.
    Common::Milliseconds remaining; // Time until the record expires; not part of the version.
};

using Record = std::variant<ServerRecord, InstanceRecord, FingerprintRecord>;

// Whether a wins over b, which is about the same server or instance. Of two different records exactly one wins.
bool supersedes(const ServerRecord& a, const ServerRecord& b);
bool supersedes(const InstanceRecord& a, const InstanceRecord& b);

// Hashes of a record's subject (key) and of its contents (version). All instances compute the same values.
struct Summary {
    uint64_t key { 0 };
    uint32_t version { 0 };

    friend bool operator==(const Summary&, const Summary&) = default;
};

Summary summarize(const ServerRecord&);
Summary summarize(const InstanceRecord&);
Summary summarize(const FingerprintRecord&);
Summary summarize(const Record&);

// A new record, or one that replaced an older one.
struct Change {
    Record record;
};

} // namespace Membership
