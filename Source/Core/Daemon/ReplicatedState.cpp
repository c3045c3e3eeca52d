#include "Daemon/ReplicatedState.h"

#include "Common/Hash.h"
#include "Observe/Log.h"
#include "Wire/ControlCodec.h"
#include "Wire/OnceCodec.h"

#include <cerrno>
#include <cstring>
#include <map>
#include <sys/stat.h>

using Common::LogShardId;
using Common::Reason;
using Common::Result;
using Observe::Part;

namespace Daemon {

namespace {

    // Bytes of the log shard's number, little-endian, before each consensus message.
    constexpr size_t shardPrefixLength = 4;
    constexpr Common::Milliseconds sendTimeout { 1'000 };

    std::string addPrefix(LogShardId shard, const std::string& bytes)
    {
        std::string out(shardPrefixLength, '\0');
        for (size_t i = 0; i < shardPrefixLength; ++i)
            out[i] = static_cast<char>((shard.value() >> (8 * i)) & 0xff);
        return out + bytes;
    }

    LogShardId readPrefix(std::string_view bytes)
    {
        uint32_t shard = 0;
        for (size_t i = 0; i < shardPrefixLength; ++i)
            shard |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return LogShardId(shard);
    }

    Result<void> makeFolder(const std::string& path)
    {
        if (!::mkdir(path.c_str(), 0755) || errno == EEXIST)
            return Common::success();
        return Common::makeError(Reason::StorageFailed, "make-folder", path + ": " + std::strerror(errno));
    }

    // Revisions kept for lagging followers in systems with dynamic membership, which store few resources.
    constexpr uint64_t dynamicMembershipHistory = 64;

    Control::ShardState makeState(LogShardId id, const Settings::Control& settings)
    {
        Control::ConfigurationLimits limits;
        if (!settings.seeds.empty())
            limits.history = dynamicMembershipHistory;
        limits.rememberedChanges = static_cast<uint64_t>(settings.rememberedChanges);
        Once::Settings once;
        once.maximumRecords = static_cast<uint64_t>(settings.rememberedClaims);
        return Control::makeShardState(id, limits, once);
    }

    struct Shard {
        LogShardId id;
        std::unique_ptr<Replica::LogShard> log;
        mutable std::mutex mutex; // Guards the state.
        Control::ShardState state;
    };

} // namespace

struct ReplicatedState::Private {
    Private(const Settings::Daemon& s, Peer::Client& p, Observe::Metrics& m)
        : settings(s)
        , peers(p)
        , metrics(m)
    {
    }

    const Settings::Daemon& settings;
    Peer::Client& peers;
    Observe::Metrics& metrics;
    Hooks hooks;
    std::map<Common::InstanceId, Common::Address> members;
    std::vector<std::unique_ptr<Shard>> shards;

