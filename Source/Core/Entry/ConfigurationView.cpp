#include "Entry/ConfigurationView.h"

using Common::Reason;
using Common::Result;

namespace Entry {

namespace {

    template <typename T>
    const T* findResource(const Control::Follower& follower, Model::Kind kind, const std::string& name)
    {
        auto it = follower.resources.find({ kind, name });
        return it == follower.resources.end() ? nullptr : std::get_if<T>(&it->second.resource);
    }

} // namespace

Control::FollowResult ConfigurationView::follow(const Control::Changes& changes)
{
    std::lock_guard lock(m_mutex);
    auto result = Control::follow(m_follower, changes);
    if (result == Control::FollowResult::Applied)
        refreshIndexes();
    return result;
}

// Shares one immutable copy of each shard map, which saves a copy per query.
void ConfigurationView::refreshIndexes()
{
    decltype(m_indexes) indexes;
    for (auto& [key, stored] : m_follower.resources) {
        auto map = std::get_if<Model::IndexVersionMap>(&stored.resource);
        if (!map)
            continue;
        auto it = m_indexes.find(key.name);
        bool same = it != m_indexes.end() && *it->second == *map;
        indexes[key.name] = same ? it->second : std::make_shared<const Model::IndexVersionMap>(*map);
    }
    m_indexes.swap(indexes);
}

Common::Revision ConfigurationView::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_follower.revision;
}

Result<ResolvedRoute> ConfigurationView::resolve(const Common::RouteName& name) const
{
    std::lock_guard lock(m_mutex);
    auto route = findResource<Model::QueryRoute>(m_follower, Model::Kind::QueryRoute, name.value());
    if (!route)
        return Common::makeError(Reason::NotFound, "find-route", "there is no query route " + name.value());
    auto group = findResource<Model::BackendGroup>(m_follower, Model::Kind::BackendGroup, route->group.value());
    if (!group)
        return Common::makeError(
            Reason::Internal, "find-route", "backend group " + route->group.value() + " is absent");
    ResolvedRoute resolved { m_follower.revision, *route, *group, nullptr };
    if (route->kind == Model::RouteKind::RunOnce)
        return resolved;
    auto index = m_indexes.find(Model::indexVersionName(route->group, route->version));
    if (index == m_indexes.end())
        return Common::makeError(Reason::Internal, "find-route", "the route's index version is absent");
    resolved.index = index->second;
    return resolved;
}

std::vector<Model::BackendGroup> ConfigurationView::groups() const
{
    std::lock_guard lock(m_mutex);
    std::vector<Model::BackendGroup> groups;
    for (auto& [key, stored] : m_follower.resources) {
        if (auto group = std::get_if<Model::BackendGroup>(&stored.resource))
            groups.push_back(*group);
    }
    return groups;
}

std::optional<Model::BackendGroup> ConfigurationView::group(const Common::GroupName& name) const
{
    std::lock_guard lock(m_mutex);
    auto group = findResource<Model::BackendGroup>(m_follower, Model::Kind::BackendGroup, name.value());
    return group ? std::optional(*group) : std::nullopt;
}

bool ConfigurationView::isDraining(const Common::InstanceId& id) const
{
    std::lock_guard lock(m_mutex);
    auto instance = findResource<Model::Instance>(m_follower, Model::Kind::Instance, id.value());
    return instance && instance->draining;
}

} // namespace Entry
