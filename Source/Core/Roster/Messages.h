#pragma once

#include "Roster/Records.h"

#include <string>
#include <variant>

// What entry instances ask each control instance again and again, and what they get.
namespace Roster {

// Counts one start of a control instance after another; what an earlier one told is gone.
using Epoch = Common::StrongId<struct EpochTag, uint64_t>;

// An instance that follows, as others may call it.
struct Peer {
    Common::Address address;
    Common::FailureDomain domain;

    friend auto operator<=>(const Peer&, const Peer&) = default;
};

struct WatchRequest {
    Common::InstanceId follower;
    Peer peer; // The follower.
    bool isLeaving { false }; // It takes no more work of its peers.
    bool wantsPeers { false }; // A follower asks one control instance for them.
    uint64_t peersVersion { 0 }; // Of the list that it has.
    Epoch epoch; // Of the answers so far; 0 before the first.
    std::vector<Common::Revision> revisions; // One for each shard of the registry; empty before the first answer.
    Common::TableNumber table; // The latest route table that the follower knows of.
};

struct WatchReply {
    Epoch epoch;
    std::vector<Changes> shards;
    Common::TableNumber table; // The committed one.
    std::vector<Common::Address> members; // The control instances.
    Common::FailureDomain domain; // Of the control instance.
    std::vector<Peer> peers; // Instances that asked lately, in order; empty if the follower has this version.
    uint64_t peersVersion { 0 }; // A hash of the list, equal at all control instances that know the same.
};

// Asks for the committed route table.
struct TableRequest { };

struct TableReply {
    Common::TableNumber number; // 0 if there is none.
    std::string document;
};

using Request = std::variant<WatchRequest, TableRequest>;

} // namespace Roster
