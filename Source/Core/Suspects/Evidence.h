#pragma once

#include "Common/Clock.h"
#include "Common/ContentDigest.h"
#include "Common/Ids.h"

#include <map>
#include <optional>
#include <vector>

// Which requests are suspected of crashing the backend servers that run them. A crash shows only as a connection that
// ended without an answer, as a killed server, a broken answer or a partition does, so one sign proves nothing: what
// counts are several signs in different sends of the same content, none of them contradicted. Answers the load of a
// request that ends each server it reaches and that its caller sends again and again.
namespace Suspects {

// The sends of a call that are in flight together. Servers lost in one run may have one cause that is not the request,
// such as a rack without power, so a run counts once.
using RunId = Common::StrongId<struct RunIdTag, uint64_t>;

RunId runOf(const Common::RequestId&, bool isRetry);

// A server's connection ended without an answer while it had the request.
struct Strike {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    RunId run;
    Common::TimePoint at;
    bool isRefuted { false }; // The server was alive afterwards.
    std::optional<uint64_t> heardSequence; // Of the first heartbeat after the strike, as this instance received it.
};

// The strikes in one backend group. A completion proves the request harmless there and starts a new round without
// strikes; it proves nothing about the other groups of a fan-out, which hold other data.
struct GroupEvidence {
    uint64_t round { 0 };
    std::vector<Strike> strikes; // Oldest first.
};

// What is known of one content.
struct Evidence {
    std::map<Common::GroupName, GroupEvidence> groups;
    Common::TimePoint changedAt;
};

struct Rule {
    size_t suspectAfterRuns { 2 };
    size_t quarantineAfterRuns { 3 };
    Common::Milliseconds quarantineFor { 300'000 };
    // For a request that was completed since its first strike, and so does not crash each server that runs it. Closed,
    // it could not be completed again, so this must be short.
    Common::Milliseconds quarantineCompletedFor { 10'000 };
    // After the quarantine the request is admitted as a suspect: one more loss quarantines it again.
    Common::Milliseconds suspectFor { 300'000 };
    size_t maximumGroups { 8 }; // Further groups change no verdict.
    size_t maximumStrikes { 8 }; // In each group; the oldest are dropped.
};

enum class Standing {
    Clear,
    Suspect, // One first send at a time, no retries or hedges.
    Quarantined, // Nothing is sent.
};

// "clear", "suspect", "quarantined".
const char* standingName(Standing);

struct Verdict {
    Standing standing { Standing::Clear };
    std::optional<Common::GroupName> group; // If only servers of this group were lost: the others are not affected.
    Common::Milliseconds remaining; // Of the quarantine.
};

// These return whether the evidence has changed.
bool addStrike(Evidence&, const Common::GroupName&, const Strike&, const Rule&);
bool recordCompletion(Evidence&, const Common::GroupName&, Common::TimePoint now);
// A heartbeat of the server. The second one after a strike refutes it; the first may have been sent before the strike.
bool recordHeartbeat(Evidence&, const Common::BackendServerId&, Common::Incarnation, uint64_t sequence);
// Adds what another instance knows: of each group the later round counts, and within a round all strikes. The result
// does not depend on the order of merges, as long as the limits of the rule are not reached.
bool merge(Evidence&, const Common::GroupName&, const GroupEvidence&, const Rule&, Common::TimePoint now);

Verdict judge(const Evidence&, const Rule&, Common::TimePoint now);
// Whether the evidence no longer matters.
bool isExpired(const Evidence&, const Rule&, Common::TimePoint now);

// Whether the verdict lets a request to the group be sent. Every path to a server asks this: first sends, retries,
// hedges, and sends for other instances.
bool maySend(const Verdict&, const Common::GroupName&, bool isFirstSend);

} // namespace Suspects
