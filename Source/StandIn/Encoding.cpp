#define _TURN_OFF_PLATFORM_STRING // NOLINT(bugprone-reserved-identifier): defined by the library.
#include "StandIn/Encoding.h"

#include "Common/Hash.h"

#include <charconv>
#include <utility>

#include <cpprest/json.h>

namespace StandIn {

namespace {

    using Json = web::json::value;

    Common::Error invalid(const std::string& message)
    {
        return Common::makeError(Common::Reason::InvalidInput, "decode", message);
    }

    // cpprestsdk throws exceptions on malformed JSON and wrong types. They are converted to errors here.
    template <typename Function> auto decoding(const std::string& body, Function&& fn) -> decltype(fn(Json()))
    {
        try {
            return fn(Json::parse(body));
        } catch (const web::json::json_exception& e) {
            return invalid(e.what());
        }
    }

    uint64_t number(const Json& json, const std::string& field) { return json.at(field).as_number().to_uint64(); }

    void read(const Json& json, const std::string& field, Common::Milliseconds& out)
    {
        if (json.has_field(field))
            out = Common::Milliseconds(json.at(field).as_double());
    }

    void read(const Json& json, const std::string& field, Common::Ratio& out)
    {
        if (json.has_field(field))
            out = Common::Ratio(json.at(field).as_double());
    }

    void read(const Json& json, const std::string& field, double& out)
    {
        if (json.has_field(field))
            out = json.at(field).as_double();
    }

    void read(const Json& json, const std::string& field, bool& out)
    {
        if (json.has_field(field))
            out = json.at(field).as_bool();
    }

    void read(const Json& json, const std::string& field, std::string& out)
    {
        if (json.has_field(field))
            out = json.at(field).as_string();
    }

    bool parseNumber(std::string_view text, uint64_t& out)
    {
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
        return ec == std::errc() && end == text.data() + text.size();
    }

