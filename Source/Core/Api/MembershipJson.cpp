#include "Api/MembershipJson.h"

#include "Json/Reader.h"

using Common::Reason;
using Json::Value;

namespace Api {

namespace {

    const char* livenessName(Membership::Liveness liveness)
    {
        switch (liveness) {
        case Membership::Liveness::Alive:
            return "alive";
        case Membership::Liveness::Suspect:
            return "suspect";
        case Membership::Liveness::Gone:
            return "gone";
        }
        return "gone";
    }

    const char* stateName(Membership::ServerState state)
    {
        switch (state) {
        case Membership::ServerState::Starting:
            return "starting";
        case Membership::ServerState::Ready:
            return "ready";
        case Membership::ServerState::Leaving:
            return "leaving";
        }
        return "leaving";
    }

    Value replicasJson(const std::vector<Membership::Replica>& replicas)
    {
        std::vector<Value> items;
        items.reserve(replicas.size());
        for (const Membership::Replica& replica : replicas) {
            Value item = Value::object();
            item["index_version"] = Value(replica.version.value());
            item["shard"] = Value(replica.shard.value());
            items.push_back(item);
        }
        return Value::array(items);
    }

} // namespace

std::string encodeInstances(const std::vector<Membership::InstanceRecord>& records)
{
    std::vector<Value> items;
    items.reserve(records.size());
    for (const Membership::InstanceRecord& record : records) {
        Value item = Value::object();
        item["id"] = Value(record.id.value());
        item["incarnation"] = Value(record.incarnation.value());
        item["address"] = Value(record.address.value());
        item["failure_domain"] = Value(record.domain.value());
        bool isUp = record.state == Membership::InstanceState::Up;
        item["state"] = Value(std::string(isUp ? livenessName(record.liveness) : "leaving"));
        items.push_back(item);
    }
    Value value = Value::object();
    value["instances"] = Value::array(items);
    return value.serialize();
}

std::string encodeServers(const Membership::Directory& directory)
{
    std::vector<Value> items;
    items.reserve(directory.servers.size());
    for (const auto& [id, entry] : directory.servers) {
        const auto& announcement = entry.record.announcement;
        Value item = Value::object();
        item["server"] = Value(id.value());
        item["group"] = Value(announcement.group.value());
        item["address"] = Value(announcement.address.value());
        item["failure_domain"] = Value(announcement.domain.value());
        item["incarnation"] = Value(announcement.incarnation.value());
        item["state"] = Value(std::string(stateName(announcement.state)));
        item["life"] = Value(std::string(livenessName(entry.record.liveness)));
        item["owner"] = Value(entry.record.owner.value());
        item["replicas"] = replicasJson(announcement.replicas);
        items.push_back(item);
    }
    Value value = Value::object();
    value["backend_servers"] = Value::array(items);
    return value.serialize();
}

Common::Result<std::vector<Model::Instance>> decodeInstances(const std::string& body)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::Corrupt, "read-instances"));
    Json::Problem problem;
    Json::Reader reader(value, "", problem);
    std::vector<Model::Instance> instances;
    for (Json::Reader& item : reader.objects("instances")) {
        Model::Instance instance;
        instance.id = Common::InstanceId(item.text("id"));
        instance.address = Common::Address(item.text("address"));
        instance.domain = Common::FailureDomain(item.text("failure_domain"));
        instances.push_back(instance);
    }
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::Corrupt, "read-instances"));
    return instances;
}

} // namespace Api
