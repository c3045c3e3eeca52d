#include "Api/ResourceJson.h"

#include "Json/Reader.h"

using Common::Reason;
using Common::Result;
using Json::Value;

namespace Api {

namespace {

    const char* const readStep = "read-resource";

    const char* routeKindName(Model::RouteKind kind)
    {
        return kind == Model::RouteKind::Lookup ? "lookup" : "run-once";
    }

    Value toJson(const Model::QueryRoute& route)
    {
        Value value = Value::object();
        value["name"] = Value(route.name.value());
        value["group"] = Value(route.group.value());
        value["type"] = Value(routeKindName(route.kind));
        if (route.kind == Model::RouteKind::Lookup)
            value["version"] = Value(route.version.value());
        value["deadline_ms"] = Value(route.deadline.value());
        value["minimum_coverage"] = Value(route.minimumCoverage.value());
        return value;
    }

    Value toJson(const Model::BackendGroup& group)
    {
        Value value = Value::object();
        value["name"] = Value(group.name.value());
        value["slots"] = Value(group.slots.value());
        value["connection_limit"] = Value(group.connectionLimit.value());
        value["connect_time_ms"] = Value(group.connectTime.value());
        return value;
    }

    Value toJson(const Model::IndexVersionMap& map)
    {
        Value value = Value::object();
        value["group"] = Value(map.group.value());
        value["version"] = Value(map.version.value());
        std::vector<Value> shards;
        for (const Model::Shard& shard : map.shards) {
            Value item = Value::object();
            item["id"] = Value(shard.id.value());
            item["begin"] = Value(shard.range.begin);
            item["end"] = Value(shard.range.end);
            shards.push_back(item);
        }
        value["shards"] = Value::array(shards);
        return value;
    }

    Value toJson(const Model::Instance& instance)
    {
        Value value = Value::object();
        value["id"] = Value(instance.id.value());
        value["failure_domain"] = Value(instance.domain.value());
        value["address"] = Value(instance.address.value());
        value["draining"] = Value(instance.draining);
        return value;
    }

    Value toJson(const Model::RouteTable& table)
    {
        Value value = Value::object();
        value["number"] = Value(table.number.value());
        value["document"] = Value(table.document);
        return value;
    }

    Value toJson(const Model::DomainEvacuation& evacuation)
    {
        Value value = Value::object();
        value["domain"] = Value(evacuation.domain.value());
        value["evacuated"] = Value(evacuation.isEvacuated);
        return value;
    }

    Value resourceJson(const Model::Resource& resource)
    {
        Value value = std::visit([](const auto& r) { return toJson(r); }, resource);
        value["kind"] = Value(std::string(Model::kindName(Model::keyOf(resource).kind)));
        return value;
    }

    Value storedJson(const Control::StoredResource& stored)
    {
        Value value = Value::object();
        value["resource"] = resourceJson(stored.resource);
        value["version"] = Value(stored.version.value());
        value["changed_by"] = Value(stored.changedBy.value());
        return value;
    }

    Model::QueryRoute readRoute(Json::Reader& reader)
    {
        Model::QueryRoute route;
        route.name = Common::RouteName(reader.text("name"));
        route.group = Common::GroupName(reader.text("group"));
        std::string type = reader.text("type", "lookup");
        if (type == "run-once")
            route.kind = Model::RouteKind::RunOnce;
        else if (type != "lookup")
            reader.reportProblem("type", "'" + type + "'", "lookup or run-once");
        route.version = Common::IndexVersion(reader.integer("version", 0, UINT64_MAX));
        route.deadline = Common::Milliseconds(reader.number("deadline_ms", route.deadline.value()));
        route.minimumCoverage = Common::Ratio(reader.number("minimum_coverage", route.minimumCoverage.value()));
        return route;
    }

