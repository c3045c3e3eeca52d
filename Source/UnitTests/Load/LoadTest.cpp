#include "Load/Generator.h"
#include "Load/Report.h"
#include "Load/Schedule.h"

#include <gtest/gtest.h>

#include <mutex>
#include <set>

namespace {

using Common::Milliseconds;

Load::Options loadOptions()
{
    Load::Options options;
    options.entries
        = { Common::Address("127.0.0.1:1"), Common::Address("127.0.0.1:2"), Common::Address("127.0.0.1:3") };
    options.route = Common::RouteName("households");
    options.ratePerSecond = 1000;
    options.duration = Milliseconds(200);
    options.queries = { "a", "b" };
    return options;
}

Load::Sample doneAt(double intended, double ended, double coverage)
{
    Load::Sample sample;
    sample.intendedAt = Milliseconds(intended);
    sample.endedAt = Milliseconds(ended);
    sample.status = 200;
    sample.outcome = Load::Outcome::Done;
    sample.coverage = Common::Ratio(coverage);
    sample.complete = coverage == 1;
    return sample;
}

} // namespace

TEST(LoadSchedule, FollowsTheSeedAndTheRate)
{
    auto options = loadOptions();
    options.duration = Milliseconds(100'000);
    const auto arrivals = Load::schedule(options);
    // Expects 100,000 arrivals; five standard deviations are 1,581.
    EXPECT_NEAR(static_cast<double>(arrivals.size()), 100'000, 1'600);
    std::set<Common::RequestId> ids;
    Milliseconds last;
    double sumOfSquares = 0;
    for (const auto& arrival : arrivals) {
        const double gap = (arrival.at - last).value();
        ASSERT_GE(gap, 0);
        sumOfSquares += gap * gap;
        last = arrival.at;
        ids.insert(arrival.request);
    }
    EXPECT_EQ(ids.size(), arrivals.size());
    // Exponential gaps with a mean of 1 ms have a mean square of 2; constant gaps have 1.
    EXPECT_NEAR(sumOfSquares / static_cast<double>(arrivals.size()), 2, 0.1);
    const auto again = Load::schedule(options);
    ASSERT_EQ(again.size(), arrivals.size());
    EXPECT_EQ(again.back().at, arrivals.back().at);
    options.seed = 2;
    EXPECT_NE(Load::schedule(options).back().at, arrivals.back().at);
    options.entries.clear();
    EXPECT_TRUE(Load::schedule(options).empty());
}

TEST(LoadReport, QuantilesAreExact)
{
    std::vector<Milliseconds> times;
    for (int i = 1; i <= 1000; ++i)
        times.emplace_back(i);
    EXPECT_EQ(Load::quantile(times, 0.5), Milliseconds(500));
    EXPECT_EQ(Load::quantile(times, 0.99), Milliseconds(990));
    EXPECT_EQ(Load::quantile(times, 0.999), Milliseconds(999));
    EXPECT_EQ(Load::quantile(times, 1), Milliseconds(1000));
    EXPECT_EQ(Load::quantile({ Milliseconds(7) }, 0.5), Milliseconds(7));
    EXPECT_EQ(Load::quantile({}, 0.5), Milliseconds(0));
}

TEST(LoadReport, CountsOnlyWhatIsDone)
{
    Load::Sample refused;
    refused.status = 503;
    refused.reason = "overloaded";
    refused.outcome = Load::Outcome::NotRun;
    Load::Report report;
    report.duration = Milliseconds(1000);
    Load::addSamples(report, { doneAt(100, 110, 1), refused, doneAt(400, 430, 0.5), doneAt(120, 140, 1) });
    EXPECT_EQ(report.done, 3U);
    EXPECT_EQ(report.latency.p50, Milliseconds(20));
    EXPECT_EQ(report.latency.max, Milliseconds(30));
    EXPECT_EQ(report.longestGap, Milliseconds(290));
    EXPECT_DOUBLE_EQ(report.goodput, 3);
    EXPECT_DOUBLE_EQ(report.coverageMean.value(), 2.5 / 3);
    EXPECT_DOUBLE_EQ(report.completeShare.value(), 2.0 / 3);
    EXPECT_EQ(report.byReason.at("overloaded"), 1U);
    EXPECT_EQ(report.byStatus.at(503), 1U);
    EXPECT_NE(Load::describe(report).find("ending not-run: 1"), std::string::npos);
    EXPECT_NE(Load::toJson(report).find(R"("done":3)"), std::string::npos);
}

TEST(LoadGenerator, SaysWhatItDidNotSend)
{
    auto options = loadOptions();
    options.maximumInFlight = 5;
    std::mutex mutex;
    std::vector<std::function<void(Load::AttemptResult)>> held;
    options.timeout = Milliseconds(0);
    const auto report
        = Load::generate(options, { [&](const Load::Attempt&, std::function<void(Load::AttemptResult)> done) {
              std::lock_guard lock(mutex);
              held.push_back(std::move(done));
          } });
    EXPECT_EQ(report.sent, 5U);
    EXPECT_EQ(report.unfinished, 5U);
    EXPECT_EQ(report.notSent, report.scheduled - 5);
    for (auto& done : held)
        done({}); // Late answers must not access a destroyed run.
}

TEST(LoadGenerator, LostBookingsAreSentAgainThroughOtherEntries)
{
    auto options = loadOptions();
    options.mode = Load::Mode::Booking;
    options.maximumResends = 2;
    std::map<Common::RequestId, std::set<Common::Address>> entries;
    const auto report = Load::generate(
        options, { [&](const Load::Attempt& attempt, const std::function<void(Load::AttemptResult)>& done) {
            auto& seen = entries[attempt.request];
            seen.insert(attempt.entry);
            Load::AttemptResult result;
            if (seen.size() == 2) {
                result.status = 200;
                result.outcome = Load::Outcome::Done;
            }
            done(result);
        } });
    EXPECT_GT(report.sent, 0U);
    EXPECT_EQ(report.done, report.sent);
    EXPECT_EQ(report.resends, report.sent);
    EXPECT_EQ(report.bookings.size(), report.sent);
}
