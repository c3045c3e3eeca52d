#include "Api/CallerJson.h"

#include "Model/Validation.h"
#include "Json/Reader.h"

using Common::Reason;
using Common::Result;
using Json::Value;

namespace Api {

namespace {

    constexpr size_t maximumQueryLength = 4'096;

    const char* executionStatusName(ExecutionStatus status)
    {
        switch (status) {
        case ExecutionStatus::NotRun:
            return "not-run";
        case ExecutionStatus::Unknown:
            return "unknown";
        case ExecutionStatus::RefusedByBackendServer:
            return "refused-by-backend-server";
        }
        return "unknown";
    }

    Value missingJson(const std::vector<Gather::MissingPart>& parts)
    {
        std::vector<Value> items;
        items.reserve(parts.size());
        for (const Gather::MissingPart& part : parts) {
            Value item = Value::object();
            item["shard"] = Value(part.shard.value());
            item["range"] = Value::array({ Value(part.range.begin), Value(part.range.end) });
            item["reason"] = Value(std::string(Common::reasonCode(part.reason)));
            item["detail"] = Value(part.detail);
            items.push_back(item);
        }
        return Value::array(items);
    }

    Value resultsJson(const std::vector<Gather::Item>& results)
    {
        std::vector<Value> items;
        items.reserve(results.size());
        for (const Gather::Item& result : results) {
            Value item = Value::object();
            item["key"] = Value(result.key);
            item["value"] = Value(result.value);
            items.push_back(item);
        }
        return Value::array(items);
    }

    ExecutionStatus executionStatusOf(const Once::Answer& answer)
    {
        if (std::holds_alternative<Once::NotRunRefusal>(answer))
            return ExecutionStatus::NotRun;
        return ExecutionStatus::Unknown;
    }

} // namespace

Result<QueryBody> decodeQuery(const std::string& body)
{
    BOOST_OUTCOME_TRY(value, Json::parseObject(body, Reason::InvalidInput, "read-query"));
    Json::Problem problem;
    Json::Reader reader(value, "", problem);
    QueryBody query;
    query.text = reader.text("q");
    if (query.text.size() > maximumQueryLength)
        reader.reportProblem(
            "q", std::to_string(query.text.size()) + " bytes", "at most " + std::to_string(maximumQueryLength));
    if (reader.has("deadline_ms")) {
        double deadline = reader.number("deadline_ms");
        if (!(deadline >= 1 && deadline <= Model::maximumDeadline.value()))
            reader.reportProblem(
                "deadline_ms", std::to_string(deadline), "1 to " + std::to_string(Model::maximumDeadline.value()));
        query.deadline = Common::Milliseconds(deadline);
    }
    reader.rejectUnknownFields();
    BOOST_OUTCOME_TRYV(Json::check(problem, Reason::InvalidInput, "read-query"));
    return query;
}

std::string encodeAnswer(const Gather::Answer& answer, const Common::RequestId& id)
{
    Value value = Value::object();
    value["request_id"] = Value(id.value());
    value["complete"] = Value(answer.complete);
    value["coverage"] = Value(answer.coverage.value());
    Value snapshot = Value::object();
    snapshot["index_version"] = Value(answer.snapshot.value());
    value["snapshot"] = snapshot;
    value["results"] = resultsJson(answer.results);
    value["missing"] = missingJson(answer.missing);
    Value counts = Value::object();
    counts["first"] = Value(answer.counts.firstSends);
    counts["retries"] = Value(answer.counts.retries);
    counts["hedges"] = Value(answer.counts.hedges);
    value["sent"] = counts;
    return value.serialize();
}

std::string encodeError(
    const Common::Error& error, ExecutionStatus status, std::optional<Common::Milliseconds> retryAfter)
{
    Value inner = Value::object();
    inner["reason"] = Value(std::string(Common::reasonCode(error.reason)));
    inner["message"] = Value(error.message);
    inner["step"] = Value(error.step);
    inner["ran"] = Value(std::string(executionStatusName(status)));
    if (retryAfter)
        inner["retry_after_ms"] = Value(retryAfter->value());
    Value value = Value::object();
    value["error"] = inner;
    return value.serialize();
}

int statusOf(Reason reason)
{
    switch (reason) {
    case Reason::InvalidInput:
        return 400;
    case Reason::NotFound:
        return 404;
    case Reason::Conflict:
        return 409;
    case Reason::Overloaded:
    case Reason::Unavailable:
    case Reason::Refused:
    case Reason::Quarantined:
        return 503;
    case Reason::DeadlineExceeded:
        return 504;
    default:
        return 502;
    }
}

std::string encodeBookingError(const Once::Answer& answer)
{
    const Common::Error* error = Once::errorOf(answer);
    return encodeError(error ? *error : Common::Error {}, executionStatusOf(answer), Once::retryAfterOf(answer));
}

} // namespace Api