    Result<void> openShard(LogShardId);
    Replica::Hooks makeHooks(Shard&);
    std::string apply(Shard&, std::string_view command);
    Result<void> restore(Shard&, std::string_view bytes);
    Shard* find(LogShardId) const;
    std::optional<Common::Address> addressOf(const Common::InstanceId&) const;
};

// With dynamic membership, where the settings list seeds and no members, the id of an instance is its address.
std::optional<Common::Address> ReplicatedState::Private::addressOf(const Common::InstanceId& instance) const
{
    if (!settings.control.seeds.empty())
        return Common::Address(instance.value());
    auto it = members.find(instance);
    return it == members.end() ? std::nullopt : std::optional(it->second);
}

Shard* ReplicatedState::Private::find(LogShardId id) const
{
    return id.value() < shards.size() ? shards[id.value()].get() : nullptr;
}

std::string ReplicatedState::Private::apply(Shard& shard, std::string_view bytes)
{
    auto command = Wire::decodeCommand(bytes);
    if (!command)
        return Wire::encode(Control::CommandOutcome(Control::CommandRefused { command.error() }));
    Control::CommandOutcome outcome;
    {
        std::lock_guard lock(shard.mutex);
        outcome = Control::applyCommand(shard.state, command.value());
    }
    if (shard.id == Control::configurationShard && hooks.configurationChanged)
        hooks.configurationChanged();
    return Wire::encode(outcome);
}

Result<void> ReplicatedState::Private::restore(Shard& shard, std::string_view bytes)
{
    if (shard.id == Control::configurationShard) {
        BOOST_OUTCOME_TRY(configuration, Wire::decodeConfiguration(bytes));
        std::lock_guard lock(shard.mutex);
        shard.state = std::move(configuration);
    } else {
        BOOST_OUTCOME_TRY(claims, Wire::decodeClaims(bytes));
        std::lock_guard lock(shard.mutex);
        shard.state = std::move(claims);
    }
    if (shard.id == Control::configurationShard && hooks.configurationChanged)
        hooks.configurationChanged();
    return Common::success();
}

Replica::Hooks ReplicatedState::Private::makeHooks(Shard& shard)
{
    Replica::Hooks out;
    out.send = [this, id = shard.id](const Common::InstanceId& to, const std::string& bytes) {
        if (auto address = addressOf(to))
            peers.call(*address, Peer::Service::Consensus, addPrefix(id, bytes), sendTimeout, [](const auto&) {});
    };
    out.apply = [this, &shard](Common::LogIndex, std::string_view command) { return apply(shard, command); };
    out.snapshot = [&shard] {
        std::lock_guard lock(shard.mutex);
        return std::visit([](const auto& state) { return Wire::encodeSnapshot(state); }, shard.state);
    };
    out.restore = [this, &shard](std::string_view bytes) { return restore(shard, bytes); };
    out.leadershipChanged = [this, id = shard.id](bool leading, Common::Term term) {
        metrics.set(Observe::Gauge::Leader, leading ? 1 : 0, std::to_string(id.value()));
        LOG_INFO(Part::Control,
            "Log shard " << id << ": " << (leading ? "this instance leads" : "this instance follows") << " in term "
                         << term << ".");
        if (id == Control::configurationShard && hooks.configurationLeadership)
            hooks.configurationLeadership(leading, term);
    };
    return out;
}

Result<void> ReplicatedState::Private::openShard(LogShardId id)
{
    auto shard = std::make_unique<Shard>();
    shard->id = id;
    shard->state = makeState(id, settings.control);
    Replica::Options options;
    options.self = settings.instance;
    for (auto& member : settings.control.members)
        options.voters.push_back(member.instance);
    for (auto& seed : Settings::seedPeers(settings)) {
        options.contacts.emplace_back(seed.value());
        if (settings.control.bootstrap)
            options.voters.emplace_back(seed.value());
    }
    if (!settings.control.seeds.empty()) {
        // A majority of voters remains after the tolerated number of losses.
        auto tolerated = static_cast<size_t>(settings.control.toleratedDiskLosses);
        options.targetVoters = 2 * tolerated + 1;
        options.minimumCopies = tolerated + 1;
    }
    options.keptEntries = static_cast<uint64_t>(settings.control.keptEntries);
    options.shard = id;
    options.folder = settings.dataFolder + "/log-" + std::to_string(id.value());
    options.electionTimeout = settings.control.electionTimeout;
    options.heartbeat = settings.control.heartbeat;
    options.snapshotEvery = static_cast<uint64_t>(settings.control.snapshotEvery);
    options.seed = Common::hash64(settings.instance.value(), id.value());
    Shard& added = *shard;
    shards.push_back(std::move(shard));
    BOOST_OUTCOME_TRY(log, Replica::LogShard::open(options, makeHooks(added)));
    added.log = std::move(log);
    return Common::success();
}

ReplicatedState::ReplicatedState(std::unique_ptr<Private> p)
    : m_private(std::move(p))
{
}

ReplicatedState::~ReplicatedState() { stop(); }

Result<std::unique_ptr<ReplicatedState>> ReplicatedState::open(
    const Settings::Daemon& settings, Peer::Client& peers, Observe::Metrics& metrics, Hooks hooks)
{
    BOOST_OUTCOME_TRYV(makeFolder(settings.dataFolder));
    auto p = std::make_unique<Private>(settings, peers, metrics);
    p->hooks = std::move(hooks);
    for (auto& member : settings.control.members)
        p->members[member.instance] = member.address;
    std::unique_ptr<ReplicatedState> state(new ReplicatedState(std::move(p)));
    for (int i = 0; i <= settings.control.claimShards; ++i) {
        auto id = static_cast<uint32_t>(i);
        BOOST_OUTCOME_TRYV(state->m_private->openShard(LogShardId(id)));
    }
    return state;
}

uint32_t ReplicatedState::claimShards() const { return static_cast<uint32_t>(m_private->settings.control.claimShards); }

void ReplicatedState::receive(const Common::InstanceId& from, std::string_view bytes)
{
    if (bytes.size() < shardPrefixLength)
        return;
    Shard* shard = m_private->find(readPrefix(bytes));
    // Other members may send before all shards are open here.
    if (shard && shard->log)
        shard->log->receive(from, bytes.substr(shardPrefixLength));
}

void ReplicatedState::propose(LogShardId id, const Control::Command& command, ProposeDone done)
{
    Shard* shard = m_private->find(id);
    if (!shard) {
        done(Common::makeError(Reason::InvalidInput, "propose", "there is no log shard " + std::to_string(id.value())));
        return;
    }
    auto proposed = Common::Clock::now();
    auto& metrics = m_private->metrics;
    shard->log->propose(
        Wire::encode(command), [done = std::move(done), proposed, &metrics, id](const Result<std::string>& result) {
            if (!result) {
                done(result.error());
                return;
            }
            metrics.observe(Observe::Latency::Commit, Common::Clock::now() - proposed, std::to_string(id.value()));
            done(Wire::decodeCommandOutcome(result.value()));
        });
}

void ReplicatedState::confirmConfiguration(std::function<void(Result<void>)> done)
{
    m_private->shards.front()->log->confirmRead([done = std::move(done)](const Result<Common::LogIndex>& result) {
        if (result)
            done(Common::success());
        else
            done(result.error());
    });
}

void ReplicatedState::withConfiguration(const std::function<void(const Control::Configuration&)>& fn) const
{
    const Shard& shard = *m_private->shards.front();
    std::lock_guard lock(shard.mutex);
    fn(std::get<Control::Configuration>(shard.state));
}

void ReplicatedState::withClaims(LogShardId id, const std::function<void(const Once::Claims&)>& fn) const
{
    const Shard* shard = m_private->find(id);
    if (!shard)
        return;
    std::lock_guard lock(shard->mutex);
    if (auto claims = std::get_if<Once::Claims>(&shard->state))
        fn(*claims);
}

bool ReplicatedState::leads(LogShardId id) const
{
    const Shard* shard = m_private->find(id);
    return shard && shard->log->status().role == Replica::Role::Leader;
}

std::optional<Common::Address> ReplicatedState::leaderOf(LogShardId id) const
{
    const Shard* shard = m_private->find(id);
    if (!shard)
        return std::nullopt;
    auto leader = shard->log->status().leader;
    if (!leader || *leader == m_private->settings.instance)
        return std::nullopt;
    return m_private->addressOf(*leader);
}

std::vector<Replica::Status> ReplicatedState::status() const
{
    std::vector<Replica::Status> all;
    for (auto& shard : m_private->shards)
        all.push_back(shard->log->status());
    return all;
}

Replica::Status ReplicatedState::configurationStatus() const { return m_private->shards.front()->log->status(); }

std::vector<Common::Address> ReplicatedState::memberAddresses() const
{
    std::vector<Common::Address> addresses;
    auto status = configurationStatus();
    for (auto& list : { status.voters, status.learners }) {
        for (const Common::InstanceId& member : list) {
            if (auto address = m_private->addressOf(member))
                addresses.push_back(*address);
        }
    }
    return addresses;
}

void ReplicatedState::setSeeds(const std::vector<Common::Address>& seeds)
{
    std::vector<Common::InstanceId> contacts;
    contacts.reserve(seeds.size());
    for (const Common::Address& seed : seeds)
        contacts.emplace_back(seed.value());
    for (auto& shard : m_private->shards)
        shard->log->setContacts(contacts);
}

void ReplicatedState::transferLeadership()
{
    for (auto& shard : m_private->shards)
        shard->log->transferLeadership();
}

void ReplicatedState::stop()
{
    for (auto& shard : m_private->shards) {
        if (shard->log)
            shard->log->stop();
    }
}

} // namespace Daemon
