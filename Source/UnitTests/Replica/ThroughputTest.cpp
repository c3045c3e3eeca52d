#include "Common/Clock.h"
#include "Replica/TestGroup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdio>

#include <sys/resource.h>

using Common::Clock;

namespace {

constexpr size_t commandSize = 200; // Bytes.
constexpr Common::Milliseconds measurementTime { 1'000 };

double cpuMilliseconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto ms
        = [](const timeval& t) { return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3; };
    return ms(usage.ru_utime) + ms(usage.ru_stime);
}

// Keeps a constant number of proposals in flight: each completed one starts the next.
class Load {
public:
    Load(Replica::LogShard& shard, size_t inFlight)
        : m_shard(shard)
        , m_open(inFlight)
    {
        for (size_t i = 0; i < inFlight; ++i)
            proposeNext();
    }

    // Waits for the proposals in flight.
    void stop()
    {
        m_stopping = true;
        while (m_open)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    uint64_t done() const { return m_done; }
    uint64_t failed() const { return m_failed; }

private:
    void proposeNext()
    {
        m_shard.propose(std::string(commandSize, 'x'), [this](const Common::Result<std::string>& result) {
            ++(result ? m_done : m_failed);
            if (m_stopping || !result)
                --m_open;
            else
                proposeNext();
        });
    }

    Replica::LogShard& m_shard;
    std::atomic<size_t> m_open;
    std::atomic<bool> m_stopping { false };
    std::atomic<uint64_t> m_done { 0 };
    std::atomic<uint64_t> m_failed { 0 };
};

} // namespace

// Prints throughput and CPU time per command, summed over all three members, for several numbers of proposals in
// flight.
TEST(Throughput, ByProposalsInFlight)
{
    TestGroup group("throughput", true);
    for (size_t inFlight : { 1, 10, 100, 1000 }) {
        ASSERT_TRUE(group.propose("first"));
        size_t leader = *group.awaitLeader();
        double cpuBefore = cpuMilliseconds();
        auto start = Clock::now();
        Load load(group.shard(leader), inFlight);
        std::this_thread::sleep_for(Clock::toChrono(measurementTime));
        load.stop();
        double seconds = (Clock::now() - start).value() / 1e3;
        double cpuTime = cpuMilliseconds() - cpuBefore;
        auto n = static_cast<double>(load.done());
        std::printf("in flight %zu: %.0f proposals/s, %.1f us processor time a command, failed %llu\n", inFlight,
            n / seconds, cpuTime * 1e3 / n, static_cast<unsigned long long>(load.failed()));
        EXPECT_GT(load.done(), 0u);
    }
}

// Prints the time without a leader after the leader stopped without a transfer of leadership.
TEST(Throughput, TimeWithoutALeader)
{
    TestGroup group("time-without-leader", true);
    constexpr int rounds = 5;
    double longest = 0;
    double sum = 0;
    for (int i = 0; i < rounds; ++i) {
        ASSERT_TRUE(group.propose("before"));
        size_t leader = *group.awaitLeader();
        auto start = Clock::now();
        group.stop(leader);
        ASSERT_TRUE(group.propose("after"));
        double ms = (Clock::now() - start).value();
        longest = std::max(longest, ms);
        sum += ms;
        group.start(leader);
    }
    std::printf("from the loss of the leader to the next acknowledged proposal: %.0f ms mean, %.0f ms at most, of %d\n",
        sum / rounds, longest, rounds);
}
