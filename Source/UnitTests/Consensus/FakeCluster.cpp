#include "Consensus/FakeCluster.h"

#include "Consensus/Membership.h"

#include <algorithm>
#include <string>
#include <utility>

using Common::InstanceId;
using Common::LogIndex;
using Common::Milliseconds;
using Common::TimePoint;
using Consensus::State;

namespace {

constexpr uint64_t snapshotInterval = 20; // In entries.
constexpr Milliseconds clientInterval { 7 };
constexpr Milliseconds faultInterval { 400 };
constexpr Milliseconds settleTime { 12'000 };

} // namespace

FakeCluster::FakeCluster(uint64_t seed, size_t memberCount, size_t bootstrapCount)
    : m_bootstrapCount(bootstrapCount)
    , m_random(seed)
{
    for (size_t i = 0; i < memberCount; ++i) {
        Node node;
        node.instance = InstanceId("control-" + std::to_string(i));
        node.disk.storage = Consensus::StorageId(m_nextId++);
        m_nodes.push_back(std::move(node));
    }
    for (size_t i = 0; i < memberCount; ++i)
        restart(i);
    m_isBootstrapped = true;
}

void FakeCluster::schedule(TimePoint time, std::function<void()> fn) { m_events.emplace(time, std::move(fn)); }

void FakeCluster::scheduleOnMember(size_t member, TimePoint time, std::function<void()> fn)
{
    schedule(time, [this, member, generation = m_nodes[member].generation, fn = std::move(fn)] {
        Node& node = m_nodes[member];
        if (node.generation != generation || !node.state)
            return;
        if (m_now < node.frozenUntil)
            scheduleOnMember(member, node.frozenUntil, fn);
        else
            fn();
    });
}

void FakeCluster::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = std::max(m_now, event.key());
        event.mapped()();
    }
    m_now = end;
}

void FakeCluster::restart(size_t member)
{
    Node& node = m_nodes[member];
    if (node.state)
        return;
    ++node.generation;
    Consensus::Options options;
    options.self = { node.instance, node.disk.storage };
    size_t initialCount = m_bootstrapCount ? m_bootstrapCount : m_nodes.size();
    for (size_t i = 0; i < initialCount; ++i) {
        options.contacts.push_back(m_nodes[i].instance);
        if (!m_bootstrapCount || !m_isBootstrapped)
            options.initialVoters.push_back(m_nodes[i].instance);
    }
    if (m_bootstrapCount) {
        options.targetVoters = m_nodes.size();
        options.minimumCopies = m_nodes.size() / 2 + 1;
    }
    options.keptEntries = 5;
    options.maximumBatchEntries = 3;
    options.maximumInFlight = 4;
    node.state = makeState(std::move(options), recover(node.disk), m_random.below(uint64_t { 1 } << 40), m_now);
    node.applied = node.state->delivered;
    node.stateHash = node.disk.snapshot ? std::stoull(node.disk.snapshot->data) : 0;
    scheduleTick(member);
}

void FakeCluster::kill(size_t member, bool loseDisk)
{
    Node& node = m_nodes[member];
    node.state.reset();
    ++node.generation;
    crash(node.disk, m_random);
    node.waitingMessages.clear();
    node.proposals.clear();
    node.reads.clear();
    node.frozenUntil = {};
    if (!loseDisk)
        return;
    FakeDisk lost = std::exchange(node.disk, {});
    if (!node.lostDisks.empty() && m_random.chance(0.3)) {
        ++m_faults["old disk put back"];
        node.disk = std::exchange(node.lostDisks[m_random.below(node.lostDisks.size())], std::move(lost));
    } else {
        node.disk.storage = Consensus::StorageId(m_nextId++);
        node.lostDisks.push_back(std::move(lost));
    }
}

void FakeCluster::losePower(const std::vector<size_t>& loseDisk, Milliseconds time)
{
    for (size_t i = 0; i < m_nodes.size(); ++i)
        kill(i, std::find(loseDisk.begin(), loseDisk.end(), i) != loseDisk.end());
    run(time);
    for (size_t i = 0; i < m_nodes.size(); ++i)
        restart(i);
}