    Model::BackendGroup readGroup(Json::Reader& reader)
    {
        Model::BackendGroup group;
        group.name = Common::GroupName(reader.text("name"));
        group.slots = Common::Slots(
            static_cast<int64_t>(reader.integer("slots", static_cast<uint64_t>(group.slots.value()), INT64_MAX)));
        group.connectionLimit = Common::Connections(static_cast<int64_t>(
            reader.integer("connection_limit", static_cast<uint64_t>(group.connectionLimit.value()), INT64_MAX)));
        group.connectTime = Common::Milliseconds(reader.number("connect_time_ms", group.connectTime.value()));
        return group;
    }

    Model::IndexVersionMap readIndexVersion(Json::Reader& reader)
    {
        Model::IndexVersionMap map;
        map.group = Common::GroupName(reader.text("group"));
        map.version = Common::IndexVersion(reader.integer("version"));
        for (Json::Reader& item : reader.objects("shards")) {
            Model::Shard shard;
            shard.id = Common::ShardId(static_cast<uint32_t>(item.integer("id", UINT32_MAX)));
            shard.range = { item.integer("begin", Common::keySpaceSize), item.integer("end", Common::keySpaceSize) };
            item.rejectUnknownFields();
            map.shards.push_back(shard);
        }
        return map;
    }

    Model::Instance readInstance(Json::Reader& reader)
    {
        Model::Instance instance;
        instance.id = Common::InstanceId(reader.text("id"));
        instance.domain = Common::FailureDomain(reader.text("failure_domain"));
        instance.address = Common::Address(reader.text("address"));
        instance.draining = reader.flag("draining", false);
        return instance;
    }

    Model::RouteTable readRouteTable(Json::Reader& reader)
    {
        return { Common::TableNumber(reader.integer("number")), reader.text("document") };
    }

    Model::Resource readResource(Json::Reader& reader)
    {
        std::string name = reader.text("kind");
        Model::Kind kind = Model::Kind::QueryRoute;
        if (!Model::parseKind(name, kind))
            reader.reportProblem("kind", "'" + name + "'",
                "query-route, backend-group, index-version, instance, route-table or domain-evacuation");
        Model::Resource resource;
        switch (kind) {
        case Model::Kind::QueryRoute:
            resource = readRoute(reader);
            break;
        case Model::Kind::BackendGroup:
            resource = readGroup(reader);
            break;
        case Model::Kind::IndexVersion:
            resource = readIndexVersion(reader);
            break;
        case Model::Kind::Instance:
            resource = readInstance(reader);
            break;
        case Model::Kind::RouteTable:
            resource = readRouteTable(reader);
            break;
        case Model::Kind::DomainEvacuation:
            resource = Model::DomainEvacuation { Common::FailureDomain(reader.text("domain")),
                reader.flag("evacuated", false) };
            break;
        }
        reader.rejectUnknownFields();
        return resource;
    }

} // namespace

std::string encodeList(const Control::ReadFound& found)
{
    std::vector<Value> items;
    items.reserve(found.resources.size());
    for (const auto& stored : found.resources)
        items.push_back(storedJson(stored));
    Value value = Value::object();
    value["revision"] = Value(found.revision.value());
    value["resources"] = Value::array(items);
    return value.serialize();
}

Result<Control::Change> decodePut(const std::string& body, const Model::ResourceKey& key)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::InvalidInput, readStep));
    Json::Problem problem;
    Json::Reader reader(value, "", problem);
    Control::Change change;
    change.id = Common::ChangeId(reader.text("change_id"));
    change.madeFrom = Common::Revision(reader.integer("made_from", 0, UINT64_MAX));
    change.action = change.madeFrom == Common::Revision() ? Control::Action::Create : Control::Action::Replace;
    change.key = key;
    Json::Reader resource = reader.object("resource");
    change.resource = readResource(resource);
    reader.rejectUnknownFields();
    if (problem.text.empty() && Model::keyOf(*change.resource) != key)
        reader.reportProblem(
            "resource", Model::keyOf(*change.resource).name, "the kind and name of the path, " + key.name);
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::InvalidInput, readStep));
    return change;
}

std::string encodePut(const Control::Change& change)
{
    Value value = Value::object();
    value["change_id"] = Value(change.id.value());
    value["made_from"] = Value(change.madeFrom.value());
    value["resource"] = resourceJson(*change.resource);
    return value.serialize();
}

