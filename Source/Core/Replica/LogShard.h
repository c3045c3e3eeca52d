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
    std::vector<Common::InstanceId> voters; // Of the settings, the same on each member.
    Common::LogShardId shard;
    std::string folder; // Is created if absent; its parent must exist.
    Common::Milliseconds electionTimeout { 400 };
    Common::Milliseconds heartbeat { 100 };
    uint64_t snapshotEvery { 4096 }; // Entries applied between two snapshots.
    uint64_t keptEntries { 1024 }; // Left in the log below a snapshot.
    std::vector<Common::InstanceId> contacts; // See Consensus::Options for these three.
    size_t targetVoters { 0 };
    size_t minimumCopies { 1 };
    uint64_t seed { 1 }; // Of the election timer.
};

// What a shard calls, never with its lock held. apply, snapshot and restore come from one thread at a time, in log
// order. send may be called from any thread, also from inside receive.
struct Hooks {
    std::function<void(const Common::InstanceId& to, std::string bytes)> send;
    // Returns the bytes that the proposer gets as its result.
    std::function<std::string(Common::LogIndex, std::string_view command)> apply;
    std::function<std::string()> snapshot;
    std::function<Common::Result<void>(std::string_view)> restore;
    std::function<void(bool leading, Common::Term)> leadershipChanged; // Optional.
};

enum class Role {
    Learner, // Has no vote: it is new, or it lost its disk and has not caught up yet.
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
    bool storageFailed { false }; // The shard takes no further part; the process should end.
};

// One shard of the replicated log: its state under its own lock, its own files and threads.
class LogShard {
public:
    using ProposeDone = std::function<void(Common::Result<std::string>)>;
    using ReadDone = std::function<void(Common::Result<Common::LogIndex>)>;

    // Recovers from the folder; calls restore and apply before it returns as far as the snapshot goes.
    // Errors: StorageFailed, Corrupt (naming file and offset), Conflict (another process uses the folder),
    // InvalidInput.
    static Common::Result<std::unique_ptr<LogShard>> open(Options, Hooks);
    // With another file system than the machine's own.
    static Common::Result<std::unique_ptr<LogShard>> open(Options, Hooks, const Storage::Files&);
    ~LogShard();
    LogShard(const LogShard&) = delete;
    LogShard& operator=(const LogShard&) = delete;

    // Takes an encoded Consensus message. Bytes that do not decode are dropped.
    void receive(const Common::InstanceId& from, std::string_view bytes);
    // done is called once. Unavailable: this member does not lead and nothing was accepted. ConnectionLost: the outcome
    // is unknown, since the lead was lost while the command was pending.
    void propose(std::string command, ProposeDone done);
    // done gets the index at which a local read is current, after a quorum confirmed the lead and that index was
    // applied. Unavailable: this member does not lead, or lost the lead.
    void confirmRead(ReadDone done);
    Status status() const;
    // Gives the lead to the most caught-up voter before a planned stop. Returns when the lead is gone, or after an
    // election timeout.
    void transferLeadership();
    // Joins the threads. Pending proposals get ConnectionLost or Unavailable. Must not be called from a hook.
    void stop();

private:
    class Private;
    explicit LogShard(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Replica