void FakeCluster::scheduleTick(size_t member)
{
    Node& node = m_nodes[member];
    node.tickAt = nextTick(*node.state);
    scheduleOnMember(member, std::max(node.tickAt, m_now), [this, member, due = node.tickAt] {
        if (m_nodes[member].tickAt == due)
            step(member, Consensus::Tick {});
    });
}

std::optional<LogIndex> FakeCluster::step(size_t member, const Consensus::Event& event)
{
    Node& node = m_nodes[member];
    ++m_steps;
    bool wasLeading = isLeading(*node.state);
    Consensus::Effects effects = Consensus::step(*node.state, event, m_now);
    if (isLeading(*node.state)) {
        m_history.recordLeader(*node.state);
        if (m_injectingFaults && !wasLeading && m_random.chance(0.2)) {
            ++m_faults["new leader isolated"];
            isolate(member, Milliseconds(1500 * m_random.unit()));
        }
    } else
        node.proposals.clear();
    for (const Consensus::Message& message : effects.messages)
        transmit(message);
    startWrite(node, member, effects);
    for (const auto& [id, index] : effects.confirmedReads)
        node.reads[id].index = index;
    for (Consensus::ReadId id : effects.failedReads)
        node.reads.erase(id);
    apply(node, effects);
    finishReads(node);
    if (nextTick(*node.state) != node.tickAt || std::holds_alternative<Consensus::Tick>(event))
        scheduleTick(member);
    LogIndex snapshotIndex = node.state->snapshot ? node.state->snapshot->meta.index : LogIndex(0);
    if (node.applied.value() >= snapshotIndex.value() + snapshotInterval)
        step(member, Consensus::SnapshotTaken { node.applied, std::to_string(node.stateHash) });
    return effects.accepted;
}

void FakeCluster::startWrite(Node& node, size_t member, Consensus::Effects& effects)
{
    if (!effects.messagesAfterWrites.empty())
        node.waitingMessages.push_back({ node.state->lastWrite, std::move(effects.messagesAfterWrites) });
    if (!effects.write)
        return;
    Consensus::WriteNumber number = effects.write->number;
    node.disk.unsynced.push_back(std::move(*effects.write));
    bool slow = m_injectingFaults && m_random.chance(0.03);
    Milliseconds length(0.2 + (slow ? 200 : 5) * m_random.unit());
    scheduleOnMember(member, m_now + length, [this, member, number] { finishWrite(member, number); });
    bool changesVote = node.disk.unsynced.back().hard.has_value();
    if (m_injectingFaults && m_random.chance(slow || changesVote ? 0.05 : 0.003))
        scheduleOnMember(member, m_now + length * m_random.unit(), [this, member] { killDuringWrite(member); });
}

void FakeCluster::finishWrite(size_t member, Consensus::WriteNumber number)
{
    Node& node = m_nodes[member];
    if (node.disk.unsynced.empty() || node.disk.unsynced.front().number > number)
        return;
    while (!node.disk.unsynced.empty() && node.disk.unsynced.front().number <= number)
        syncFirst(node.disk);
    std::erase_if(node.waitingMessages, [&](const WaitingMessages& it) {
        if (it.number > number)
            return false;
        for (const Consensus::Message& message : it.messages)
            transmit(message);
        return true;
    });
    step(member, Consensus::Persisted { number });
}

void FakeCluster::apply(Node& node, const Consensus::Effects& effects)
{
    if (effects.restore) {
        node.applied = effects.restore->meta.index;
        node.stateHash = std::stoull(effects.restore->data);
        m_history.recordRestored(node.applied, node.stateHash);
    }
    for (const Consensus::EntryRef& entry : effects.deliver) {
        if (entry->index != node.applied + LogIndex(1))
            m_history.addViolation("a member applied entries out of order");
        node.applied = entry->index;
        node.stateHash = History::mix(node.stateHash, *entry);
        m_history.recordApplied(*entry, node.state->hard.term);
        auto proposal = node.proposals.extract(entry->index);
        if (!proposal.empty() && proposal.mapped().first == entry->term)
            m_history.recordAcknowledged(proposal.mapped().second, entry->index);
    }
}

