#include "Daemon/ControlRolePrivate.h"

#include "Observe/Log.h"
#include "Wire/MessageCodec.h"

#include <algorithm>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;
using Control::configurationShard;
using Observe::EventKind;
using Observe::Part;

// Request handlers of the control role.
namespace Daemon {

namespace {

    // A watch request without changes is answered after this time, so that a lost connection is noticed.
    constexpr Milliseconds longPollTimeout { 10'000 };

    Common::Error notLeading()
    {
        return Common::makeError(Reason::Unavailable, "find-leader", "this instance does not lead");
    }

} // namespace

void ControlRole::Private::answer(const Peer::Reply& reply, const Control::Reply& message) const
{
    reply(Wire::encode(message));
}

void ControlRole::Private::serve(const Control::ProposeRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    auto shard = request.shard;
    std::string subject;
    if (auto change = std::get_if<Control::Change>(&request.command))
        subject = change->id.value();
    state->propose(
        shard, request.command, [self, reply, shard, subject](const Result<Control::CommandOutcome>& outcome) {
            if (!outcome) {
                self->answer(reply, Control::ProposeReply { outcome.error(), self->leaderHint(shard) });
                return;
            }
            if (auto change = std::get_if<Control::ChangeOutcome>(&outcome.value())) {
                auto accepted = std::get_if<Control::Accepted>(change);
                self->dependencies.timeline.record(accepted ? EventKind::ChangeAccepted : EventKind::ChangeRefused,
                    subject,
                    accepted ? "revision " + std::to_string(accepted->revision.value())
                             : std::get<Control::Rejected>(*change).error.message);
            }
            self->answer(reply, Control::ProposeReply { outcome.value(), {} });
        });
}

// Must be called after a quorum has confirmed the leadership, with leaseMutex held.
void ControlRole::Private::importHolders()
{
    if (!leases || leases->hasImportedHolders)
        return;
    state->withConfiguration([&](const Control::Configuration& c) { Control::importHolders(*leases, c.holders); });
    LOG_INFO(Part::Control,
        "Imported " << leases->leases.size() << " lease holders in term " << leases->listNumber.term << ".");
}

bool ControlRole::Private::isKnownHolder(const Control::LiveInstance& instance) const
{
    bool known = false;
    state->withConfiguration([&](const Control::Configuration& c) {
        auto it = c.holders.find(instance.id);
        known = it != c.holders.end() && it->second == instance;
    });
    return known;
}

// Must be called after a quorum has confirmed the leadership since the request arrived; see Control::LeaseTable.
Control::RenewReply ControlRole::Private::renew(const Control::RenewRequest& request)
{
    Control::RenewGrant grant;
    std::lock_guard lock(leaseMutex);
    if (!leases)
        return { notLeading(), {} };
    importHolders();
    grant.changes = changesSince(request.applied);
    auto granted = Control::renew(*leases, { request.instance, request.applied }, Clock::now(), grant.changes.revision);
    if (!granted)
        return { granted.error(), {} };
    grant.lease = granted.value().duration;
    if (granted.value().replaced) {
        for (uint32_t i = 1; i <= state->claimShards(); ++i)
            orphanClaims(Common::LogShardId(i), { request.instance.id, *granted.value().replaced });
    }
    grant.live = Control::liveChangesSince(*leases, request.live);
    recordRevisionsInForce();
    return { grant, {} };
}

void ControlRole::Private::serve(const Control::RenewRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    state->confirmConfiguration([self, request, reply](const Result<void>& confirmed) {
        if (!confirmed) {
            self->answer(reply, Control::RenewReply { confirmed.error(), self->leaderHint() });
            return;
        }
        auto granted = self->renew(request);
        if (std::holds_alternative<Common::Error>(granted.result) || self->isKnownHolder(request.instance)) {
            self->answer(reply, granted);
            return;
        }
        // The grant is sent once the log records the holder. Until then the table holds a lease that is not in
        // use yet.
        self->state->propose(configurationShard, Control::HolderChange { { request.instance }, {} },
            [self, reply, granted](const Result<Control::CommandOutcome>& outcome) {
                if (outcome)
                    self->answer(reply, granted);
                else
                    self->answer(reply, Control::RenewReply { outcome.error(), self->leaderHint() });
            });
    });
}

void ControlRole::Private::serve(const Control::ReadRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    state->confirmConfiguration([self, request, reply](const Result<void>& confirmed) {
        if (!confirmed) {
            self->answer(reply, Control::ReadReply { confirmed.error(), self->leaderHint() });
            return;
        }
        Control::ReadFound found;
        self->state->withConfiguration([&](const Control::Configuration& c) {
            found.revision = c.revision;
            if (request.name.empty()) {
                found.resources = Control::list(c, request.kind);
                return;
            }
            auto stored = Control::find(c, { request.kind, request.name });
            found.isUnchanged = stored && stored->version == request.knownVersion;
            if (stored && !found.isUnchanged)
                found.resources.push_back(*stored);
        });
        if (!request.name.empty() && found.resources.empty() && !found.isUnchanged) {
            auto error = Common::makeError(Reason::NotFound, "read",
                std::string("there is no ") + Model::kindName(request.kind) + " " + request.name);
            self->answer(reply, Control::ReadReply { error, {} });
            return;
        }
        self->answer(reply, Control::ReadReply { found, {} });
    });
}

// Any member may answer, since it reports committed changes only. Watches give no guarantee of delivery; instances that
// need one hold a lease.
void ControlRole::Private::serve(const Control::WatchRequest& request, const Peer::Reply& reply)
{
    auto changes = changesSince(request.from);
    if (changes.revision > request.from) {
        answer(reply, Control::WatchReply { changes, {} });
        return;
    }
    uint64_t id = 0;
    {
        std::lock_guard lock(watchMutex);
        id = nextWatcher++;
        watchers.push_back({ id, request.from, reply });
    }
    auto self = shared_from_this();
    dependencies.timers.after(longPollTimeout, [self, id] {
        std::optional<Watcher> found;
        {
            std::lock_guard lock(self->watchMutex);
            auto it = std::find_if(
                self->watchers.begin(), self->watchers.end(), [&](const Watcher& w) { return w.id == id; });
            if (it == self->watchers.end())
                return;
            found = std::move(*it);
            self->watchers.erase(it);
        }
        self->answer(found->reply, Control::WatchReply { self->changesSince(found->from), {} });
    });
    // A change may have occurred between the check and the insertion into the list.
    if (changesSince(request.from).revision > request.from)
        configurationChanged();
}

void ControlRole::Private::serve(const Control::StatusRequest& request, const Peer::Reply& reply)
{
    auto self = shared_from_this();
    state->confirmConfiguration([self, request, reply](const Result<void>& confirmed) {
        if (!confirmed) {
            self->answer(reply, Control::StatusReply { confirmed.error(), self->leaderHint() });
            return;
        }
        Control::StatusFound found;
        self->state->withConfiguration([&](const Control::Configuration& c) {
            found.revision = c.revision;
            found.evacuated = Control::evacuations(c).domains;
        });
        auto revision = request.revision == Common::Revision() ? found.revision : request.revision;
        std::lock_guard lock(self->leaseMutex);
        if (!self->leases) {
            self->answer(reply, Control::StatusReply { notLeading(), {} });
            return;
        }
        if (revision > found.revision) {
            auto error = Common::makeError(Reason::NotFound, "status", "the revision is not accepted yet");
            self->answer(reply, Control::StatusReply { error, {} });
            return;
        }
        self->importHolders();
        found.status = Control::revisionStatus(*self->leases, revision, Clock::now());
        self->answer(reply, Control::StatusReply { found, {} });
    });
}

void ControlRole::Private::serve(const Control::ReleaseRequest& request, const Peer::Reply& reply)
{
    Control::ReleaseReply message;
    {
        std::lock_guard lock(leaseMutex);
        if (leadsWithLeases())
            Control::release(*leases, request.id, request.incarnation);
        else
            message.error = notLeading();
    }
    if (message.error)
        message.leader = leaderHint();
    answer(reply, message);
}

} // namespace Daemon
