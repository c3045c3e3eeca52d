#include "Common/Random.h"
#include "Limits/ConnectionBudget.h"
#include "Limits/TokenRetryBudget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using Common::Connections;
using Common::Milliseconds;
using Common::TimePoint;

TEST(TokenRetryBudget, NeverExceedsItsRatio)
{
    Common::Random random(3);
    Limits::TokenRetryBudget budget;
    for (int i = 0; i < 100'000; ++i) {
        if (random.chance(0.5))
            Limits::countFirstSend(budget);
        else if (Limits::tryTakeRetry(budget) && random.chance(0.1))
            Limits::returnRetry(budget);
        ASSERT_LE((budget.retries - 20) * 20, budget.firstSends);
    }
    EXPECT_GT(budget.retries * 20, budget.firstSends * 99 / 100);
}

TEST(TokenRetryBudget, StartsWithTheInitialRetries)
{
    Limits::TokenRetryBudget budget;
    int64_t n = 0;
    while (Limits::tryTakeRetry(budget))
        ++n;
    EXPECT_EQ(n, 20);
}

TEST(TokenRetryBudget, SavesRetriesUpToTheMaximum)
{
    Limits::TokenRetryBudget budget;
    for (int i = 0; i < 100'000; ++i)
        Limits::countFirstSend(budget);
    int64_t n = 0;
    while (Limits::tryTakeRetry(budget))
        ++n;
    EXPECT_EQ(n, Limits::maximumSavedRetries);
}

TEST(ConnectionBudget, SharesAddUpToTheLimit)
{
    for (int64_t limit : { 1, 25, 40, 100 })
        for (size_t n : { 1, 2, 9, 30 }) {
            Connections sum;
            for (size_t i = 0; i < n; ++i)
                sum += Limits::connectionShare(Connections(limit), n, i);
            EXPECT_EQ(sum, Connections(limit));
        }
}

TEST(ConnectionBudget, SumStaysUnderTheLimitWhileInstancesJoinAndLeave)
{
    constexpr size_t instances = 12;
    constexpr Connections limit { 25 };
    constexpr double spread = 4000; // Milliseconds until the last instance has learned of a change.
    Common::Random random(17);
    for (int run = 0; run < 200; ++run) {
        std::vector<Limits::ConnectionBudget> budgets(instances);
        struct Notice {
            TimePoint at;
            size_t view, instance, count, index;
        };
        std::vector<Notice> notices;
        for (size_t view = 0; view < 8; ++view) {
            size_t count = 1 + random.below(instances);
            TimePoint at(Milliseconds(static_cast<double>(view) * 3000));
            // An instance that leaves closes its connections before the others learn of it, so its notice comes at
            // once.
            for (size_t i = 0; i < instances; ++i)
                notices.push_back({ i < count ? at + Milliseconds(random.unit() * spread) : at, view, i, count, i });
        }
        std::stable_sort(notices.begin(), notices.end(), [](auto& a, auto& b) { return a.at < b.at; });
        std::vector<size_t> newest(instances, 0);
        for (const Notice& notice : notices) {
            if (notice.view < newest[notice.instance])
                continue;
            newest[notice.instance] = notice.view;
            Limits::setShare(
                budgets[notice.instance], Limits::connectionShare(limit, notice.count, notice.index), notice.at);
            Connections sum;
            for (const auto& budget : budgets)
                sum += Limits::allowed(budget, notice.at);
            ASSERT_LE(sum, limit) << "run " << run;
        }
        TimePoint settled(Milliseconds(100'000));
        Connections sum;
        for (const auto& budget : budgets)
            sum += Limits::allowed(budget, settled);
        EXPECT_EQ(sum, limit);
    }
}

TEST(ConnectionBudget, OwnersChangeOnlyForTheInstanceThatLeft)
{
    std::vector<Common::InstanceId> nine;
    nine.reserve(9);
    for (int i = 0; i < 9; ++i)
        nine.emplace_back("entry-" + std::to_string(i));
    std::vector<Common::InstanceId> eight(nine.begin(), nine.end() - 1);
    for (int i = 0; i < 200; ++i) {
        Common::BackendServerId server("leaf-" + std::to_string(i));
        auto before = Limits::owners(server, nine, 3);
        auto after = Limits::owners(server, eight, 3);
        ASSERT_EQ(before.size(), 3u);
        for (const auto& owner : before)
            EXPECT_TRUE(owner == nine.back() || std::find(after.begin(), after.end(), owner) != after.end());
    }
}