void FakeCluster::finishReads(Node& node)
{
    std::erase_if(node.reads, [&](const auto& pair) {
        const WaitingRead& read = pair.second;
        if (!read.index || *read.index > node.applied)
            return false;
        m_history.recordRead(read.minimumIndex, node.applied);
        return true;
    });
}

std::optional<size_t> FakeCluster::indexOf(const InstanceId& instance) const
{
    auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node& n) { return n.instance == instance; });
    if (it == m_nodes.end())
        return std::nullopt;
    return static_cast<size_t>(it - m_nodes.begin());
}

double FakeCluster::maximumDelay()
{
    if (m_injectingFaults && m_random.chance(0.02))
        return 1500;
    return m_injectingFaults && m_random.chance(0.1) ? 40 : 3;
}

Milliseconds FakeCluster::delayOf(size_t from, size_t to)
{
    Milliseconds drawn(0.5 + maximumDelay() * m_random.unit());
    return m_keepsDelays ? m_delays.try_emplace({ from, to }, drawn).first->second : drawn;
}

void FakeCluster::transmit(const Consensus::Message& message)
{
    size_t from = *indexOf(message.from.instance);
    size_t to = *indexOf(message.to.instance);
    int copies = m_injectingFaults && m_random.chance(0.02) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (m_injectingFaults && (m_partitionedUntil[{ from, to }] > m_now || m_random.chance(m_dropRate)))
            continue;
        Milliseconds delay = delayOf(from, to);
        // Not bound to a generation: a message may arrive after the receiver has restarted.
        schedule(m_now + delay, [this, to, message] {
            if (m_nodes[to].state)
                scheduleOnMember(to, m_now, [this, to, message] { step(to, Consensus::Receive { message }); });
        });
    }
}

std::optional<size_t> FakeCluster::leader() const
{
    std::optional<size_t> found;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        const std::optional<State>& state = m_nodes[i].state;
        if (state && isLeading(*state) && (!found || state->hard.term > m_nodes[*found].state->hard.term))
            found = i;
    }
    return found;
}

void FakeCluster::propose(size_t member)
{
    Node& node = m_nodes[member];
    Consensus::Propose propose;
    for (uint64_t n = 1 + m_random.below(4); n; --n)
        propose.commands.push_back("command-" + std::to_string(m_nextId++));
    std::optional<LogIndex> first = step(member, propose);
    for (size_t i = 0; first && i < propose.commands.size(); ++i)
        node.proposals[*first + LogIndex(i)] = { node.state->hard.term, propose.commands[i] };
}

void FakeCluster::read(size_t member)
{
    Consensus::ReadId id(m_nextId++);
    m_nodes[member].reads[id] = { m_history.minimumReadIndex(), {} };
    step(member, Consensus::ConfirmRead { id });
}

void FakeCluster::runClient()
{
    size_t member = m_random.below(m_nodes.size());
    Node& node = m_nodes[member];
    // Includes a deposed leader that has not noticed it yet.
    if (node.state && isLeading(*node.state)) {
        bool wantsRead = m_random.chance(0.5);
        scheduleOnMember(member, m_now, [this, member, wantsRead] {
            if (wantsRead)
                read(member);
            else
                propose(member);
        });
    }
    if (m_injectingFaults)
        schedule(m_now + clientInterval * m_random.unit(), [this] { runClient(); });
}

bool FakeCluster::allMembersVote() const
{
    const Consensus::Membership* membership = m_history.membership();
    return membership && std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node& node) {
        return isVoter(*membership, { node.instance, node.disk.storage });
    });
}

