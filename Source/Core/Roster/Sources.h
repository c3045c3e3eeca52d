#pragma once

#include "Roster/Messages.h"
#include "Roster/ServerView.h"

#include <map>
#include <optional>
#include <set>

namespace Roster {

// The state of the control instances as a relay knows it, whichever of them reported it. Plain data.
struct Sources {
    struct Source {
        Common::FailureDomain domain;
        Epoch epoch;
        std::vector<Common::Revision> revisions;
        std::vector<Peer> peers; // Its followers.
        uint64_t peersVersion { 0 };
        Common::TimePoint lastContact;
    };

    std::map<Common::Address, Source> known;
    // Ids under which reports of earlier epochs count, and when they expire. Until then the servers have sent
    // heartbeats to the restarted source.
    std::map<Common::InstanceId, Common::TimePoint> earlierEpochs;
};

std::vector<SourceVersion> sourceVersions(const Sources&);

// Whether the state belongs to an earlier start of the source than the known state, so that it is ignored.
bool isFromEarlierEpoch(const Sources&, const SourceState&, Common::TimePoint now);

// Applies what is newer than the known state of the source, also to `view`. A source that was silent for longer than
// `retention` is ignored. Returns the status changes of servers.
std::vector<StatusChange> applyState(
    Sources&, ServerView&, const SourceState&, Common::TimePoint now, Common::Milliseconds retention);

// Drops sources that were silent for longer than `retention`, unless all were, and expired reports of earlier epochs.
// Returns whether servers may have been lost by that.
bool dropSilent(Sources&, ServerView&, Common::TimePoint now, Common::Milliseconds retention);

// The followers of all sources, sorted.
std::vector<Peer> peersOf(const Sources&);

} // namespace Roster
