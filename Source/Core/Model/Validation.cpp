#include "Model/Validation.h"

#include <algorithm>
#include <cctype>

using Common::Result;

namespace Model {

namespace {

    Common::Error fieldError(const std::string& field, const std::string& found, const std::string& expected)
    {
        return Common::makeError(
            Common::Reason::InvalidInput, "validate", "field " + field + " is " + found + ", expected " + expected);
    }

    bool isNameCharacter(unsigned char c) { return std::isalnum(c) || c == '.' || c == '_' || c == ':' || c == '-'; }

    Result<void> validateRange(const std::string& field, double value, double low, double high)
    {
        // Both comparisons are false for NaN, so NaN is rejected too.
        if (value >= low && value <= high)
            return Common::success();
        return fieldError(field, std::to_string(value), std::to_string(low) + " to " + std::to_string(high));
    }

    Result<void> validateRoute(const QueryRoute& route)
    {
        BOOST_OUTCOME_TRYV(validateName("name", route.name.value()));
        BOOST_OUTCOME_TRYV(validateName("group", route.group.value()));
        BOOST_OUTCOME_TRYV(validateRange("deadline_ms", route.deadline.value(), 1, maximumDeadline.value()));
        BOOST_OUTCOME_TRYV(validateRange("minimum_coverage", route.minimumCoverage.value(), 0, 1));
        if (route.kind == RouteKind::Lookup && route.version.value() == 0)
            return fieldError("version", "0", "an index version from 1 for a lookup route");
        return Common::success();
    }

    Result<void> validateGroup(const BackendGroup& group)
    {
        BOOST_OUTCOME_TRYV(validateName("name", group.name.value()));
        BOOST_OUTCOME_TRYV(validateRange("slots", static_cast<double>(group.slots.value()), 1, 10'000));
        BOOST_OUTCOME_TRYV(
            validateRange("connection_limit", static_cast<double>(group.connectionLimit.value()), 1, 100'000));
        return validateRange("connect_time_ms", group.connectTime.value(), 0, 10'000);
    }

    Result<void> validateShards(const IndexVersionMap& map)
    {
        if (map.shards.empty() || map.shards.size() > maximumShards)
            return fieldError(
                "shards", std::to_string(map.shards.size()) + " entries", "1 to " + std::to_string(maximumShards));
        std::vector<Shard> shards = map.shards;
        std::sort(shards.begin(), shards.end(), [](auto& a, auto& b) { return a.range.begin < b.range.begin; });
        uint64_t expectedBegin = 0;
        for (const Shard& shard : shards) {
            if (shard.range.begin != expectedBegin || shard.range.end <= shard.range.begin)
                return fieldError("shards.range",
                    "[" + std::to_string(shard.range.begin) + ", " + std::to_string(shard.range.end) + ")",
                    "a range that begins at " + std::to_string(expectedBegin) + " and is not empty");
            expectedBegin = shard.range.end;
        }
        if (expectedBegin != Common::keySpaceSize)
            return fieldError("shards.range", "an end at " + std::to_string(expectedBegin),
                "an end at " + std::to_string(Common::keySpaceSize));
        std::sort(shards.begin(), shards.end(), [](auto& a, auto& b) { return a.id < b.id; });
        auto it = std::adjacent_find(shards.begin(), shards.end(), [](auto& a, auto& b) { return a.id == b.id; });
        if (it != shards.end())
            return fieldError("shards.id", std::to_string(it->id.value()) + " twice", "each id once");
        return Common::success();
    }

    Result<void> validateIndexVersion(const IndexVersionMap& map)
    {
        BOOST_OUTCOME_TRYV(validateName("group", map.group.value()));
        if (map.version.value() == 0)
            return fieldError("version", "0", "a number from 1");
        return validateShards(map);
    }

    Result<void> validateInstance(const Instance& instance)
    {
        BOOST_OUTCOME_TRYV(validateName("id", instance.id.value()));
        BOOST_OUTCOME_TRYV(validateName("failure_domain", instance.domain.value()));
        return validateName("address", instance.address.value());
    }

    Result<void> validateRouteTable(const RouteTable& table)
    {
        if (!table.document.empty() && table.document.size() <= maximumDocumentBytes)
            return Common::success();
        return fieldError("document", std::to_string(table.document.size()) + " bytes",
            "1 to " + std::to_string(maximumDocumentBytes));
    }

    // Failure domains are named by the platform, possibly with characters that other names don't have.
    Result<void> validateEvacuation(const DomainEvacuation& evacuation)
    {
        const std::string& name = evacuation.domain.value();
        if (name.empty() || name.size() > maximumNameLength)
            return fieldError(
                "domain", std::to_string(name.size()) + " bytes", "1 to " + std::to_string(maximumNameLength));
        if (std::any_of(name.begin(), name.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }))
            return fieldError("domain", "a name with control characters", "a name without");
        return Common::success();
    }

} // namespace

Result<void> validateName(const std::string& field, const std::string& value)
{
    if (value.empty())
        return fieldError(field, "empty", "a name");
    if (value.size() > maximumNameLength)
        return fieldError(
            field, std::to_string(value.size()) + " characters", "at most " + std::to_string(maximumNameLength));
    if (!std::all_of(value.begin(), value.end(), isNameCharacter))
        return fieldError(field, "'" + value + "'", "letters, digits and . _ : -");
    return Common::success();
}

Result<void> validate(const Resource& resource)
{
    struct Visitor {
        Result<void> operator()(const QueryRoute& route) const { return validateRoute(route); }
        Result<void> operator()(const BackendGroup& group) const { return validateGroup(group); }
        Result<void> operator()(const IndexVersionMap& map) const { return validateIndexVersion(map); }
        Result<void> operator()(const Instance& instance) const { return validateInstance(instance); }
        Result<void> operator()(const RouteTable& table) const { return validateRouteTable(table); }
        Result<void> operator()(const DomainEvacuation& evacuation) const { return validateEvacuation(evacuation); }
    };
    return std::visit(Visitor {}, resource);
}

} // namespace Model