std::string encodeOutcome(const Control::ChangeOutcome& outcome)
{
    Value value = Value::object();
    if (auto accepted = std::get_if<Control::Accepted>(&outcome)) {
        value["accepted"] = Value(true);
        value["revision"] = Value(accepted->revision.value());
        return value.serialize();
    }
    const auto& rejected = std::get<Control::Rejected>(outcome);
    Value error = Value::object();
    error["reason"] = Value(std::string(Common::reasonCode(rejected.error.reason)));
    error["message"] = Value(rejected.error.message);
    value["accepted"] = Value(false);
    value["error"] = error;
    if (rejected.winner)
        value["winner"] = storedJson(*rejected.winner);
    if (rejected.winnerChange)
        value["winner_change"] = Value(rejected.winnerChange->value());
    return value.serialize();
}

int statusOf(const Control::ChangeOutcome& outcome)
{
    if (std::holds_alternative<Control::Accepted>(outcome))
        return 200;
    switch (std::get<Control::Rejected>(outcome).error.reason) {
    case Reason::Conflict:
        return 409;
    case Reason::NotFound:
        return 404;
    default:
        return 400;
    }
}

std::string encodeChanges(const Control::Changes& changes)
{
    Value value = Value::object();
    value["whole"] = Value(changes.whole);
    value["revision"] = Value(changes.revision.value());
    std::vector<Value> items;
    for (const Control::Delta& delta : changes.deltas) {
        Value item = Value::object();
        item["kind"] = Value(std::string(Model::kindName(delta.key.kind)));
        item["name"] = Value(delta.key.name);
        item["revision"] = Value(delta.revision.value());
        item["change_id"] = Value(delta.change.value());
        if (delta.stored)
            item["resource"] = resourceJson(delta.stored->resource);
        items.push_back(item);
    }
    value["changes"] = Value::array(items);
    return value.serialize();
}

std::string encodeStatus(const Control::StatusFound& found)
{
    Value value = Value::object();
    bool inForce = found.status.state == Control::RevisionState::InForce;
    value["revision"] = Value(found.revision.value());
    value["state"] = Value(inForce ? "in-force" : "applying");
    value["new_leader"] = Value(found.status.newLeader);
    std::vector<Value> missing;
    for (const Common::InstanceId& id : found.status.missing)
        missing.emplace_back(id.value());
    value["missing"] = Value::array(missing);
    std::vector<Value> evacuated;
    for (const Common::FailureDomain& domain : found.evacuated)
        evacuated.emplace_back(domain.value());
    value["evacuated_domains"] = Value::array(evacuated);
    return value.serialize();
}

Result<std::vector<ListedResource>> decodeList(const std::string& body)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::Corrupt, "read-list"));
    Json::Problem problem;
    Json::Reader reader(value, "", problem);
    std::vector<ListedResource> listed;
    for (Json::Reader& item : reader.objects("resources")) {
        Json::Reader resource = item.object("resource");
        listed.push_back({ readResource(resource), Common::Revision(item.integer("version")) });
    }
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::Corrupt, "read-list"));
    return listed;
}

Result<Common::Revision> decodeAcceptedRevision(const std::string& body)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::Corrupt, "read-outcome"));
    Json::Problem problem;
    Common::Revision revision(Json::Reader(value, "", problem).integer("revision"));
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::Corrupt, "read-outcome"));
    return revision;
}

Result<StatusSummary> decodeStatus(const std::string& body)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::Corrupt, "read-status"));
    Json::Problem problem;
    Json::Reader reader(value, "", problem);
    StatusSummary summary;
    summary.revision = Common::Revision(reader.integer("revision"));
    summary.state = reader.text("state");
    summary.newLeader = reader.flag("new_leader", false);
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::Corrupt, "read-status"));
    for (const Value& id : value.at("missing").as_array())
        summary.missing.push_back(id.as_string());
    return summary;
}

} // namespace Api
