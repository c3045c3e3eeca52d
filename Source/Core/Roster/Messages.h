#pragma once

#include "Roster/Records.h"

#include <string>
#include <variant>

// What instances ask a control instance again and again, and what they get. A control instance passes on what the other
// ones heard, so a relay follows one in its own failure domain and gets the news of all.
namespace Roster {

// Counts one start of a control instance after another; what an earlier one told is gone.
using Epoch = Common::Quantity<struct EpochTag, uint64_t>;

// An instance that follows, as others may call it.
struct Peer {
    Common::Address address;
    Common::FailureDomain domain;

    friend auto operator<=>(const Peer&, const Peer&) = default;
};

// How much of what one control instance heard is known to the asking one.
struct SourceVersion {
    Common::Address source;
    Epoch epoch;
    std::vector<Common::Revision> revisions; // One for each shard of its registry.
    uint64_t peersVersion { 0 };
};

struct WatchRequest {
    Common::InstanceId follower;
    Peer peer; // The follower.
    bool isLeaving { false }; // It takes no more work of its peers.
    bool isControl { false }; // It wants only what the asked instance heard itself.
    std::vector<SourceVersion> known;
    Common::TableNumber table; // The latest route table that the follower knows of.
};

// What one control instance heard and a follower lacks.
struct SourceState {
    Common::Address source;
    Common::FailureDomain domain;
    Epoch epoch;
    Common::Milliseconds silentFor; // Since the answering instance heard from it; 0 for itself.
    std::vector<Changes> shards; // Empty if the follower knows a later epoch.
    std::vector<Peer> peers; // Instances that asked it lately, in order; empty if the follower has this version.
    uint64_t peersVersion { 0 }; // Counts within the epoch.
};

struct WatchReply {
    std::vector<SourceState> sources;
    Common::TableNumber table; // The committed one.
    std::vector<Common::Address> members; // The control instances.
};

// Asks for the committed route table.
struct TableRequest { };

struct TableReply {
    Common::TableNumber number; // 0 if there is none.
    std::string document;
};

using Request = std::variant<WatchRequest, TableRequest>;

} // namespace Roster
