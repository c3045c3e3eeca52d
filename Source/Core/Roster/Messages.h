#pragma once

#include "Roster/Departures.h"
#include "Roster/Evacuations.h"
#include "Roster/Records.h"
#include "Suspects/Board.h"

#include <string>
#include <variant>

// Requests by which instances follow a control instance, and the replies. A control instance also forwards the state of
// the other control instances, so a relay needs to follow only one, in its own failure domain.
namespace Roster {

// Increases with each start of a control instance; a new epoch invalidates the state of earlier ones.
using Epoch = Common::Quantity<struct EpochTag, uint64_t>;

// A follower and the address at which other instances reach it.
struct Peer {
    Common::Address address;
    Common::FailureDomain domain;

    friend auto operator<=>(const Peer&, const Peer&) = default;
};

// How much of a control instance's state the follower already has.
struct SourceVersion {
    Common::Address source;
    Epoch epoch;
    std::vector<Common::Revision> revisions; // One for each shard of its registry.
    uint64_t peersVersion { 0 };
};

// How much of a control instance's evidence on suspected requests the follower already has.
struct SuspectsVersion {
    Epoch epoch;
    std::vector<Common::Revision> revisions;
};

struct WatchRequest {
    Common::InstanceId follower;
    Peer peer; // The follower.
    bool isLeaving { false }; // The follower takes no more work from its peers.
    bool isControl { false }; // The follower wants only the receiver's own state.
    std::vector<SourceVersion> known;
    // The latest route table that the follower has or, for a control instance, that it knows the receiver to have.
    Common::TableNumber table;
    SuspectsVersion suspects; // Of the receiver.
    Common::Revision evacuations; // Of those that the follower has.
};

// The part of a control instance's state that a follower lacks.
struct SourceState {
    Common::Address source;
    Common::FailureDomain domain;
    Epoch epoch;
    Common::Milliseconds silentFor; // Since the replying instance last received its state; 0 for itself.
    std::vector<Changes> shards; // Empty if the follower has a later epoch.
    std::vector<Peer> peers; // Its recent followers, sorted; empty if the follower has this version.
    uint64_t peersVersion { 0 }; // Increases within the epoch.
    Common::TableNumber table; // The latest route table that it has applied.
};

struct WatchReply {
    std::vector<SourceState> sources;
    Common::TableNumber table; // The latest one that the replying instance has applied.
    // Since the replying instance last held all that was committed; infinite if it has not since its start.
    Common::Milliseconds logBehind;
    std::vector<Common::Address> members; // The control instances.
    Epoch epoch; // Of the replying instance; 0 from instances that send no evidence.
    Suspects::Changes suspects; // The replying instance's evidence that the follower lacks.
    Evacuations evacuations; // Revision 0 if the follower has them.
};

// Evidence that the sender has and the receiver may lack.
struct SuspectsReport {
    std::vector<Suspects::Record> records;
};

// Requests the committed route table.
struct TableRequest { };

struct TableReply {
    Common::TableNumber number; // 0 if there is none.
    std::string document;
};

// Asks a control instance to hold a departure that the sender received.
struct DepartureReport {
    Departure departure;
};

struct DepartureReply {
    Common::Incarnation held; // The latest start of the server whose end the replying instance holds.
};

using Request = std::variant<WatchRequest, TableRequest, SuspectsReport, DepartureReport>;

} // namespace Roster
