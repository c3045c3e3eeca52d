#include "Limits/WindowRetryBudget.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using Common::TimePoint;
using Limits::RetryBudgetRule;
using Limits::WindowRetryBudget;

namespace {

const RetryBudgetRule rule { Common::Ratio(0.2), 56, Milliseconds(10'000) };

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

} // namespace

// All instances use up their budgets: no window of time may hold more retries than the rule allows over all instances.
TEST(WindowRetryBudget, HoldsInEachWindowOverAllInstances)
{
    constexpr size_t instances = 8;
    constexpr int step = 20;
    constexpr int end = 60'000;
    std::vector<WindowRetryBudget> budgets(instances);
    std::vector<int> firsts;
    std::vector<int> retries;
    for (int ms = 0; ms < end; ms += step) {
        int first = 0;
        int retried = 0;
        for (size_t i = 0; i < instances; ++i) {
            if ((static_cast<size_t>(ms / step) + i) % 4 == 0) {
                Limits::countFirstSend(budgets[i], rule, at(ms));
                ++first;
            }
            while (Limits::tryTakeRetry(budgets[i], rule, instances, 1, at(ms)))
                ++retried;
        }
        firsts.push_back(first);
        retries.push_back(retried);
    }
    constexpr int window = 10'000 / step;
    for (size_t from = 0; from + window <= firsts.size(); ++from) {
        int first = 0;
        int retried = 0;
        for (size_t i = from; i < from + window; ++i) {
            first += firsts[i];
            retried += retries[i];
        }
        ASSERT_LE(retried, 0.2 * first + 56) << "from " << from * step << " ms";
    }
}

TEST(WindowRetryBudget, GivesASingleInstanceTheWholeMinimum)
{
    WindowRetryBudget budget;
    int taken = 0;
    while (Limits::tryTakeRetry(budget, rule, 1, 1, at(0)))
        ++taken;
    EXPECT_GT(taken, 40);
    EXPECT_LE(taken, 56);
    EXPECT_TRUE(Limits::tryTakeRetry(budget, rule, 1, 1, at(20'000)));
}

TEST(WindowRetryBudget, ReservesAPartForRetriesOverHedges)
{
    WindowRetryBudget budget;
    int taken = 0;
    while (Limits::tryTakeRetry(budget, rule, 1, 0.5, at(0)))
        ++taken;
    EXPECT_LE(taken, 28);
    EXPECT_TRUE(Limits::tryTakeRetry(budget, rule, 1, 1, at(0)));
}
