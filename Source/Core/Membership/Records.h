#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Membership {

enum class ServerState {
    Starting, // Cold: answers, but slowly.
    Ready,
    Leaving, // Gets no new work; final for its incarnation.
};

enum class InstanceState {
    Up,
    Leaving, // Final for its incarnation.
};

enum class Liveness {
    Alive,
    Suspect, // Nothing was heard for a while; a higher sequence refutes it.
    Gone, // Final for its incarnation.
};

struct Replica {
    Common::IndexVersion version;
    Common::ShardId shard;

    friend auto operator<=>(const Replica&, const Replica&) = default;
};

// What a backend server says of itself. It repeats this every few seconds with a higher sequence.
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

// What instances tell each other of a backend server. The owner is the instance that hears its renewals and vouches
// for it, so that renewals need not travel.
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
    uint64_t sequence { 0 }; // Raised by the instance itself when it refutes a suspicion.
    Liveness liveness { Liveness::Alive };

    friend auto operator<=>(const InstanceRecord&, const InstanceRecord&) = default;
};

// A backend server, in one incarnation, that was lost while a request ran on it.
struct Loss {
    Common::BackendServerId server;
    Common::Incarnation incarnation;

    friend auto operator<=>(const Loss&, const Loss&) = default;
};

// What instances tell each other of a request that may crash the backend servers that run it.
struct FingerprintRecord {
    Common::Fingerprint fingerprint;
    uint64_t round { 0 }; // A normal completion starts a new round, without losses.
    std::vector<Loss> losses; // Sorted.
    Common::Milliseconds remaining; // How long the record still counts; not part of what is compared.
};

using Record = std::variant<ServerRecord, InstanceRecord, FingerprintRecord>;

// Whether a wins over b, which is about the same server or instance. Of two different records exactly one wins.
bool supersedes(const ServerRecord& a, const ServerRecord& b);
bool supersedes(const InstanceRecord& a, const InstanceRecord& b);

// What a record is about and its version, as hashes that all instances compute alike.
struct Summary {
    uint64_t key { 0 };
    uint32_t version { 0 };

    friend bool operator==(const Summary&, const Summary&) = default;
};

Summary summarize(const ServerRecord&);
Summary summarize(const InstanceRecord&);
Summary summarize(const FingerprintRecord&);
Summary summarize(const Record&);

// A record that replaced what was known before.
struct Change {
    Record record;
};

} // namespace Membership
