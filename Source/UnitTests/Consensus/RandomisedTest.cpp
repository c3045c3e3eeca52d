#include "Consensus/FakeCluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

constexpr uint64_t defaultRuns = 600;
constexpr Common::Milliseconds faultTime { 20'000 };

volatile uint64_t currentSeed = 0;

// Prints the seed of the run if an invariant aborts the program.
void printSeed(int)
{
    std::fprintf(stderr, "aborted in the run with seed %llu\n", static_cast<unsigned long long>(currentSeed));
}

uint64_t environmentNumber(const char* name, uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

// Guards against violations of safety, linearizability and convergence under random faults. CORIANDERLOCK_RUNS sets the
// number of runs, CORIANDERLOCK_SEED the first seed.
TEST(Randomised, KeepsInvariantsUnderFaults)
{
    std::signal(SIGABRT, printSeed);
    uint64_t runs = environmentNumber("CORIANDERLOCK_RUNS", defaultRuns);
    uint64_t firstSeed = environmentNumber("CORIANDERLOCK_SEED", 1);
    uint64_t steps = 0;
    uint64_t entries = 0;
    uint64_t acknowledged = 0;
    uint64_t reads = 0;
    std::map<std::string, uint64_t> faults;
    for (uint64_t seed = firstSeed; seed < firstSeed + runs && !HasFailure(); ++seed) {
        currentSeed = seed;
        FakeCluster cluster(seed, seed % 3 ? 3 : 5);
        cluster.runWithFaults(faultTime);
        cluster.checkConverged();
        for (const std::string& it : cluster.history().violations())
            ADD_FAILURE() << "seed " << seed << ": " << it;
        steps += cluster.steps();
        entries += cluster.history().last().value();
        acknowledged += cluster.history().acknowledgedCount();
        reads += cluster.history().reads();
        for (const auto& [kind, n] : cluster.faults())
            faults[kind] += n;
    }
    std::printf(
        "runs %llu from seed %llu, steps %llu, entries %llu, acknowledged commands %llu, confirmed reads %llu\n",
        static_cast<unsigned long long>(runs), static_cast<unsigned long long>(firstSeed),
        static_cast<unsigned long long>(steps), static_cast<unsigned long long>(entries),
        static_cast<unsigned long long>(acknowledged), static_cast<unsigned long long>(reads));
    for (const auto& [kind, n] : faults)
        std::printf("  %s: %llu\n", kind.c_str(), static_cast<unsigned long long>(n));
    EXPECT_GT(acknowledged, runs * 50);
    EXPECT_GT(reads, runs * 50);
}
