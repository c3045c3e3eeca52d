#include "Backend/Json.h"

#include "Model/Validation.h"
#include "Json/Reader.h"

#include <sstream>

using Common::Reason;
using Common::Result;

namespace Backend {

namespace {

    constexpr size_t maximumReplicas = 4096;

    std::string hexadecimal(uint64_t value)
    {
        std::ostringstream out;
        out << std::hex << value;
        return out.str();
    }

    Membership::ServerState readState(Json::Reader& reader)
    {
        std::string state = reader.text("state");
        if (state == "starting")
            return Membership::ServerState::Starting;
        if (state == "leaving")
            return Membership::ServerState::Leaving;
        if (state != "ready")
            reader.reportProblem("state", "'" + state + "'", "starting, ready or leaving");
        return Membership::ServerState::Ready;
    }

    void readReplicas(Json::Reader& reader, std::vector<Membership::Replica>& replicas)
    {
        for (Json::Reader& item : reader.objects("replicas")) {
            Common::IndexVersion version(item.integer("index_version"));
            for (uint64_t shard : item.integers("shards", UINT32_MAX))
                replicas.push_back({ version, Common::ShardId(static_cast<uint32_t>(shard)) });
        }
        if (replicas.size() > maximumReplicas)
            reader.reportProblem(
                "replicas", std::to_string(replicas.size()) + " shards", "at most " + std::to_string(maximumReplicas));
    }

} // namespace

std::string encodeSearch(const SearchRequest& request)
{
    Json::Value value = Json::Value::object();
    value["query_id"] = Json::Value(request.queryId);
    value["index_version"] = Json::Value(request.version.value());
    value["shard"] = Json::Value(request.shard.value());
    value["range"] = Json::Value::array({ Json::Value(request.range.begin), Json::Value(request.range.end) });
    value["q"] = Json::Value(request.text);
    value["deadline_ms"] = Json::Value(request.timeLeft.value());
    value["fingerprint"] = Json::Value(hexadecimal(request.fingerprint.value()));
    return value.serialize();
}

Result<SearchAnswer> decodeSearchAnswer(const std::string& body)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::Corrupt, "read-sub-answer"));
    Json::Problem problem;
    Json::Reader reader(value, "", problem);
    SearchAnswer answer;
    answer.version = Common::IndexVersion(reader.integer("index_version"));
    answer.shard = Common::ShardId(static_cast<uint32_t>(reader.integer("shard", UINT32_MAX)));
    auto range = reader.integers("range", Common::keySpaceSize);
    if (range.size() == 2)
        answer.range = { range[0], range[1] };
    else
        reader.reportProblem("range", "absent", "two whole numbers");
    answer.truncated = reader.flag("truncated", false);
    for (Json::Reader& item : reader.objects("results"))
        answer.items.push_back({ item.text("key"), item.text("value") });
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::Corrupt, "read-sub-answer"));
    return answer;
}

std::string decodeErrorReason(const std::string& body)
{
    auto value = Json::parseObject(body, Reason::Corrupt, "read-error");
    if (!value)
        return {};
    Json::Problem problem;
    return Json::Reader(value.value(), "", problem).object("error").text("reason", "");
}

Result<Membership::Announcement> decodeAnnouncement(const std::string& body)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::InvalidInput, "read-announcement"));
    Json::Problem problem;
    Json::Reader reader(value, "", problem);
    Membership::Announcement announcement;
    announcement.server = Common::BackendServerId(reader.text("server"));
    announcement.address = Common::Address(reader.text("address"));
    announcement.domain = Common::FailureDomain(reader.text("failure_domain"));
    announcement.group = Common::GroupName(reader.text("group"));
    announcement.incarnation = Common::Incarnation(reader.integer("incarnation"));
    announcement.sequence = reader.integer("sequence");
    announcement.state = readState(reader);
    readReplicas(reader, announcement.replicas);
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::InvalidInput, "read-announcement"));
    BOOST_OUTCOME_TRYV(Model::validateName("server", announcement.server.value()));
    BOOST_OUTCOME_TRYV(Model::validateName("address", announcement.address.value()));
    BOOST_OUTCOME_TRYV(Model::validateName("failure_domain", announcement.domain.value()));
    BOOST_OUTCOME_TRYV(Model::validateName("group", announcement.group.value()));
    return announcement;
}

} // namespace Backend
