#include "StandIn/CommandLine.h"
#include "StandIn/Program.h"

#include <csignal>
#include <iostream>

namespace {

// Must run before any thread starts: threads inherit the mask, so only waitForStop() receives the signals.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    sigdelset(&signals, SIGPIPE);
    return signals;
}

void waitForStop(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace

int main(int argc, char** argv)
{
    int exitCode = 0;
    auto options = StandIn::parseCommandLine(argc, argv, exitCode);
    if (!options)
        return exitCode;
    const sigset_t signals = blockStopSignals();
    auto program = StandIn::Program::start(std::move(*options));
    if (!program) {
        std::cerr << "standin-backend: " << program.error() << '\n';
        return 1;
    }
    for (const auto& address : program.value()->addresses())
        std::cout << "listening " << address << '\n';
    std::cout.flush();
    waitForStop(signals);
    const bool isIdle = program.value()->leave();
    std::cout << program.value()->summary() << (isIdle ? "" : "stopped with unfinished requests\n");
    std::cout.flush();
    return isIdle ? 0 : 1;
}
