#pragma once

#include "Suspects/Evidence.h"

#include <functional>
#include <memory>

namespace Suspects {

// A strike as instances exchange it.
struct ReportedStrike {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    Common::GroupName group;
    Common::FailureDomain domain;
    RunId run;
    VariantId variant;
    Common::Milliseconds age;
    Common::Milliseconds took; // From the send to the loss.
    bool isRefuted { false };
    bool wasAnswered { false };
    bool isAnswered { false };

    friend bool operator==(const ReportedStrike&, const ReportedStrike&) = default;
};

// Strikes under the key of this breadth. Those of a request key are strikes under its other keys too; strikes of these
// are reported only if the answer to another variant stands against them, or to readers that do not get all request
// keys.
struct Record {
    Breadth breadth { Breadth::Request };
    Keys keys; // For the other breadths, only the one key is set.
    std::vector<ReportedStrike> strikes;

    friend bool operator==(const Record&, const Record&) = default;
};

// What another instance lacks.
struct Changes {
    std::vector<Common::Revision> revisions; // Of the sender's board, one for each shard.
    std::vector<Record> records;
};

// Which records a reader needs.
enum class Scope {
    All, // A reader that has had a report gets no strikes that all control instances are told of by another one, unless
         // they make a suspect, and none that were answered or refuted before they could be reported.
    Suspected, // Under keys that are or were suspected. Most requests with a strike are innocent and never strike
               // again.
};

// The standing of a request before and after a strike.
struct StandingChange {
    Standing before { Standing::Clear }; // The worst one over all keys.
    Verdicts after;
};

// The evidence that one instance has, in shards by key, each under its own lock. Bounded: a full shard drops the key
// with the fewest strikes, of these the one that changed first.
class Board {
public:
    explicit Board(Rule = {});
    ~Board();

    // Sets the function to call, without a lock held, after the evidence has changed. Call before the first change.
    void onChange(std::function<void()>);

    Verdicts verdictsOn(const Keys&, Common::TimePoint now) const;
    // The variant of the strike is taken from the keys.
    StandingChange addStrike(const Keys&, Strike);
    // A request that was sent at this time has been answered. The last answer to a key in a group is remembered for a
    // while: it stands against a strike that came before it and becomes known later, and speaks for the request at
    // strikes that come soon after it. Returns whether it changed a strike.
    bool recordAnswer(const Keys&, const Common::GroupName&, Common::TimePoint sentAt, Common::TimePoint now);
    void recordHeartbeat(const Common::BackendServerId&, Common::Incarnation, uint64_t sequence);

    // The strikes that changed after these revisions; all of the scope if there are no revisions.
    Changes changesSince(const std::vector<Common::Revision>&, Scope, Common::TimePoint now) const;
    void merge(const std::vector<Record>&, Reporter, Common::TimePoint now);
    void expire(Common::TimePoint now);
    size_t size() const; // Keys with evidence.

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Suspects
