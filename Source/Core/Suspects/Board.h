#pragma once

#include "Suspects/Evidence.h"

#include <functional>
#include <memory>

namespace Suspects {

// A strike as instances exchange it.
struct ReportedStrike {
    Common::BackendServerId server;
    Common::Incarnation incarnation;
    RunId run;
    Common::Milliseconds age;
    bool isRefuted { false };

    friend bool operator==(const ReportedStrike&, const ReportedStrike&) = default;
};

// The evidence on one content in one group, as instances exchange it.
struct Record {
    Common::ContentDigest content;
    Common::GroupName group;
    uint64_t round { 0 };
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
    All,
    Suspected, // Of contents that are or were suspects. Most contents with a strike are innocent and never strike
               // again.
};

// The evidence that one instance has, in shards by content, each under its own lock. Bounded: a full shard drops the
// content with the fewest strikes, of these the one that changed first.
class Board {
public:
    explicit Board(Rule = {});
    ~Board();

    // Sets the function to call, without a lock held, after the evidence has changed. Call before the first change.
    void onChange(std::function<void()>);

    Verdict verdictOn(const Common::ContentDigest&, Common::TimePoint now) const;
    // Returns whether the strike was kept as news.
    bool addStrike(const Common::ContentDigest&, const Common::GroupName&, const Strike&);
    // A request that was sent at this time has been answered. Remembered for a while: an answer given after a strike
    // that becomes known only later refutes it. Returns whether strikes were taken back.
    bool recordCompletion(
        const Common::ContentDigest&, const Common::GroupName&, Common::TimePoint sentAt, Common::TimePoint now);
    void recordHeartbeat(const Common::BackendServerId&, Common::Incarnation, uint64_t sequence);

    // The records that changed after these revisions; all of the scope if there are no revisions.
    Changes changesSince(const std::vector<Common::Revision>&, Scope, Common::TimePoint now) const;
    void merge(const std::vector<Record>&, Common::TimePoint now);
    void expire(Common::TimePoint now);
    size_t size() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Suspects
