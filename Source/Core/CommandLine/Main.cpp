#include "CommandLine/Commands.h"
#include "CommandLine/LoadCommand.h"
#include "Observe/Log.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <cstdlib>
#include <iostream>

using namespace CommandLine;

namespace {

struct Arguments {
    std::vector<std::string> servers { "127.0.0.1:8000" };
    std::string output { "text" };
    double timeoutMs { 10'000 };
    std::string file;
    std::vector<std::string> files;
    std::string kind;
    std::string name;
    std::string changeId;
    std::string subject;
    uint64_t revision { 0 };
    size_t limit { 100 };
    bool undo { false };
    ApplyOptions apply;
    double waitMs { 15'000 };
    QueryOptions query;
    double deadlineMs { 0 };
    LoadArguments load;
};

Remote remoteOf(const Arguments& args)
{
    Remote remote;
    for (const std::string& server : args.servers)
        remote.servers.emplace_back(server);
    remote.timeout = Common::Milliseconds(args.timeoutMs);
    return remote;
}

OutputFormat outputFormatOf(const Arguments& args)
{
    return args.output == "json" ? OutputFormat::Json : OutputFormat::Text;
}

void addRemoteOptions(CLI::App& command, Arguments& args)
{
    command.add_option("--server", args.servers, "HTTP address IP:PORT of an instance; may be given several times")
        ->envname("CORIANDERLOCK_SERVER")
        ->delimiter(',');
    command.add_option("--output", args.output, "text or json")->check(CLI::IsMember({ "text", "json" }));
    command.add_option("--timeout-ms", args.timeoutMs, "timeout of each request")->check(CLI::Range(1.0, 600'000.0));
}

void addLocalCommands(CLI::App& app, Arguments& args, ExitCode& code)
{
    auto run = app.add_subcommand("run", "Run an instance with the roles of its settings until SIGTERM");
    run->add_option("--config", args.file, "settings file")->required();
    run->callback([&] { code = runDaemon(args.file); });
    auto checkCommand = app.add_subcommand("check", "Validate a settings file or resource file");
    checkCommand->add_option("FILE", args.file)->required();
    checkCommand->callback([&] { code = check(args.file); });
    auto explainCommand = app.add_subcommand("explain", "Explain the outcome of a request from log files");
    explainCommand->add_option("REQUEST-ID", args.name)->required();
    explainCommand->add_option("FILE", args.files, "log files; standard input if absent");
    explainCommand->callback([&] { code = explain(args.name, args.files); });
}

void addResourceCommands(CLI::App& app, Arguments& args, ExitCode& code)
{
    auto applyCommand = app.add_subcommand("apply", "Create or replace the resources in a file");
    applyCommand->add_option("FILE", args.apply.file)->required();
    applyCommand->add_option("--change-id", args.apply.changeId, "id of this change, for a resend");
    applyCommand->add_flag("--wait", args.apply.wait, "wait until the change is in force");
    applyCommand->add_option("--wait-ms", args.waitMs, "timeout of --wait");
    addRemoteOptions(*applyCommand, args);
    applyCommand->callback([&] {
        args.apply.waitTimeout = Common::Milliseconds(args.waitMs);
        code = apply(remoteOf(args), args.apply, outputFormatOf(args));
    });
    auto getCommand = app.add_subcommand("get", "Show the resources of a kind, or one of them");
    getCommand->add_option("KIND", args.kind)->required();
    getCommand->add_option("NAME", args.name);
    addRemoteOptions(*getCommand, args);
    getCommand->callback([&] { code = get(remoteOf(args), args.kind, args.name, outputFormatOf(args)); });
    auto deleteCommand = app.add_subcommand("delete", "Delete a resource");
    deleteCommand->add_option("KIND", args.kind)->required();
    deleteCommand->add_option("NAME", args.name)->required();
    deleteCommand->add_option("--change-id", args.changeId, "id of this change, for a resend");
    addRemoteOptions(*deleteCommand, args);
    deleteCommand->callback(
        [&] { code = remove(remoteOf(args), args.kind, args.name, args.changeId, outputFormatOf(args)); });
}

void addOperatorCommands(CLI::App& app, Arguments& args, ExitCode& code)
{
    auto statusCommand
        = app.add_subcommand("status", "Show whether a revision is in force, and which instances lack it");
    statusCommand->add_option("--revision", args.revision, "the latest revision if absent");
    addRemoteOptions(*statusCommand, args);
    statusCommand->callback(
        [&] { code = status(remoteOf(args), Common::Revision(args.revision), outputFormatOf(args)); });
    auto queryCommand = app.add_subcommand("query", "Send a lookup query");
    queryCommand->add_option("ROUTE", args.query.route)->required();
    queryCommand->add_option("TEXT", args.query.text, "alternatives separated by |")->required();
    queryCommand->add_option("--deadline-ms", args.deadlineMs, "a deadline shorter than the default of the route");
    addRemoteOptions(*queryCommand, args);
    queryCommand->callback([&] {
        args.query.deadline = Common::Milliseconds(args.deadlineMs);
        code = query(remoteOf(args), args.query, outputFormatOf(args));
    });
    auto drainCommand = app.add_subcommand("drain", "Stop sending new work to an instance");
    drainCommand->add_option("INSTANCE", args.name)->required();
    drainCommand->add_flag("--undo", args.undo, "resume sending work to the instance");
    addRemoteOptions(*drainCommand, args);
    drainCommand->callback([&] { code = drain(remoteOf(args), args.name, args.undo, outputFormatOf(args)); });
    auto timelineCommand = app.add_subcommand("timeline", "Show the events of all processes in causal order");
    timelineCommand->add_option("--subject", args.subject, "request id, change id, server or revision");
    timelineCommand->add_option("--limit", args.limit, "maximum number of events, the latest ones");
    addRemoteOptions(*timelineCommand, args);
    timelineCommand->callback([&] { code = timeline(remoteOf(args), args.subject, args.limit, outputFormatOf(args)); });
}

void addLoadCommand(CLI::App& app, Arguments& args, ExitCode& code)
{
    LoadArguments& it = args.load;
    auto command = app.add_subcommand("load", "Send requests at a fixed mean rate and report latency and coverage");
    command->add_option("ROUTE", it.route)->required();
    command->add_option("--rate", it.ratePerSecond, "mean number of requests per second")
        ->check(CLI::Range(0.01, 100'000.0));
    command->add_option("--duration-ms", it.durationMs)->check(CLI::Range(1.0, 86'400'000.0));
    command->add_option("--seed", it.seed, "seed of the arrival times and the choice of queries");
    command->add_option(
        "--q", it.queries, "text of a query or booking; one of several is drawn at random for each request");
    command->add_option("--deadline-ms", it.deadlineMs, "deadline sent with each query; 0: the default of the route");
    command->add_option("--mode", it.mode, "query or booking")->check(CLI::IsMember({ "query", "booking" }));
    command->add_option("--resends", it.resends, "maximum number of resends of a booking after a lost answer")
        ->check(CLI::Range(0, 100));
    addRemoteOptions(*command, args);
    command->callback([&] { code = load(remoteOf(args), args.load, outputFormatOf(args)); });
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("corianderlock: a query tier over many shards");
    app.require_subcommand(1);
    Arguments args;
    ExitCode code = ExitCode::Success;
    addLocalCommands(app, args, code);
    addResourceCommands(app, args, code);
    addOperatorCommands(app, args, code);
    addLoadCommand(app, args, code);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        int parsed = app.exit(e);
        return parsed ? static_cast<int>(ExitCode::InvalidInput) : parsed;
    }
    int exitCode = Observe::finishLog(static_cast<int>(code));
    std::cout.flush();
    std::fflush(nullptr);
    // Skips the destructors of static objects: those of log4cxx can crash while a thread ends.
    std::_Exit(exitCode);
}
