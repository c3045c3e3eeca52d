#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Suspects/Keys.h"

#include <optional>
#include <vector>

// Which requests are suspected of crashing the backend servers that run them. A crash shows only as a connection that
// ended without an answer, as a killed server, a broken answer or a partition does, so one sign proves nothing: what
// counts are several signs in different sends of the same request, none of them contradicted. Answers the load of a
// request that ends each server it reaches and that its caller sends again and again.
namespace Suspects {

// The sends of a call for one purpose, such as its first sends to several groups. Servers lost in one run may have one
// cause that is not the request, such as a rack without power, so a run counts once.
using RunId = Common::StrongId<struct RunIdTag, uint64_t>;

RunId runOf(const Common::RequestId&, uint64_t purpose);

// The request key of a send, shortened.
using VariantId = Common::StrongId<struct VariantIdTag, uint64_t>;

VariantId variantOf(const Keys&);

// Who told this instance of a strike.
enum class Reporter {
    Itself,
    Relay,
    Control, // It tells the other control instances as well.
};

// A server's connection ended without an answer while it had the request.
struct Strike {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    Common::GroupName group;
    Common::FailureDomain domain;
    RunId run;
    VariantId variant;
    Common::TimePoint sentAt;
    Common::TimePoint at;
    bool isRefuted { false }; // The server was alive afterwards.
    bool wasAnswered { false }; // A send with the same key was answered in the group shortly before.
    bool isAnswered { false }; // A later send with the same key was answered in the group.
    std::optional<uint64_t> heardSequence; // Of the first heartbeat after the strike, as this instance received it.
    bool isAnsweredByOther { false }; // Only under a wide key, by the answer to another variant.
    Reporter reporter { Reporter::Itself };
    Common::Revision addedAt; // Of this instance's evidence, as changedAt.
    Common::Revision changedAt;
};

// What is known of the requests with one key.
struct Evidence {
    Breadth breadth { Breadth::Request };
    std::vector<Strike> strikes; // Oldest first, those of the same time by server and variant.
    Common::TimePoint changedAt;
    Common::Revision revision; // Given to the strikes that the next call changes.
};

struct Rule {
    size_t suspectAfterLosses { 2 };
    size_t quarantineAfterLosses { 3 };
    Common::Milliseconds quarantineFor { 300'000 };
    // Requests that were answered shortly before or since do not crash each server that runs them, and are mostly those
    // that were in flight on servers that another request crashed. They need more losses.
    size_t answeredFactor { 2 };
    Common::Milliseconds answeredWithin { 60'000 };
    // Closed, they could not be answered again, so this must be short. It grows with each further loss.
    Common::Milliseconds quarantineAnsweredFor { 10'000 };
    double quarantineGrowth { 3 };
    // After the quarantine the request is admitted as a suspect: one more loss quarantines it again.
    Common::Milliseconds suspectFor { 300'000 };
    // Losses at the same time in one failure domain may have one cause, unless one send followed the other.
    Common::Milliseconds simultaneousWithin { 100 };
    // That count under a wide key, since the request key is closed for the variant. A caller that changes its query is
    // suspected with the next one already; other callers with the same content are not.
    size_t maximumLossesOfQuery { 2 };
    size_t maximumLossesOfAddress { 1 };
    size_t maximumStrikes { 32 }; // Of a key; the oldest are dropped.
    size_t maximumStrikesOfRun { 4 }; // Further servers lost in a run change no verdict.
};

enum class Standing {
    Clear,
    Suspect, // One first send at a time, no retries or hedges.
    Quarantined, // Nothing is sent.
};

// "clear", "suspect", "quarantined".
const char* standingName(Standing);

// On the requests with one key.
struct Verdict {
    Standing standing { Standing::Clear };
    std::optional<Common::GroupName> group; // If only servers of this group were lost: the others are not affected.
    Common::Milliseconds remaining; // Of the quarantine.
    Breadth breadth { Breadth::Request };
};

// On the keys of one request, without those that are clear.
using Verdicts = std::vector<Verdict>;

// These return whether the evidence has changed.
bool addStrike(Evidence&, const Strike&, const Rule&);
// A request with this key that was sent at this time has been answered. Each answer stands against one earlier strike
// in its group, of its own variant if there is one: a request that is answered more often than it loses servers does
// not become a suspect.
bool recordAnswer(Evidence&, const Common::GroupName&, VariantId, Common::TimePoint sentAt, Common::TimePoint now);
// A heartbeat of the server. The second one after a strike refutes it; the first may have been sent before the strike.
bool recordHeartbeat(Evidence&, const Common::BackendServerId&, Common::Incarnation, uint64_t sequence);

// The losses that count: of different servers, in different runs, and for a wide key few of a variant.
size_t countLosses(const Evidence&, const Rule&, Common::TimePoint now);
Verdict judge(const Evidence&, const Rule&, Common::TimePoint now);
// Whether the evidence no longer matters.
bool isExpired(const Evidence&, const Rule&, Common::TimePoint now);

// Whether the verdicts let a request to the group be sent. Every path to a server asks this: first sends, retries,
// hedges, and sends for other instances.
bool maySend(const Verdicts&, const Common::GroupName&, bool isFirstSend);
// The worst standing, whether it holds for all groups or one.
Standing worstStanding(const Verdicts&);
// The worst standing that holds for all groups.
Standing standingInAllGroups(const Verdicts&);
// Of the longest quarantine.
Common::Milliseconds remainingOf(const Verdicts&);

} // namespace Suspects
