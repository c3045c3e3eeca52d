#include "Load/Report.h"

#include <utility>

#include <cpprest/json.h>

namespace Load {

namespace {

    using Json = web::json::value;

    Json latencyJson(const Latency& it)
    {
        Json json;
        json["p50_ms"] = Json::number(it.p50.value());
        json["p90_ms"] = Json::number(it.p90.value());
        json["p99_ms"] = Json::number(it.p99.value());
        json["p999_ms"] = Json::number(it.p999.value());
        json["max_ms"] = Json::number(it.max.value());
        return json;
    }

    Json bookingsJson(const std::vector<Sample>& bookings)
    {
        Json json = Json::array(bookings.size());
        for (size_t i = 0; i < bookings.size(); ++i) {
            json[i]["request_id"] = Json::string(bookings[i].request.value());
            json[i]["ending"] = Json::string(outcomeName(bookings[i].outcome));
            json[i]["resends"] = Json::number(bookings[i].resends);
        }
        return json;
    }

    template <typename Map, typename Name> Json countsJson(const Map& counts, Name&& name)
    {
        Json json = Json::object();
        for (const auto& [key, n] : counts)
            json[name(key)] = Json::number(n);
        return json;
    }

} // namespace

std::string toJson(const Report& it)
{
    Json json;
    json["scheduled"] = Json::number(it.scheduled);
    json["sent"] = Json::number(it.sent);
    json["not_sent"] = Json::number(it.notSent);
    json["unfinished"] = Json::number(it.unfinished);
    json["done"] = Json::number(it.done);
    json["resends"] = Json::number(it.resends);
    json["duration_ms"] = Json::number(it.duration.value());
    json["latest_send_ms"] = Json::number(it.latestSend.value());
    json["latency"] = latencyJson(it.latency);
    json["coverage_mean"] = Json::number(it.coverageMean.value());
    json["complete_share"] = Json::number(it.completeShare.value());
    json["goodput_per_second"] = Json::number(it.goodput);
    json["longest_gap_ms"] = Json::number(it.longestGap.value());
    json["by_status"] = countsJson(it.byStatus, [](int status) { return std::to_string(status); });
    json["by_reason"] = countsJson(it.byReason, [](const std::string& reason) { return reason; });
    json["by_ending"] = countsJson(it.byOutcome, [](Outcome outcome) { return std::string(outcomeName(outcome)); });
    json["bookings"] = bookingsJson(it.bookings);
    return json.serialize();
}

} // namespace Load
