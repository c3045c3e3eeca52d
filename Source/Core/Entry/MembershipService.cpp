#include "Entry/MembershipService.h"

#include "Common/Random.h"
#include "Membership/CompletedFingerprints.h"
#include "Observe/Log.h"
#include "Wire/MembershipCodec.h"

#include <algorithm>
#include <mutex>
#include <random>

using Common::Milliseconds;
using Membership::Change;
using Observe::EventKind;
using Observe::Part;

namespace Entry {

namespace {

    constexpr Milliseconds roundInterval { 100 };
    constexpr Milliseconds callTimeout { 1'000 };

    EventKind eventOf(const Membership::ServerRecord& record)
    {
        if (record.liveness == Membership::Liveness::Gone)
            return EventKind::ServerRemoved;
        if (record.liveness == Membership::Liveness::Suspect)
            return EventKind::ServerSuspected;
        if (record.announcement.state == Membership::ServerState::Leaving)
            return EventKind::ServerLeaving;
        return EventKind::ServerChanged;
    }

    EventKind eventOf(const Membership::InstanceRecord& record)
    {
        if (record.liveness == Membership::Liveness::Gone)
            return EventKind::InstanceRemoved;
        if (record.liveness == Membership::Liveness::Suspect)
            return EventKind::InstanceSuspected;
        return record.state == Membership::InstanceState::Leaving ? EventKind::InstanceLeaving
                                                                  : EventKind::InstanceJoined;
    }

    EventKind eventOf(const Membership::FingerprintRecord& record)
    {
        if (record.losses.empty())
            return EventKind::FingerprintReleased;
        return record.losses.size() > 1 ? EventKind::FingerprintQuarantined : EventKind::FingerprintSuspected;
    }

    std::string subjectOf(const Membership::ServerRecord& record) { return record.announcement.server.value(); }

    std::string subjectOf(const Membership::InstanceRecord& record) { return record.id.value(); }

    std::string subjectOf(const Membership::FingerprintRecord& record)
    {
        return std::to_string(record.fingerprint.value());
    }

} // namespace

struct MembershipService::Private : std::enable_shared_from_this<MembershipService::Private> {
    Private(MembershipDependencies d)
        : dependencies(d)
    {
    }

    MembershipDependencies dependencies;
    std::function<void()> changeCallback;
    mutable std::mutex mutex; // Guards the members below.
    Membership::GossipState state;
    Membership::CompletedFingerprints completedFingerprints;
    Common::Random random { std::random_device {}() };
    bool stopped { false };

