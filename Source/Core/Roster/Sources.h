#pragma once

#include "Roster/Merged.h"
#include "Roster/Messages.h"

#include <map>
#include <optional>
#include <set>

namespace Roster {

// What a relay knows of the control instances, whichever of them told it. Plain data.
struct Sources {
    struct One {
        Common::FailureDomain domain;
        Epoch epoch;
        std::vector<Common::Revision> revisions;
        std::vector<Peer> peers; // Instances that follow it.
        uint64_t peersVersion { 0 };
        Common::TimePoint heardAt;
    };

    std::map<Common::Address, One> known;
    // Vouchers of sources that started anew, until the servers have renewed themselves there.
    std::map<Common::InstanceId, Common::TimePoint> earlier;
};

std::vector<Known> knownOf(const Sources&);

// Takes in what is newer than what is known of the source, into `merged` too. A source that was silent for longer than
// `memory` is ignored.
std::vector<Learned> take(Sources&, Merged&, const SourceState&, Common::TimePoint now, Common::Milliseconds memory);

// Drops sources that were silent for longer than `memory`, unless all were, and vouchers of earlier starts. Returns
// whether servers may have been lost by that.
bool dropSilent(Sources&, Merged&, Common::TimePoint now, Common::Milliseconds memory);

// The instances that follow any of them, in order.
std::vector<Peer> peersOf(const Sources&);

} // namespace Roster
