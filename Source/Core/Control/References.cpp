#include "Control/References.h"

#include <algorithm>
#include <utility>

using Common::Result;
using Model::Kind;

namespace Control {

namespace {

    Common::Error fieldError(const std::string& field, const std::string& found, const std::string& expected)
    {
        return Common::makeError(
            Common::Reason::InvalidInput, "validate", "field " + field + " is '" + found + "', expected " + expected);
    }

    Common::Error inUseError(const Model::ResourceKey& user, const std::string& field, const Model::ResourceKey& used)
    {
        return Common::makeError(Common::Reason::InvalidInput, "validate",
            "field " + field + " of " + Model::kindName(user.kind) + " '" + user.name + "' names "
                + Model::kindName(used.kind) + " '" + used.name + "', expected no use of what is deleted");
    }

    bool exists(const Configuration& configuration, Kind kind, const std::string& name)
    {
        return find(configuration, { kind, name }) != nullptr;
    }

    Result<void> checkGroup(const Configuration& configuration, const Common::GroupName& group)
    {
        if (exists(configuration, Kind::BackendGroup, group.value()))
            return Common::success();
        return fieldError("group", group.value(), "a backend group that exists");
    }

    struct ReferenceVisitor {
        const Configuration& configuration;

        Result<void> operator()(const Model::QueryRoute& route) const
        {
            BOOST_OUTCOME_TRYV(checkGroup(configuration, route.group));
            if (route.kind != Model::RouteKind::Lookup)
                return Common::success();
            if (exists(configuration, Kind::IndexVersion, Model::indexVersionName(route.group, route.version)))
                return Common::success();
            return fieldError("version", std::to_string(route.version.value()),
                "an index version of group '" + route.group.value() + "' that exists");
        }
        Result<void> operator()(const Model::IndexVersionMap& map) const
        {
            return checkGroup(configuration, map.group);
        }
        Result<void> operator()(const Model::BackendGroup&) const { return Common::success(); }
        Result<void> operator()(const Model::Instance&) const { return Common::success(); }
        Result<void> operator()(const Model::RouteTable&) const { return Common::success(); }
        Result<void> operator()(const Model::DomainEvacuation&) const { return Common::success(); }
    };

    // Returns the field of the resource that refers to the given key; empty if none does.
    std::string referringField(const Model::Resource& resource, const Model::ResourceKey& used)
    {
        if (const auto* route = std::get_if<Model::QueryRoute>(&resource)) {
            if (used.kind == Kind::BackendGroup && route->group.value() == used.name)
                return "group";
            bool isLookup = route->kind == Model::RouteKind::Lookup;
            if (used.kind == Kind::IndexVersion && isLookup
                && Model::indexVersionName(route->group, route->version) == used.name)
                return "version";
        }
        if (const auto* map = std::get_if<Model::IndexVersionMap>(&resource)) {
            if (used.kind == Kind::BackendGroup && map->group.value() == used.name)
                return "group";
        }
        return {};
    }

} // namespace

Result<void> checkReferences(const Configuration& configuration, const Model::Resource& resource)
{
    return std::visit(ReferenceVisitor { configuration }, resource);
}

Result<void> checkNotReferenced(const Configuration& configuration, const Model::ResourceKey& key)
{
    if (key.kind != Kind::BackendGroup && key.kind != Kind::IndexVersion)
        return Common::success();
    for (const auto& [user, stored] : configuration.resources) {
        std::string field = referringField(stored.resource, key);
        if (!field.empty())
            return inUseError(user, field, key);
    }
    return Common::success();
}

} // namespace Control
