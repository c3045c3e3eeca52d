#include "Model/Resources.h"

namespace Model {

const char* kindName(Kind kind)
{
    switch (kind) {
    case Kind::QueryRoute:
        return "query-route";
    case Kind::BackendGroup:
        return "backend-group";
    case Kind::IndexVersion:
        return "index-version";
    case Kind::Instance:
        return "instance";
    case Kind::RouteTable:
        return "route-table";
    case Kind::DomainEvacuation:
        return "domain-evacuation";
    }
    return "";
}

bool parseKind(const std::string& name, Kind& kind)
{
    for (Kind candidate : allKinds) {
        if (name != kindName(candidate))
            continue;
        kind = candidate;
        return true;
    }
    return false;
}

std::string indexVersionName(const Common::GroupName& group, Common::IndexVersion version)
{
    return group.value() + "@" + std::to_string(version.value());
}

ResourceKey keyOf(const Resource& resource)
{
    struct Visitor {
        ResourceKey operator()(const QueryRoute& route) const { return { Kind::QueryRoute, route.name.value() }; }
        ResourceKey operator()(const BackendGroup& group) const { return { Kind::BackendGroup, group.name.value() }; }
        ResourceKey operator()(const IndexVersionMap& map) const
        {
            return { Kind::IndexVersion, indexVersionName(map.group, map.version) };
        }
        ResourceKey operator()(const Instance& instance) const { return { Kind::Instance, instance.id.value() }; }
        ResourceKey operator()(const RouteTable&) const { return { Kind::RouteTable, routeTableName }; }
        ResourceKey operator()(const DomainEvacuation& evacuation) const
        {
            return { Kind::DomainEvacuation, evacuation.domain.value() };
        }
    };
    return std::visit(Visitor {}, resource);
}

} // namespace Model