    // A periodic round schedules the next one.
    void scheduleRound(Milliseconds delay, bool isPeriodic);
    void runRound(bool isPeriodic);
    void send(const std::vector<Membership::OutgoingMessage>&);
    void publish(const std::vector<Change>&);
    void updateGauges(const Membership::Directory&) const;
};

void MembershipService::Private::scheduleRound(Milliseconds delay, bool isPeriodic)
{
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(delay, [weak, isPeriodic] {
        if (auto self = weak.lock())
            self->runRound(isPeriodic);
    });
}

void MembershipService::Private::runRound(bool isPeriodic)
{
    Membership::GossipPlan plan;
    {
        std::lock_guard lock(mutex);
        if (stopped)
            return;
        plan = Membership::nextGossip(state, Common::Clock::now(), random);
    }
    send(plan.messages);
    publish(plan.changes);
    if (isPeriodic)
        scheduleRound(roundInterval, true);
}

void MembershipService::Private::send(const std::vector<Membership::OutgoingMessage>& messages)
{
    for (const Membership::OutgoingMessage& out : messages) {
        std::string bytes = Wire::encodeGossip({ out.message, dependencies.timeline.stamp() });
        dependencies.metrics.count(Observe::Counter::GossipBytesSent, {}, bytes.size());
        dependencies.metrics.count(Observe::Counter::GossipMessages, "sent");
        dependencies.peers.call(out.address, Peer::Service::Gossip, std::move(bytes), callTimeout, [](const auto&) {});
    }
}

void MembershipService::Private::publish(const std::vector<Change>& changes)
{
    if (changes.empty())
        return;
    for (const Change& change : changes) {
        std::visit([&](const auto& record) { dependencies.timeline.record(eventOf(record), subjectOf(record)); },
            change.record);
    }
    {
        // Publishing under the lock keeps an older directory from replacing a newer one.
        std::lock_guard lock(mutex);
        dependencies.servers.publish(std::make_shared<const Membership::Directory>(state.directory));
        updateGauges(state.directory);
    }
    if (changeCallback)
        changeCallback();
}

void MembershipService::Private::updateGauges(const Membership::Directory& directory) const
{
    auto isGone = [](const auto& pair) { return pair.second.record.liveness == Membership::Liveness::Gone; };
    auto servers = std::count_if(directory.servers.begin(), directory.servers.end(), isGone);
    auto instances = std::count_if(directory.instances.begin(), directory.instances.end(), isGone);
    auto setGauge = [&](Observe::Gauge gauge, size_t all, auto gone) {
        dependencies.metrics.set(gauge, static_cast<double>(gone), "gone");
        dependencies.metrics.set(gauge, static_cast<double>(all) - static_cast<double>(gone), "there");
    };
    setGauge(Observe::Gauge::ServersKnown, directory.servers.size(), servers);
    setGauge(Observe::Gauge::InstancesKnown, directory.instances.size(), instances);
}

MembershipService::MembershipService(
    Membership::GossipSettings settings, Membership::InstanceRecord self, MembershipDependencies dependencies)
    : m_private(std::make_shared<Private>(dependencies))
{
    m_private->state = Membership::makeGossipState(settings, std::move(self), {});
}

MembershipService::~MembershipService() { stop(); }

void MembershipService::onChange(std::function<void()> function) { m_private->changeCallback = std::move(function); }

void MembershipService::start() { m_private->scheduleRound(Milliseconds(0), true); }

void MembershipService::stop()
{
    std::lock_guard lock(m_private->mutex);
    m_private->stopped = true;
}

Membership::AnnounceStatus MembershipService::announce(const Membership::Announcement& announcement)
{
    Membership::AnnounceResult outcome;
    {
        std::lock_guard lock(m_private->mutex);
        outcome = Membership::receiveAnnouncement(m_private->state, announcement, Common::Clock::now());
    }
    if (outcome.change) {
        m_private->publish({ *outcome.change });
        m_private->scheduleRound(Milliseconds(0), false);
    }
    return outcome.status;
}

void MembershipService::receive(std::string_view bytes)
{
    auto envelope = Wire::decodeGossip(bytes);
    if (!envelope) {
        LOG_WARNING(Part::Membership, "Dropped a gossip message: " << envelope.error() << ".");
        return;
    }
    m_private->dependencies.metrics.count(Observe::Counter::GossipBytesReceived, {}, bytes.size());
    m_private->dependencies.metrics.count(Observe::Counter::GossipMessages, "received");
    m_private->dependencies.timeline.observe(envelope.value().time);
    Membership::GossipReceipt receipt;
    {
        std::lock_guard lock(m_private->mutex);
        if (m_private->stopped)
            return;
        receipt = Membership::receiveGossip(m_private->state, envelope.value().message, Common::Clock::now());
    }
    m_private->send(receipt.replies);
    m_private->publish(receipt.changes);
}

void MembershipService::addInstance(const Membership::InstanceRecord& record)
{
    std::optional<Change> change;
    {
        std::lock_guard lock(m_private->mutex);
        change = Membership::receiveRecord(m_private->state, record, Common::Clock::now());
    }
    if (change)
        m_private->publish({ *change });
}

void MembershipService::leave()
{
    Change change;
    {
        std::lock_guard lock(m_private->mutex);
        change = Membership::leave(m_private->state, Common::Clock::now());
    }
    m_private->publish({ change });
    m_private->scheduleRound(Milliseconds(0), false);
}

std::vector<Common::InstanceId> MembershipService::liveInstances() const
{
    std::vector<Common::InstanceId> ids;
    std::lock_guard lock(m_private->mutex);
    ids.push_back(m_private->state.self.id);
    for (auto& [id, entry] : m_private->state.directory.instances) {
        bool isUp = entry.record.liveness != Membership::Liveness::Gone
            && entry.record.state == Membership::InstanceState::Up;
        if (isUp && id != m_private->state.self.id)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool MembershipService::isQuarantined(Common::Fingerprint fingerprint) const
{
    std::lock_guard lock(m_private->mutex);
    return Membership::isQuarantined(m_private->state.quarantine, fingerprint, Common::Clock::now());
}

bool MembershipService::isSuspect(Common::Fingerprint fingerprint) const
{
    std::lock_guard lock(m_private->mutex);
    return Membership::isSuspect(m_private->state.quarantine, fingerprint, Common::Clock::now());
}

bool MembershipService::hasCompleted(Common::Fingerprint fingerprint) const
{
    std::lock_guard lock(m_private->mutex);
    return Membership::hasCompleted(m_private->completedFingerprints, fingerprint);
}

bool MembershipService::mayRetry(Common::Fingerprint fingerprint) const
{
    std::lock_guard lock(m_private->mutex);
    auto now = Common::Clock::now();
    const auto& quarantine = m_private->state.quarantine;
    if (Membership::isQuarantined(quarantine, fingerprint, now))
        return false;
    return Membership::hasCompleted(m_private->completedFingerprints, fingerprint)
        || Membership::mayRetry(quarantine, fingerprint, now);
}

void MembershipService::reportLoss(const Membership::Loss& loss, const std::vector<Common::Fingerprint>& fingerprints)
{
    std::vector<Change> changes;
    {
        std::lock_guard lock(m_private->mutex);
        changes = Membership::reportLoss(m_private->state, loss, fingerprints, Common::Clock::now());
    }
    m_private->publish(changes);
    m_private->scheduleRound(Milliseconds(0), false);
}

void MembershipService::reportCompletion(Common::Fingerprint fingerprint)
{
    std::optional<Change> change;
    {
        std::lock_guard lock(m_private->mutex);
        auto now = Common::Clock::now();
        change = Membership::reportCompletion(m_private->state, fingerprint, now);
        Membership::addCompleted(m_private->completedFingerprints, fingerprint, now);
    }
    if (change)
        m_private->publish({ *change });
}

} // namespace Entry
