#include "CommandLine/LoadCommand.h"

#include "Load/Generator.h"

#include <iostream>
#include <random>
#include <sstream>

using Common::Milliseconds;

namespace CommandLine {

namespace {

    // Unique for each run: a booking with an id from an earlier run would get the recorded answer and not be executed.
    std::string makeRequestIdPrefix(uint64_t seed)
    {
        std::ostringstream out;
        out << "load-" << seed << "-" << std::hex << std::random_device {}();
        return out.str();
    }

    Load::Options makeOptions(const Remote& remote, const LoadArguments& args)
    {
        Load::Options options;
        options.entries = remote.servers;
        options.route = Common::RouteName(args.route);
        options.mode = args.mode == "booking" ? Load::Mode::Booking : Load::Mode::Query;
        options.ratePerSecond = args.ratePerSecond;
        options.duration = Milliseconds(args.durationMs);
        options.seed = args.seed;
        options.queries = args.queries;
        if (args.deadlineMs > 0)
            options.deadline = Milliseconds(args.deadlineMs);
        options.timeout = remote.timeout;
        options.requestIdPrefix = makeRequestIdPrefix(args.seed);
        options.maximumResends = args.resends;
        return options;
    }

} // namespace

ExitCode load(const Remote& remote, const LoadArguments& args, OutputFormat output)
{
    Load::Options options = makeOptions(remote, args);
    Load::Report report = Load::generate(options, Load::httpTransport(options));
    std::cout << (output == OutputFormat::Json ? Load::toJson(report) + "\n" : Load::describe(report));
    return report.done == report.scheduled ? ExitCode::Success : ExitCode::Partial;
}

} // namespace CommandLine
