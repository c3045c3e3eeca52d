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
    // A watch that brought nothing is asked again; the control instance answers before that.
    constexpr Milliseconds watchBound { 12'000 };
    constexpr Milliseconds watchPause { 200 };

} // namespace

struct LeaseClient::Private : std::enable_shared_from_this<LeaseClient::Private> {
    explicit Private(LeaseDependencies d)
        : dependencies(std::move(d))
    {
    }

    LeaseDependencies dependencies;
    std::function<void()> changed;
    mutable std::mutex mutex; // Guards what follows.
    Control::HeldLease lease;
    Control::LiveListNumber live;
    bool renewing { false };
    bool renewAgain { false };
    bool wasHeld { false };

    void renewLater(Milliseconds);
    void renew();
    void renewed(TimePoint sentAt, const Common::Result<Control::Reply>&);
    void take(TimePoint sentAt, const Control::RenewGrant&);
    void refused(const Common::Error&);
    void learn(const Control::LiveChanges&);
    bool follow(const Control::Changes&);
    void noteHeld();
    void watch();
    bool isReleased() const;
};

bool LeaseClient::Private::isReleased() const
{
    std::lock_guard lock(mutex);
    return lease.released;
}

void LeaseClient::Private::renewLater(Milliseconds delay)
{
    std::weak_ptr<Private> weak = weak_from_this();
    dependencies.timers.after(delay, [weak] {
        auto self = weak.lock();
        if (!self || self->isReleased())
            return;
        self->noteHeld();
        self->renew();
        self->renewLater(self->dependencies.settings.renewal);
    });
}

// One renewal is under way at a time; whoever asks meanwhile gets another one after it.
void LeaseClient::Private::renew()
{
    Control::RenewRequest request;
    request.applied = dependencies.configuration.revision();
    {
        std::lock_guard lock(mutex);
        if (lease.released)
            return;
        if (renewing) {
            renewAgain = true;
            return;
        }
        renewing = true;
        renewAgain = false;
        request.instance = dependencies.self;
        request.live = live;
    }
    auto sentAt = Clock::now();
    auto self = shared_from_this();
    dependencies.control.call(configurationShard, request, sentAt + dependencies.settings.lease,
        [self, sentAt](const Common::Result<Control::Reply>& result) { self->renewed(sentAt, result); });
}

void LeaseClient::Private::renewed(TimePoint sentAt, const Common::Result<Control::Reply>& result)
{
    const Control::RenewReply* reply = result ? std::get_if<Control::RenewReply>(&result.value()) : nullptr;
    auto grant = reply ? std::get_if<Control::RenewGrant>(&reply->result) : nullptr;
    if (grant)
        take(sentAt, *grant);
    else if (reply)
        refused(std::get<Common::Error>(reply->result));
    else if (!result)
        LOG_WARNING(Part::Entry, "Control does not answer: " << result.error() << ".");
    bool again = false;
    {
        std::lock_guard lock(mutex);
        renewing = false;
        again = renewAgain;
    }
    noteHeld();
    if (again)
        renew();
}

void LeaseClient::Private::take(TimePoint sentAt, const Control::RenewGrant& grant)
{
    // The changes come first: a lease says that this instance is not behind.
    if (!follow(grant.changes))
        return;
    {
        std::lock_guard lock(mutex);
        Control::holdLease(lease, sentAt, grant.lease);
        live = grant.live.number;
    }
    learn(grant.live);
}

// Control has ended this incarnation, and with it all its claims: the instance goes on as a new one.
void LeaseClient::Private::refused(const Common::Error& error)
{
    LOG_WARNING(Part::Entry, "The lease is not renewed: " << error << ".");
    if (error.reason != Common::Reason::Conflict)
        return;
    std::lock_guard lock(mutex);
    dependencies.self.incarnation += Common::Incarnation(1);
}

void LeaseClient::Private::learn(const Control::LiveChanges& changes)
{
    for (const Control::LiveInstance& instance : changes.joined) {
        if (instance.id == dependencies.self.id)
            continue;
        Membership::InstanceRecord record;
        record.id = instance.id;
        record.incarnation = instance.incarnation;
        record.address = instance.address;
        record.domain = instance.domain;
        dependencies.membership.learnInstance(record);
    }
}

// Returns false if the changes do not fit on what is here.
bool LeaseClient::Private::follow(const Control::Changes& changes)
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
    if (changed)
        changed();
    // Tells control at once, so that the revision is soon known to be in force.
    renew();
    return true;
}

void LeaseClient::Private::noteHeld()
{
    bool held = false;
    {
        std::lock_guard lock(mutex);
        held = Control::mayTakeWork(lease, Clock::now());
        if (held == wasHeld)
            return;
        wasHeld = held;
    }
    dependencies.timeline.record(held ? EventKind::LeaseGranted : EventKind::LeaseLost, dependencies.self.id.value());
    if (held)
        LOG_INFO(Part::Entry, "The lease is held.");
    else
        LOG_WARNING(Part::Entry, "The lease is lost. No new work is taken.");
}

// Keeps one question open at control, which answers as soon as there is a newer revision.
void LeaseClient::Private::watch()
{
    if (isReleased())
        return;
    auto self = shared_from_this();
    Control::WatchRequest request { dependencies.configuration.revision() };
    dependencies.control.call(
        configurationShard, request, Clock::now() + watchBound,
        [self](const Common::Result<Control::Reply>& result) {
            auto reply = result ? std::get_if<Control::WatchReply>(&result.value()) : nullptr;
            auto changes = reply ? std::get_if<Control::Changes>(&reply->result) : nullptr;
            bool moved = changes && self->follow(*changes);
            std::weak_ptr<Private> weak = self;
            self->dependencies.timers.after(moved ? Milliseconds(0) : watchPause, [weak] {
                if (auto p = weak.lock())
                    p->watch();
            });
        },
        watchBound);
}

LeaseClient::LeaseClient(LeaseDependencies dependencies)
    : m_private(std::make_shared<Private>(std::move(dependencies)))
{
}

LeaseClient::~LeaseClient() = default;

void LeaseClient::onChange(std::function<void()> function) { m_private->changed = std::move(function); }

void LeaseClient::start()
{
    m_private->renewLater(Milliseconds(0));
    m_private->watch();
}

bool LeaseClient::mayTakeWork() const
{
    std::lock_guard lock(m_private->mutex);
    return Control::mayTakeWork(m_private->lease, Clock::now());
}

Common::Incarnation LeaseClient::incarnation() const
{
    std::lock_guard lock(m_private->mutex);
    return m_private->dependencies.self.incarnation;
}

void LeaseClient::release(Milliseconds bound, std::function<void()> done)
{
    {
        std::lock_guard lock(m_private->mutex);
        Control::dropLease(m_private->lease);
    }
    Control::ReleaseRequest request { m_private->dependencies.self.id, incarnation() };
    m_private->dependencies.control.call(
        configurationShard, request, Clock::now() + bound, [done = std::move(done)](const auto&) { done(); });
}

} // namespace Entry
