#include "Entry/LeaseClient.h"

#include "Observe/Log.h"

#include <algorithm>
#include <mutex>

using Common::Clock;
using Common::Milliseconds;
using Common::TimePoint;
using Observe::EventKind;
using Observe::Part;

namespace Entry {

namespace {

    const Common::LogShardId configurationShard { 0 };
    // Longer than control holds a watch open, so an idle watch is answered before it times out.
    constexpr Milliseconds watchTimeout { 12'000 };
    constexpr Milliseconds watchRetryDelay { 200 };

} // namespace

struct LeaseClient::Private : std::enable_shared_from_this<LeaseClient::Private> {
    explicit Private(LeaseDependencies d)
        : dependencies(std::move(d))
    {
    }

    LeaseDependencies dependencies;
    std::function<void()> changeCallback;
    mutable std::mutex mutex; // Guards the members below.
    Control::HeldLease lease;
    Control::LiveListNumber live;
    bool isRenewing { false };
    bool shouldRenewAgain { false };
    bool wasHeld { false };

    void scheduleRenewal(Milliseconds);
    void renew();
    void onRenewReply(TimePoint sentAt, const Common::Result<Control::Reply>&);
    void applyGrant(TimePoint sentAt, const Control::RenewGrant&);
    void onRefusal(const Common::Error&);
    void addLiveInstances(const Control::LiveChanges&);
    bool applyChanges(const Control::Changes&);
    void reportLeaseState();
    void watch();
    bool isReleased() const;
};

bool LeaseClient::Private::isReleased() const
{
    std::lock_guard lock(mutex);
    return lease.released;
}

void LeaseClient::Private::scheduleRenewal(Milliseconds delay)
{
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(delay, [weak] {
        auto self = weak.lock();
        if (!self || self->isReleased())
            return;
        self->reportLeaseState();
        self->renew();
        self->scheduleRenewal(self->dependencies.settings.renewal);
    });
}

// One renewal runs at a time. A renewal requested during it starts when it ends.
void LeaseClient::Private::renew()
{
    Control::RenewRequest request;
    request.applied = dependencies.configuration.revision();
    {
        std::lock_guard lock(mutex);
        if (lease.released)
            return;
        if (isRenewing) {
            shouldRenewAgain = true;
            return;
        }
        isRenewing = true;
        shouldRenewAgain = false;
        request.instance = dependencies.self;
        request.live = live;
    }
    auto sentAt = Clock::now();
    auto self = shared_from_this();
    dependencies.control.call(configurationShard, request, sentAt + dependencies.settings.lease,
        [self, sentAt](const Common::Result<Control::Reply>& result) { self->onRenewReply(sentAt, result); });
}

void LeaseClient::Private::onRenewReply(TimePoint sentAt, const Common::Result<Control::Reply>& result)
{
    const Control::RenewReply* reply = result ? std::get_if<Control::RenewReply>(&result.value()) : nullptr;
    auto grant = reply ? std::get_if<Control::RenewGrant>(&reply->result) : nullptr;
    if (grant)
        applyGrant(sentAt, *grant);
    else if (reply)
        onRefusal(std::get<Common::Error>(reply->result));
    else if (!result)
        LOG_WARNING(Part::Entry, "The lease renewal got no reply from control: " << result.error() << ".");
    bool renewAgain = false;
    {
        std::lock_guard lock(mutex);
        isRenewing = false;
        renewAgain = shouldRenewAgain;
    }
    reportLeaseState();
    if (renewAgain)
        renew();
}

void LeaseClient::Private::applyGrant(TimePoint sentAt, const Control::RenewGrant& grant)
{
    // Applies the changes first: holding the lease means that the configuration is up to date.
    if (!applyChanges(grant.changes))
        return;
    {
        std::lock_guard lock(mutex);
        Control::extendLease(lease, sentAt, grant.lease);
        live = grant.live.number;
    }
    addLiveInstances(grant.live);
}

// Conflict means that control has ended this incarnation with all its claims. The instance continues as a new one.
void LeaseClient::Private::onRefusal(const Common::Error& error)
{
    LOG_WARNING(Part::Entry, "The lease is not renewed: " << error << ".");
    if (error.reason != Common::Reason::Conflict)
        return;
    std::lock_guard lock(mutex);
    dependencies.self.incarnation += Common::Incarnation(1);
}

void LeaseClient::Private::addLiveInstances(const Control::LiveChanges& changes)
{
    for (const Control::LiveInstance& instance : changes.joined) {
        if (instance.id == dependencies.self.id)
            continue;
        Membership::InstanceRecord record;
        record.id = instance.id;
        record.incarnation = instance.incarnation;
        record.address = instance.address;
        record.domain = instance.domain;
        dependencies.membership.addInstance(record);
    }
}

// Returns false if the changes leave a gap after the current revision, or are older than it.
bool LeaseClient::Private::applyChanges(const Control::Changes& changes)
{
    auto before = dependencies.configuration.revision();
    auto result = dependencies.configuration.follow(changes);
    if (result == Control::FollowResult::Gap)
        return false;
    auto after = dependencies.configuration.revision();
    if (after == before)
        return result == Control::FollowResult::Applied;
    dependencies.metrics.set(Observe::Gauge::RevisionApplied, static_cast<double>(after.value()));
    dependencies.timeline.record(EventKind::RevisionApplied, std::to_string(after.value()));
    if (changeCallback)
        changeCallback();
    // Reports the revision to control at once, so that it is soon known to be in force.
    renew();
    return true;
}

void LeaseClient::Private::reportLeaseState()
{
    bool held = false;
    {
        std::lock_guard lock(mutex);
        held = Control::isLeaseValid(lease, Clock::now());
        if (held == wasHeld)
            return;
        wasHeld = held;
    }
    dependencies.timeline.record(held ? EventKind::LeaseGranted : EventKind::LeaseLost, dependencies.self.id.value());
    if (held)
        LOG_INFO(Part::Entry, "The lease is held.");
    else
        LOG_WARNING(Part::Entry, "The lease is lost. New work is refused.");
}

// Long poll: control replies as soon as there is a newer revision.
void LeaseClient::Private::watch()
{
    if (isReleased())
        return;
    auto self = shared_from_this();
    Control::WatchRequest request { dependencies.configuration.revision() };
    dependencies.control.call(
        configurationShard, request, Clock::now() + watchTimeout,
        [self](const Common::Result<Control::Reply>& result) {
            auto reply = result ? std::get_if<Control::WatchReply>(&result.value()) : nullptr;
            auto changes = reply ? std::get_if<Control::Changes>(&reply->result) : nullptr;
            bool hasNewRevision = changes && self->applyChanges(*changes);
            std::weak_ptr<Private> weak = self;
            self->dependencies.timers.after(hasNewRevision ? Milliseconds(0) : watchRetryDelay, [weak] {
                if (auto p = weak.lock())
                    p->watch();
            });
        },
        watchTimeout);
}

LeaseClient::LeaseClient(LeaseDependencies dependencies)
    : m_private(std::make_shared<Private>(std::move(dependencies)))
{
}

LeaseClient::~LeaseClient() = default;

void LeaseClient::onChange(std::function<void()> function) { m_private->changeCallback = std::move(function); }

void LeaseClient::start()
{
    m_private->scheduleRenewal(Milliseconds(0));
    m_private->watch();
}

bool LeaseClient::mayTakeWork() const
{
    std::lock_guard lock(m_private->mutex);
    return Control::isLeaseValid(m_private->lease, Clock::now());
}

Common::Incarnation LeaseClient::incarnation() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->dependencies.self.incarnation;
}

void LeaseClient::release(Milliseconds timeout, std::function<void()> done)
{
    {
        std::lock_guard lock(m_private->mutex);
        Control::releaseLease(m_private->lease);
    }
    Control::ReleaseRequest request { m_private->dependencies.self.id, incarnation() };
    m_private->dependencies.control.call(
        configurationShard, request, Clock::now() + timeout, [done = std::move(done)](const auto&) { done(); });
}

} // namespace Entry
