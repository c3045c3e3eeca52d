#pragma once

#include "Roster/Messages.h"
#include "Roster/Registry.h"

#include <optional>

namespace Roster {

// What another control instance heard, as a control instance keeps it to pass it on. Plain data: the caller keeps it
// under a lock.
struct Mirror {
    Common::FailureDomain domain;
    Epoch epoch;
    std::vector<Registry> shards;
    std::vector<Peer> peers;
    uint64_t peersVersion { 0 };
    std::optional<Common::TimePoint> lastContact;
};

SourceVersion sourceVersion(const Mirror&, const Common::Address& source);

// Takes in what the source told of itself. Returns whether followers have something to learn.
bool applyState(Mirror&, const SourceState&, Common::TimePoint now);

// What a follower lacks; `known` is null if it knows nothing of the source.
SourceState stateFor(const Mirror&, const Common::Address& source, const SourceVersion* known, Common::TimePoint now);

// Whether the state holds anything that the follower does not know.
bool hasChanges(const SourceState&, const SourceVersion* known);

const SourceVersion* findVersion(const std::vector<SourceVersion>&, const Common::Address& source);

// Forgets servers that left or were lost before this time.
void forgetBefore(Mirror&, Common::TimePoint);

} // namespace Roster
