#include "StandIn/CommandLine.h"

#include <CLI/CLI.hpp>

namespace StandIn {

namespace {

    // CLI11 knows plain types only; what it read is handed to the field of the strong type.
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
        app.add_option("--id", it.id, "Name of the server, or the start of the names");
        options(app, "--domain", it.domains, "Failure domain; several are taken in turns");
        option(app, "--group", it.group, "Backend group");
        options(app, "--entry", it.entries, "IP:PORT to announce to; several are taken in turns");
        app.add_option("--version", it.versions, "V, V:SHARD,SHARD or V:SHARD,SHARD/SHARDCOUNT; may be repeated")
            ->delimiter('\0');
        app.add_option("--shards", it.shards, "Shards of a version that names no number");
        app.add_option("--count", it.count, "Servers in this process");
        app.add_option("--replicas", it.replicas, "Servers that hold one shard, if there are several");
        app.add_option("--first-server", it.firstServer, "Number of this process's first server among --total-servers");
        app.add_option("--total-servers", it.totalServers, "Servers of all processes over which shards are spread");
    }

    void addLimits(CLI::App& app, ProgramOptions& it)
    {
        option(app, "--slots", it.backend.slots, "Pieces of work that run at once on one server");
        app.add_option("--queue", it.backend.queueLimit, "Pieces of work that may wait for a slot");
        option(app, "--connections", it.connections, "Connections to one server; more are closed at once; 0: no limit");
        option(app, "--connect-ms", it.connectTime, "Time that a new connection takes");
        option(app, "--service-ms", it.backend.searchTime, "Time that a search takes");
        option(app, "--run-ms", it.backend.runTime, "Time that a booking takes");
        app.add_flag("--direct", it.direct, "No relay before the HTTP listener: no limits or faults of connections");
    }

    void addData(CLI::App& app, ProgramOptions& it)
    {
        app.add_option("--keys", it.keys, "Records of the data set");
        app.add_option("--data-seed", it.dataSeed, "Seed of the data set; the same for all replicas");
        app.add_option("--seed", it.backend.seed, "Seed of the faults");
        app.add_option("--run-log", it.runLog, "File that gets a line at the start of each booking");
    }

    void addTimes(CLI::App& app, ProgramOptions& it)
    {
        option(app, "--announce-ms", it.announcePeriod, "Between two announcements");
        option(app, "--start-ms", it.startTime, "Announced as starting for so long");
        option(app, "--leave-ms", it.leaveTime, "Between SIGTERM and the end of service");
        app.add_option("--http-threads", it.httpThreads, "Threads of the HTTP library");
        app.add_option("--gate-threads", it.proxyThreads, "Threads that relay connections");
    }

    void addFaults(CLI::App& app, Faults& it)
    {
        option(app, "--delay-ms", it.delay, "Added to each piece of work");
        option(app, "--slow-fraction", it.slowFraction, "Share of the work that is slow");
        app.add_option("--slow-factor", it.slowFactor, "How many times as long slow work takes");
        option(app, "--drop-fraction", it.dropFraction, "Share of the work that runs and is never answered");
        option(app, "--shed-fraction", it.shedFraction, "Share of the work that is refused");
        app.add_flag("--mute", it.mute, "Answer nothing");
        app.add_option("--crash-on", it.crashOn, "Exit when a query or booking contains this text");
        option(app, "--cold-ms", it.cold, "The server is cold for so long");
        app.add_option("--cold-factor", it.coldFactor, "How many times as long work takes while cold");
        app.add_flag("--draining", it.draining, "Refuse all work");
        option(app, "--health-lag-ms", it.healthLag, "Age of the answers of /health and /load");
        app.add_flag("--mislead", it.mislead, "/health and /load always tell of a healthy, idle server");
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
