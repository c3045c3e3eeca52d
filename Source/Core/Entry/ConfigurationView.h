#pragma once

#include "Common/Ids.h"
#include "Control/Follower.h"
#include "Model/Resources.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Entry {

// A route and the resources that it refers to, at one revision. Later changes do not affect it.
struct ResolvedRoute {
    Common::Revision revision;
    Model::QueryRoute route;
    Model::BackendGroup group;
    std::shared_ptr<const Model::IndexVersionMap> index; // Null for a RunOnce route.
};

// This instance's replica of the configuration. Readable from any thread.
class ConfigurationView {
public:
    Control::FollowResult follow(const Control::Changes&);
    Common::Revision revision() const;
    // Errors: NotFound if the route does not exist; Internal if a resource that it refers to is absent.
    Common::Result<ResolvedRoute> resolve(const Common::RouteName&) const;
    std::vector<Model::BackendGroup> groups() const;
    std::optional<Model::BackendGroup> group(const Common::GroupName&) const;
    bool isDraining(const Common::InstanceId&) const;

private:
    void refreshIndexes();

    mutable std::mutex m_mutex;
    Control::Follower m_follower;
    std::unordered_map<std::string, std::shared_ptr<const Model::IndexVersionMap>> m_indexes;
};

} // namespace Entry