bool FakeCluster::mayLoseDisk(size_t member) const
{
    auto keepsMajority = [&](const Consensus::Membership& membership) {
        return hasQuorum(membership, [&](const Consensus::MemberId& id) {
            size_t i = *indexOf(id.instance);
            return i != member && m_nodes[i].disk.storage == id.storage;
        });
    };
    return m_history.membership() && keepsMajority(*m_history.membership())
        && std::all_of(m_nodes.begin(), m_nodes.end(),
            [&](const Node& node) { return node.state && keepsMajority(Consensus::membership(*node.state)); });
}

void FakeCluster::killTemporarily(size_t member, const char* fault, Milliseconds longest, bool loseDisk)
{
    if (!m_nodes[member].state)
        return;
    ++m_faults[fault];
    kill(member, loseDisk);
    schedule(m_now + longest * m_random.unit(), [this, member] { restart(member); });
}

// The member restarts almost immediately or after a while, and another one may be isolated at the same time. Entries
// that the first one loses must survive on other members.
void FakeCluster::killDuringWrite(size_t member)
{
    killTemporarily(member, "kill during a write", Milliseconds(m_random.chance(0.5) ? 5 : 300));
    size_t other = m_random.below(m_nodes.size());
    if (other == member || m_random.chance(0.5))
        return;
    ++m_faults["simultaneous second failure"];
    isolate(other, Milliseconds(1500 * m_random.unit()));
}

void FakeCluster::isolate(size_t member, Milliseconds length)
{
    for (size_t i = 0; i < m_nodes.size(); ++i)
        m_partitionedUntil[{ i, member }] = m_partitionedUntil[{ member, i }] = m_now + length;
}

void FakeCluster::injectFault()
{
    if (!m_injectingFaults)
        return;
    size_t member = m_random.below(m_nodes.size());
    if (auto leading = leader(); leading && m_random.chance(0.4))
        member = *leading;
    Node& node = m_nodes[member];
    Milliseconds length(m_random.unit() * (m_random.chance(0.2) ? 5000 : 800));
    uint64_t kind = m_random.below(8);
    if (kind == 0 && node.state) {
        ++m_faults["freeze"];
        node.frozenUntil = m_now + length;
    } else if (kind == 1 && node.state) {
        ++m_faults["leadership transfer"];
        scheduleOnMember(member, m_now, [this, member] { step(member, Consensus::TransferLeadership {}); });
    } else if (kind == 2) {
        ++m_faults["one-way partition"];
        m_partitionedUntil[{ member, m_random.below(m_nodes.size()) }] = m_now + length;
    } else if (kind == 3) {
        ++m_faults["isolated"];
        isolate(member, length);
    } else if (kind == 4) {
        ++m_faults["message loss"];
        m_dropRate = m_random.chance(0.5) ? 0 : 0.3 * m_random.unit();
    } else {
        bool loseDisk = kind >= 6 && mayLoseDisk(member);
        killTemporarily(member, loseDisk ? "lost disk" : "kill", length, loseDisk);
    }
    schedule(m_now + faultInterval * m_random.unit() * 2, [this] { injectFault(); });
}

void FakeCluster::runWithFaults(Milliseconds length)
{
    m_injectingFaults = true;
    schedule(m_now, [this] { runClient(); });
    schedule(m_now + faultInterval, [this] { injectFault(); });
    runUntil(m_now + length);
    m_injectingFaults = false;
}

void FakeCluster::run(Milliseconds length) { runUntil(m_now + length); }

void FakeCluster::checkConverged()
{
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].frozenUntil = {};
        restart(i);
    }
    run(settleTime);
    size_t before = m_history.acknowledgedCount();
    if (leader())
        propose(*leader());
    run(Milliseconds(500));
    if (m_history.acknowledgedCount() == before)
        m_history.addViolation("no command was acknowledged after the faults");
    for (const Node& node : m_nodes) {
        if (node.applied != m_history.last())
            m_history.addViolation("a member did not catch up: " + node.instance.value());
        else
            m_history.recordRestored(node.applied, node.stateHash);
        if (!isSelfVoter(*node.state))
            m_history.addViolation("a member has no vote: " + node.instance.value());
    }
    m_history.finish();
}
