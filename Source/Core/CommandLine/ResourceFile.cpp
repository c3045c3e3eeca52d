#include "CommandLine/ResourceFile.h"

#include "Model/Validation.h"
#include "Settings/YamlReader.h"

#include <fstream>
#include <sstream>

using Common::Reason;
using Common::Result;
using Settings::Section;

namespace CommandLine {

namespace {

    constexpr int64_t maximumVersion = INT64_MAX;

    Model::QueryRoute readRoute(Section& section)
    {
        Model::QueryRoute route;
        route.name = Common::RouteName(section.text("name"));
        route.group = Common::GroupName(section.text("group"));
        std::string type = section.text("type", "lookup");
        if (type == "run-once")
            route.kind = Model::RouteKind::RunOnce;
        else if (type != "lookup")
            section.reportProblem("type", "'" + type + "'", "lookup or run-once");
        route.version = Common::IndexVersion(static_cast<uint64_t>(section.integer("version", 0, 0, maximumVersion)));
        route.deadline = Common::Milliseconds(
            section.number("deadline_ms", route.deadline.value(), 1, Model::maximumDeadline.value()));
        route.minimumCoverage = Common::Ratio(section.number("minimum_coverage", 0, 0, 1));
        return route;
    }

    Model::BackendGroup readGroup(Section& section)
    {
        Model::BackendGroup group;
        group.name = Common::GroupName(section.text("name"));
        group.slots = Common::Slots(section.integer("slots", group.slots.value(), 1, INT32_MAX));
        group.connectionLimit
            = Common::Connections(section.integer("connection_limit", group.connectionLimit.value(), 1, INT32_MAX));
        group.connectTime = Common::Milliseconds(
            section.number("connect_time_ms", group.connectTime.value(), 0, Model::maximumDeadline.value()));
        return group;
    }

    // Divides the key space into `count` ranges whose sizes differ by at most one. The protocol of the backend servers
    // uses the same formula.
    std::vector<Model::Shard> equalShards(uint64_t count)
    {
        std::vector<Model::Shard> shards;
        shards.reserve(count);
        for (uint64_t i = 0; i < count; ++i) {
            Common::KeyRange range { Common::keySpaceSize * i / count, Common::keySpaceSize * (i + 1) / count };
            shards.push_back({ Common::ShardId(static_cast<uint32_t>(i)), range });
        }
        return shards;
    }

    Model::IndexVersionMap readIndexVersion(Section& section)
    {
        Model::IndexVersionMap map;
        map.group = Common::GroupName(section.text("group"));
        map.version = Common::IndexVersion(static_cast<uint64_t>(section.integer("version", 0, 1, maximumVersion)));
        if (section.has("shard_count")) {
            auto count = section.integer("shard_count", 1, 1, static_cast<int64_t>(Model::maximumShards));
            map.shards = equalShards(static_cast<uint64_t>(count));
            return map;
        }
        auto limit = static_cast<int64_t>(Common::keySpaceSize);
        for (Section& item : section.sections("shards")) {
            Model::Shard shard;
            shard.id = Common::ShardId(static_cast<uint32_t>(item.integer("id", 0, 0, UINT32_MAX)));
            shard.range.begin = static_cast<uint64_t>(item.integer("begin", 0, 0, limit));
            shard.range.end = static_cast<uint64_t>(item.integer("end", 0, 0, limit));
            item.rejectUnknownFields();
            map.shards.push_back(shard);
        }
        return map;
    }

    Model::Instance readInstance(Section& section)
    {
        Model::Instance instance;
        instance.id = Common::InstanceId(section.text("id"));
        instance.domain = Common::FailureDomain(section.text("failure_domain"));
        instance.address = Common::Address(section.text("address"));
        instance.draining = section.flag("draining", false);
        return instance;
    }

    Model::RouteTable readRouteTable(Section& section)
    {
        return { Common::TableNumber(static_cast<uint64_t>(section.integer("number", 0, 1, maximumVersion))),
            section.text("document") };
    }

    Model::Resource readResource(Section& section)
    {
        std::string name = section.text("kind");
        Model::Kind kind = Model::Kind::QueryRoute;
        if (!Model::parseKind(name, kind)) {
            section.reportProblem(
                "kind", "'" + name + "'", "query-route, backend-group, index-version, instance or route-table");
            return {};
        }
        Model::Resource resource;
        if (kind == Model::Kind::QueryRoute)
            resource = readRoute(section);
        else if (kind == Model::Kind::BackendGroup)
            resource = readGroup(section);
        else if (kind == Model::Kind::IndexVersion)
            resource = readIndexVersion(section);
        else if (kind == Model::Kind::Instance)
            resource = readInstance(section);
        else if (kind == Model::Kind::DomainEvacuation)
            resource = Model::DomainEvacuation { Common::FailureDomain(section.text("domain")),
                section.flag("evacuated", false) };
        else
            resource = readRouteTable(section);
        section.rejectUnknownFields();
        return resource;
    }

} // namespace

Result<std::vector<Model::Resource>> parseResources(const std::string& file, const std::string& text)
{
    BOOST_OUTCOME_TRY(sections, Section::parseAll(file, text));
    std::vector<Model::Resource> resources;
    std::string problems;
    auto note = [&](const Common::Error& error) { problems += (problems.empty() ? "" : "\n") + error.message; };
    for (Section& section : sections) {
        Model::Resource resource = readResource(section);
        if (auto result = section.result(); !result) {
            note(result.error());
            continue;
        }
        if (auto valid = Model::validate(resource); !valid)
            note(Common::makeError(Reason::InvalidInput, "check", file + ": " + valid.error().message));
        resources.push_back(std::move(resource));
    }
    if (!problems.empty())
        return Common::makeError(Reason::InvalidInput, "check", problems);
    if (resources.empty())
        return Common::makeError(Reason::InvalidInput, "check", file + ": contains no resources");
    return resources;
}

Result<std::vector<Model::Resource>> loadResources(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        return Common::makeError(Reason::NotFound, "read-file", file + ": cannot be read");
    return parseResources(file, text.str());
}

} // namespace CommandLine
