#include "Entry/ServerShares.h"

#include <algorithm>

using Common::TimePoint;

namespace Entry {

ServerShares::ServerShares(ShareDependencies dependencies, TimePoint startedAt)
    : m_dependencies(std::move(dependencies))
    , m_startedAt(startedAt)
{
}

bool ServerShares::isSettled(TimePoint now) const { return now - m_startedAt >= m_dependencies.settleTime; }

void ServerShares::refresh(TimePoint now)
{
    // A call that another one has overtaken must not apply an older time or directory after it.
    std::lock_guard lock(m_mutex);
    m_refreshedAt = std::max(m_refreshedAt, now);
    now = m_refreshedAt;
    auto directory = m_dependencies.servers.directory();
    auto instances = m_dependencies.membership.liveInstances();
    auto self = std::find(instances.begin(), instances.end(), m_dependencies.self);
    auto index = static_cast<size_t>(self - instances.begin());
    for (auto& [id, entry] : directory->servers) {
        if (entry.record.liveness != Membership::Liveness::Gone)
            refreshServer(entry, instances.size(), index, now);
    }
    removeGoneServers(*directory);
}

void ServerShares::refreshServer(const Membership::ServerEntry& entry, size_t instances, size_t index, TimePoint now)
{
    const auto& announcement = entry.record.announcement;
    auto group = m_dependencies.configuration.group(announcement.group);
    if (!group)
        return;
    auto share = Limits::connectionShare(group->connectionLimit, instances, index);
    auto it = m_budgets.find(announcement.server);
    if (it == m_budgets.end()) {
        it = m_budgets.emplace(announcement.server, Limits::ConnectionBudget { m_dependencies.settleTime, {} }).first;
        // Settled instances use their share of a new server at once: all of them compute the same shares.
        Limits::setShare(it->second, share, isSettled(now) ? now - m_dependencies.settleTime : now);
    }
    Limits::setShare(it->second, share, now);
    auto allowed = Limits::allowed(it->second, now);
    auto slots = Limits::slotShare(group->slots, instances, index);
    Backend::Target target { announcement.server, announcement.address, announcement.group };
    m_dependencies.servers.configure(announcement.server, slots, now);
    m_dependencies.backend.setConnectionShare(target, allowed);
    bool isLeaving = announcement.state == Membership::ServerState::Leaving;
    if (!isLeaving)
        m_dependencies.backend.warmUp(target, Common::Connections(std::min(allowed.value(), slots.ceiling.value())));
}

void ServerShares::removeGoneServers(const Membership::Directory& directory)
{
    for (auto it = m_budgets.begin(); it != m_budgets.end();) {
        auto entry = directory.servers.find(it->first);
        if (entry != directory.servers.end() && entry->second.record.liveness != Membership::Liveness::Gone) {
            ++it;
            continue;
        }
        m_dependencies.backend.forget(it->first);
        m_dependencies.servers.forget(it->first);
        it = m_budgets.erase(it);
    }
}

} // namespace Entry
