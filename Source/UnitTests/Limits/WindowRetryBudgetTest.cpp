#include "Limits/WindowRetryBudget.h"

#include "Limits/SenderHistory.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using Common::TimePoint;
using Limits::RetryBudgetRule;
using Limits::WindowRetryBudget;

namespace {

const RetryBudgetRule rule { Common::Ratio(0.2), 56, Milliseconds(10'000) };

constexpr int step = 20;
constexpr size_t steps = 60'000 / step;
constexpr size_t windowSteps = 10'000 / step;

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

struct Instance {
    WindowRetryBudget budget;
    Limits::SenderHistory senders;
};

struct Sent {
    int first { 0 };
    int retries { 0 };
};

void expectWithinRule(const std::vector<Sent>& sent)
{
    for (size_t from = 0; from + windowSteps <= sent.size(); ++from) {
        int first = 0;
        int retries = 0;
        for (size_t i = from; i < from + windowSteps; ++i) {
            first += sent[i].first;
            retries += sent[i].retries;
        }
        ASSERT_LE(retries, 0.2 * first + 56) << "from " << from * step << " ms";
    }
}

// The instance sends what it may, with this many senders in its view.
void press(Instance& instance, size_t senders, bool hasFirstSend, TimePoint now, Sent& sent)
{
    Limits::recordSenders(instance.senders, senders, rule.window, now);
    if (hasFirstSend) {
        Limits::countFirstSend(instance.budget, rule, now);
        ++sent.first;
    }
    auto most = Limits::mostSenders(instance.senders, rule.window, now);
    while (Limits::tryTakeRetry(instance.budget, rule, most, 1, now))
        ++sent.retries;
}

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

TEST(WindowRetryBudget, RestartsDoNotSpendTheMinimumTwice)
{
    std::vector<Instance> instances(8);
    std::vector<Sent> sent(steps);
    for (size_t i = 0; i < steps; ++i) {
        size_t ms = i * step;
        if (ms >= 20'000 && ms % 1'500 == 0)
            instances[ms / 1'500 % instances.size()] = {};
        for (size_t n = 0; n < instances.size(); ++n)
            press(instances[n], instances.size(), (i + n) % 40 == 0, at(static_cast<double>(ms)), sent[i]);
    }
    expectWithinRule(sent);
}

TEST(WindowRetryBudget, TheRemainingInstancesDoNotSpendTheLostOnesPartAtOnce)
{
    std::vector<Instance> instances(8);
    std::vector<Sent> sent(steps);
    for (size_t i = 0; i < steps; ++i) {
        size_t ms = i * step;
        size_t alive = ms < 20'000 ? instances.size() : 3;
        for (size_t n = 0; n < alive; ++n)
            press(instances[n], alive, (i + n) % 40 == 0, at(static_cast<double>(ms)), sent[i]);
    }
    expectWithinRule(sent);
    int last = 0;
    for (size_t i = steps - windowSteps; i < steps; ++i)
        last += sent[i].retries;
    EXPECT_GT(last, 30) << "after a window they have the whole minimum";
}

TEST(WindowRetryBudget, ChangesOfTheOwnerDoNotSpendTheMinimumTwice)
{
    std::vector<Instance> instances(8);
    std::vector<Sent> sent(steps);
    for (size_t i = 0; i < steps; ++i) {
        size_t ms = i * step;
        size_t owner = ms / 3'000 % instances.size();
        for (size_t n = 0; n < instances.size(); ++n)
            press(instances[n], n == owner ? 2 : 80, (i + n) % 40 == 0, at(static_cast<double>(ms)), sent[i]);
    }
    expectWithinRule(sent);
}

TEST(SenderHistory, KnowsTheMostSendersOfAWindowOnceItCoversIt)
{
    Limits::SenderHistory history;
    EXPECT_FALSE(Limits::mostSenders(history, rule.window, at(0)));
    Limits::recordSenders(history, 8, rule.window, at(0));
    EXPECT_EQ(Limits::mostSenders(history, rule.window, at(9'999)), 32u) << "an earlier incarnation may have sent";
    EXPECT_EQ(Limits::mostSenders(history, rule.window, at(10'000)), 8u);
    Limits::recordSenders(history, 3, rule.window, at(12'000));
    EXPECT_EQ(Limits::mostSenders(history, rule.window, at(21'999)), 8u);
    EXPECT_EQ(Limits::mostSenders(history, rule.window, at(22'000)), 3u);
}
