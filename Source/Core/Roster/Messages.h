#pragma once

#include "Roster/Records.h"

#include <string>
#include <variant>

// What entry instances ask each control instance again and again, and what they get.
namespace Roster {

// Counts one start of a control instance after another; what an earlier one told is gone.
using Epoch = Common::StrongId<struct EpochTag, uint64_t>;

struct WatchRequest {
    Common::InstanceId follower;
    Epoch epoch; // Of the answers so far; 0 before the first.
    std::vector<Common::Revision> revisions; // One for each shard of the registry; empty before the first answer.
    Common::TableNumber table; // The latest route table that the follower knows of.
};

struct WatchReply {
    Epoch epoch;
    std::vector<Changes> shards;
    Common::TableNumber table; // The committed one.
    std::vector<Common::Address> members; // The control instances.
    uint32_t followers { 0 }; // Instances that asked lately.
};

// Asks for the committed route table.
struct TableRequest { };

struct TableReply {
    Common::TableNumber number; // 0 if there is none.
    std::string document;
};

using Request = std::variant<WatchRequest, TableRequest>;

} // namespace Roster
