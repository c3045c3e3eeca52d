#pragma once

#include "Roster/Messages.h"
#include "Roster/Registry.h"

#include <optional>

namespace Roster {

// A control instance's copy of the state of another control instance, which it forwards to followers. Plain data: the
// caller keeps it under a lock.
struct Mirror {
    Common::FailureDomain domain;
    Epoch epoch;
    std::vector<Registry> shards;
    std::vector<Peer> peers;
    uint64_t peersVersion { 0 };
    Common::TableNumber table; // The latest route table that the source has applied.
    std::optional<Common::TimePoint> lastContact;
};

SourceVersion sourceVersion(const Mirror&, const Common::Address& source);

// Applies the state that the source reported of itself. Returns whether it changed anything for followers.
bool applyState(Mirror&, const SourceState&, Common::TimePoint now);

// What the source has reported of the server's starts.
KnownStart knownStart(const Mirror&, const Common::BackendServerId&);

// The servers' departures in the state. Those without an incarnation, which instances of earlier versions report, are
// left out: they apply only to what their source knows.
std::vector<Report> departuresIn(const SourceState&);

// The state that a follower lacks; `known` is null if it has nothing of the source.
SourceState stateFor(const Mirror&, const Common::Address& source, const SourceVersion* known, Common::TimePoint now);

// Whether the state holds anything that the follower does not have.
bool hasChanges(const SourceState&, const SourceVersion* known);

const SourceVersion* findVersion(const std::vector<SourceVersion>&, const Common::Address& source);

// Removes servers that left or were lost before this time.
void forgetBefore(Mirror&, Common::TimePoint);

} // namespace Roster
