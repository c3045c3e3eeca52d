#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Storage {
struct Files;
}

namespace Replica {

struct Options {
    Common::InstanceId self;
    std::vector<Common::InstanceId> voters; // From the settings, the same on each member.
    Common::LogShardId shard;
    std::string folder; // Created if absent; its parent must exist.
    Common::Milliseconds electionTimeout { 400 };
    Common::Milliseconds heartbeat { 100 };
    uint64_t snapshotEvery { 4096 }; // Entries applied between two snapshots.
    uint64_t keptEntries { 1024 }; // Entries kept in the log below a snapshot.
    std::vector<Common::InstanceId> contacts; // For this and the next two, see Consensus::Options.
    size_t targetVoters { 0 };
    size_t minimumCopies { 1 };
    uint64_t seed { 1 }; // Of the election timer.
};

// Functions that a shard calls, never with its lock held. It calls apply, snapshot and restore from one thread at a
// time, in log order, and send from any thread, including from within receive().
struct Hooks {
    std::function<void(const Common::InstanceId& to, std::string bytes)> send;
    // Returns the result that is passed to the proposer.
    std::function<std::string(Common::LogIndex, std::string_view command)> apply;
    std::function<std::string()> snapshot;
    std::function<Common::Result<void>(std::string_view)> restore;
    std::function<void(bool leading, Common::Term)> leadershipChanged; // Optional.
};

enum class Role {
    Learner, // Has no vote: it is new or lost its disk, and has not caught up yet.
    Follower,
    Candidate,
    Leader,
};

struct Status {
    Role role { Role::Learner };
    Common::Term term;
    std::optional<Common::InstanceId> leader;
    Common::LogIndex commit;
    Common::LogIndex applied;
    Common::LogIndex lastIndex;
    Common::LogIndex snapshotIndex;
    std::vector<Common::InstanceId> voters;
    std::vector<Common::InstanceId> learners;
    // When this member last held all that was committed; empty if it has not since its start.
    std::optional<Common::TimePoint> currentAt;
    std::optional<Common::TimePoint> oldestWriteAt; // When the oldest write was requested that is not durable yet.
    bool storageFailed { false }; // The shard no longer takes part in consensus; the process should exit.
};

// One shard of the replicated log, with its own lock, files and threads.
class LogShard {
public:
    using ProposeDone = std::function<void(Common::Result<std::string>)>;
    using ReadDone = std::function<void(Common::Result<Common::LogIndex>)>;

    // Recovers from the folder. Calls restore with the snapshot, if there is one, before it returns.
    // Errors: StorageFailed, Corrupt (naming file and offset), Conflict (another process uses the folder),
    // InvalidInput.
    static Common::Result<std::unique_ptr<LogShard>> open(Options, Hooks);
    // As above, with the given file system functions instead of the system's.
    static Common::Result<std::unique_ptr<LogShard>> open(Options, Hooks, const Storage::Files&);
    ~LogShard();
    LogShard(const LogShard&) = delete;
    LogShard& operator=(const LogShard&) = delete;

    // Handles an encoded Consensus::Message. Drops bytes that do not decode and messages with another sender.
    void receive(const Common::InstanceId& from, std::string_view bytes);
    // Calls done once. Unavailable: this member is not the leader, and the command was not accepted. ConnectionLost:
    // the outcome is unknown, since leadership was lost while the command was pending.
    void propose(std::string command, ProposeDone done);
    // Calls done with the read index, after a quorum has confirmed leadership and that index is applied locally.
    // Unavailable: this member is not the leader, or lost leadership.
    void confirmRead(ReadDone done);
    Status status() const;
    // Replaces the instances to which a member outside the group announces itself.
    void setContacts(std::vector<Common::InstanceId>);
    // Transfers leadership to the most caught-up voter before a planned stop. Returns when leadership is lost, or after
    // an election timeout.
    void transferLeadership();
    // Joins the threads. Pending proposals get ConnectionLost or Unavailable. Must not be called from a hook.
    void stop();

private:
    class Private;
    explicit LogShard(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Replica
