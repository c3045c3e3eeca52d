#include "StandIn/CommandLine.h"

#include <CLI/CLI.hpp>

namespace StandIn {

namespace {

    // CLI11 parses plain types only, so the parsed value is converted to the strong type of the field.
    template <typename Field> void option(CLI::App& app, const char* name, Field& field, const char* help)
    {
        using Value = typename Field::ValueType;
        app.add_option_function<Value>(
            name, [&field](const Value& value) { field = Field(value); }, help);
    }

    template <typename Field>
    void options(CLI::App& app, const char* name, std::vector<Field>& fields, const char* help)
    {
        using Value = typename Field::ValueType;
        app.add_option_function<std::vector<Value>>(
            name,
            [&fields](const std::vector<Value>& values) {
                for (const Value& value : values)
                    fields.emplace_back(value);
            },
            help);
    }

    void addPlacement(CLI::App& app, ProgramOptions& it)
    {
        option(app, "--listen", it.listen, "IP:PORT of the first server; port 0 lets the kernel choose");
        app.add_option("--id", it.id, "Name of the server, or the name prefix of several servers");
        options(app, "--domain", it.domains, "Failure domain; several are assigned round robin");
        option(app, "--group", it.group, "Backend group");
        options(app, "--entry", it.entries, "IP:PORT to announce to; several are used round robin");
        app.add_option("--version", it.versions, "V, V:SHARD,SHARD or V:SHARD,SHARD/SHARDCOUNT; may be repeated")
            ->delimiter('\0');
        app.add_option("--shards", it.shards, "Number of shards of a version without SHARDCOUNT");
        app.add_option("--count", it.count, "Number of servers in this process");
        app.add_option("--replicas", it.replicas, "Number of replicas of each shard, if there are several servers");
        app.add_option("--first-server", it.firstServer, "Number of this process's first server among --total-servers");
        app.add_option("--total-servers", it.totalServers, "Number of servers in all processes that share the shards");
    }

    void addLimits(CLI::App& app, ProgramOptions& it)
    {
        option(app, "--slots", it.backend.slots, "Requests that run concurrently on one server");
        app.add_option("--queue", it.backend.queueLimit, "Requests that may wait for a slot");
        option(app, "--connections", it.connections,
            "Connections to one server; further ones are closed immediately; 0: no limit");
        option(app, "--connect-ms", it.connectTime, "Simulated time to set up a connection");
        option(app, "--service-ms", it.backend.searchTime, "Service time of a search");
        option(app, "--run-ms", it.backend.runTime, "Service time of a booking");
        app.add_flag("--direct", it.direct, "No proxy in front of the HTTP listener: no connection limits or faults");
    }

    void addData(CLI::App& app, ProgramOptions& it)
    {
        app.add_option("--keys", it.keys, "Number of records in the data set");
        app.add_option("--data-seed", it.dataSeed, "Seed of the data set; must be the same for all replicas");
        app.add_option("--seed", it.backend.seed, "Seed of the random faults");
        app.add_option("--run-log", it.runLog, "File to which a line is appended when a booking starts");
    }

    void addTimes(CLI::App& app, ProgramOptions& it)
    {
        option(app, "--announce-ms", it.announcePeriod, "Announcement period");
        option(app, "--start-ms", it.startTime, "Time during which the state is announced as starting");
        option(app, "--leave-ms", it.leaveTime, "Time between SIGTERM and the end of service");
        app.add_option("--http-threads", it.httpThreads, "Threads of the HTTP library");
        app.add_option("--gate-threads", it.proxyThreads, "Threads of the connection proxies");
    }

    void addFaults(CLI::App& app, Faults& it)
    {
        option(app, "--delay-ms", it.delay, "Time added to each request");
        option(app, "--slow-fraction", it.slowFraction, "Fraction of requests that are slow");
        app.add_option("--slow-factor", it.slowFactor, "Service time multiplier of slow requests");
        option(app, "--drop-fraction", it.dropFraction, "Fraction of requests that run but are never answered");
        option(app, "--shed-fraction", it.shedFraction, "Fraction of requests that are refused");
        app.add_flag("--mute", it.mute, "Answer no requests");
        app.add_option("--crash-on", it.crashOn, "Exit if a query or booking contains this text");
        option(app, "--cold-ms", it.cold, "Time during which the server is cold after its start");
        app.add_option("--cold-factor", it.coldFactor, "Service time multiplier while the server is cold");
        app.add_flag("--draining", it.draining, "Refuse all requests");
        option(app, "--health-lag-ms", it.healthLag, "Age of the answers of /health and /load");
        app.add_flag("--mislead", it.mislead, "/health and /load always report a healthy, idle server");
    }

} // namespace

std::optional<ProgramOptions> parseCommandLine(int argc, char** argv, int& exitCode)
{
    ProgramOptions it;
    CLI::App app("A backend server for tests. See docs/BACKEND-PROTOCOL.md.", "standin-backend");
    addPlacement(app, it);
    addLimits(app, it);
    addData(app, it);
    addTimes(app, it);
    addFaults(app, it.backend.faults);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        exitCode = app.exit(e);
        return std::nullopt;
    }
    if (it.versions.empty())
        it.versions.emplace_back("1");
    return it;
}

} // namespace StandIn