    Json rangeJson(Common::KeyRange range)
    {
        return Json::array({ Json::number(range.begin), Json::number(range.end) });
    }

} // namespace

Common::Result<SearchRequest> decodeSearch(const std::string& body)
{
    return decoding(body, [](const Json& json) -> Common::Result<SearchRequest> {
        SearchRequest request;
        request.query = CallerQueryId(json.at("query_id").as_string());
        request.indexVersion = Common::IndexVersion(number(json, "index_version"));
        request.shard = Common::ShardId(json.at("shard").as_number().to_uint32());
        request.text = json.at("q").as_string();
        if (json.has_field("range")) {
            const auto& range = json.at("range").as_array();
            request.range
                = Common::KeyRange { range.at(0).as_number().to_uint64(), range.at(1).as_number().to_uint64() };
        }
        if (json.has_field("deadline_ms"))
            request.deadline = Common::Milliseconds(json.at("deadline_ms").as_double());
        if (json.has_field("limit"))
            request.limit = number(json, "limit");
        return request;
    });
}

std::string encodeAnswer(const SearchAnswer& answer)
{
    Json json;
    json["index_version"] = Json::number(answer.indexVersion.value());
    json["shard"] = Json::number(answer.shard.value());
    json["range"] = rangeJson(answer.range);
    json["truncated"] = Json::boolean(answer.truncated);
    Json results = Json::array(answer.results.size());
    for (size_t i = 0; i < answer.results.size(); ++i) {
        results[i]["key"] = Json::string(answer.results[i].key);
        results[i]["value"] = Json::string(answer.results[i].value);
    }
    json["results"] = results;
    return json.serialize();
}

bool isJson(const std::string& body)
{
    std::error_code ec;
    auto json = Json::parse(body, ec);
    return !ec;
}

std::string encodeRunReply(const Common::RequestId& request)
{
    Json json;
    json["ran"] = Json::boolean(true);
    json["request_id"] = Json::string(request.value());
    json["ticket"] = Json::string("ticket-" + std::to_string(Common::hash64(request.value())));
    return json.serialize();
}

std::string encodeError(std::string_view reason, std::string_view message)
{
    Json json;
    json["error"]["reason"] = Json::string(std::string(reason));
    json["error"]["message"] = Json::string(std::string(message));
    return json.serialize();
}

std::string encodeLoad(const LoadSample& sample)
{
    Json json;
    json["running"] = Json::number(sample.running.value());
    json["slots"] = Json::number(sample.slots.value());
    return json.serialize();
}

std::string encodeHealth(const LoadSample& sample)
{
    Json json;
    json["healthy"] = Json::boolean(sample.healthy);
    return json.serialize();
}

std::string encodeAnnouncement(const Announcement& it)
{
    Json json;
    json["server"] = Json::string(it.server.value());
    json["address"] = Json::string(it.address.value());
    json["failure_domain"] = Json::string(it.failureDomain.value());
    json["group"] = Json::string(it.group.value());
    json["incarnation"] = Json::number(it.incarnation.value());
    json["sequence"] = Json::number(it.sequence);
    json["state"] = Json::string(it.state);
    json["slots"] = Json::number(it.slots.value());
    json["connections"] = Json::number(it.connections.value());
    Json replicas = Json::array(it.replicas.size());
    for (size_t i = 0; i < it.replicas.size(); ++i) {
        const ReplicaSet& set = it.replicas[i];
        Json shards = Json::array(set.shards.size());
        for (size_t j = 0; j < set.shards.size(); ++j)
            shards[j] = Json::number(set.shards[j].value());
        replicas[i]["index_version"] = Json::number(set.indexVersion.value());
        replicas[i]["shards"] = shards;
    }
    json["replicas"] = replicas;
    return json.serialize();
}

Common::Result<FaultChange> decodeFaults(const std::string& body, const Faults& current)
{
    return decoding(body, [&](const Json& json) -> Common::Result<FaultChange> {
        FaultChange change { current, false, false };
        Faults& faults = change.faults;
        read(json, "delay_ms", faults.delay);
        read(json, "slow_fraction", faults.slowFraction);
        read(json, "slow_factor", faults.slowFactor);
        read(json, "drop_fraction", faults.dropFraction);
        read(json, "shed_fraction", faults.shedFraction);
        read(json, "mute", faults.mute);
        read(json, "crash_on", faults.crashOn);
        read(json, "cold_ms", faults.cold);
        read(json, "cold_factor", faults.coldFactor);
        read(json, "draining", faults.draining);
        read(json, "health_lag_ms", faults.healthLag);
        read(json, "mislead", faults.mislead);
        read(json, "silent", change.silenceConnections);
        read(json, "close_connections", change.closeConnections);
        return change;
    });
}

std::string encodeFaults(const Faults& faults)
{
    Json json;
    json["delay_ms"] = Json::number(faults.delay.value());
    json["slow_fraction"] = Json::number(faults.slowFraction.value());
    json["slow_factor"] = Json::number(faults.slowFactor);
    json["drop_fraction"] = Json::number(faults.dropFraction.value());
    json["shed_fraction"] = Json::number(faults.shedFraction.value());
    json["mute"] = Json::boolean(faults.mute);
    json["crash_on"] = Json::string(faults.crashOn);
    json["cold_ms"] = Json::number(faults.cold.value());
    json["cold_factor"] = Json::number(faults.coldFactor);
    json["draining"] = Json::boolean(faults.draining);
    json["health_lag_ms"] = Json::number(faults.healthLag.value());
    json["mislead"] = Json::boolean(faults.mislead);
    return json.serialize();
}

Common::Result<ReplicaSet> parseReplicaSet(std::string_view text, uint32_t defaultShardCount)
{
    const std::string whole(text);
    ReplicaSet set;
    uint64_t n = defaultShardCount;
    const size_t slash = text.find('/');
    if (slash != std::string_view::npos && !parseNumber(text.substr(slash + 1), n))
        return invalid("shard count of version " + whole);
    text = text.substr(0, slash);
    if (!n || n > Common::keySpaceSize)
        return invalid("shard count of version " + whole);
    set.shardCount = static_cast<uint32_t>(n);
    const size_t colon = text.find(':');
    if (!parseNumber(text.substr(0, colon), n))
        return invalid("number of version " + whole);
    set.indexVersion = Common::IndexVersion(n);
    if (colon == std::string_view::npos) {
        for (uint32_t i = 0; i < set.shardCount; ++i)
            set.shards.emplace_back(i);
        return set;
    }
    for (size_t begin = colon + 1; begin <= text.size();) {
        const size_t end = std::min(text.find(',', begin), text.size());
        if (!parseNumber(text.substr(begin, end - begin), n) || n >= set.shardCount)
            return invalid("shard of version " + whole);
        set.shards.emplace_back(static_cast<uint32_t>(n));
        begin = end + 1;
    }
    return set;
}

Common::Result<std::vector<ReplicaSet>> decodeVersions(const std::string& body, uint32_t defaultShardCount)
{
    return decoding(body, [&](const Json& json) -> Common::Result<std::vector<ReplicaSet>> {
        std::vector<ReplicaSet> sets;
        for (const Json& text : json.at("versions").as_array()) {
            BOOST_OUTCOME_TRY(set, parseReplicaSet(text.as_string(), defaultShardCount));
            sets.push_back(std::move(set));
        }
        return sets;
    });
}

} // namespace StandIn
