#pragma once

#include "Roster/Messages.h"
#include "Roster/ServerView.h"

#include <map>
#include <optional>
#include <set>

namespace Roster {

// What a relay knows of the control instances, whichever of them told it. Plain data.
struct Sources {
    struct Source {
        Common::FailureDomain domain;
        Epoch epoch;
        std::vector<Common::Revision> revisions;
        std::vector<Peer> peers; // Instances that follow it.
        uint64_t peersVersion { 0 };
        Common::TimePoint lastContact;
    };

    std::map<Common::Address, Source> known;
    // Vouchers of sources that started anew, until the servers have renewed themselves there.
    std::map<Common::InstanceId, Common::TimePoint> earlier;
};

std::vector<SourceVersion> sourceVersions(const Sources&);

// Takes in what is newer than what is known of the source, into `view` too. A source that was silent for longer than
// `memory` is ignored.
std::vector<StatusChange> applyState(
    Sources&, ServerView&, const SourceState&, Common::TimePoint now, Common::Milliseconds memory);

// Drops sources that were silent for longer than `memory`, unless all were, and reportedBy of earlier starts. Returns
// whether servers may have been lost by that.
bool dropSilent(Sources&, ServerView&, Common::TimePoint now, Common::Milliseconds memory);

// The instances that follow any of them, in order.
std::vector<Peer> peersOf(const Sources&);

} // namespace Roster
