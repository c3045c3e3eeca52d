#pragma once

#include "Common/Error.h"
#include "Control/StateMachine.h"
#include "Observe/Metrics.h"
#include "Peer/Client.h"
#include "Replica/LogShard.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace Daemon {

// This control instance's replicas of all log shards. Each shard has its log and the state machine that the log drives,
// under its own lock. Log shard 0 stores the configuration, the others store claims.
class ReplicatedState {
public:
    struct Hooks {
        std::function<void(bool leading, Common::Term)> configurationLeadership;
        std::function<void()> configurationChanged;
    };

    static Common::Result<std::unique_ptr<ReplicatedState>> open(
        const Settings::Daemon&, Peer::Client&, Observe::Metrics&, Hooks);
    ~ReplicatedState();

    uint32_t claimShards() const;
    // Handles a message of the service Consensus from another member.
    void receive(const Common::InstanceId& from, std::string_view bytes);

    using ProposeDone = std::function<void(Common::Result<Control::CommandOutcome>)>;
    // Errors: those of Replica::LogShard::propose, and InvalidInput for a shard that does not exist.
    void propose(Common::LogShardId, const Control::Command&, ProposeDone done);
    // Calls done once a quorum has confirmed that this instance leads log shard 0 and its state here is current.
    void confirmConfiguration(std::function<void(Common::Result<void>)> done);

    // These call fn with the state, under its lock.
    void withConfiguration(const std::function<void(const Control::Configuration&)>& fn) const;
    void withClaims(Common::LogShardId, const std::function<void(const Once::Claims&)>& fn) const;

    bool leads(Common::LogShardId) const;
    std::optional<Common::Address> leaderOf(Common::LogShardId) const;
    std::vector<Replica::Status> status() const;
    Replica::Status configurationStatus() const; // Of log shard 0.
    // Returns the addresses of all members of log shard 0, including this one.
    std::vector<Common::Address> memberAddresses() const;

    // Replaces the seeds, to which an instance outside the group announces itself.
    void setSeeds(const std::vector<Common::Address>&);
    // Gives up the leadership of all log shards, before a planned stop.
    void transferLeadership();
    void stop();

private:
    struct Private;
    explicit ReplicatedState(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Daemon
