#include "StandIn/Backend.h"
#include "StandIn/DataSet.h"
#include "StandIn/Encoding.h"
#include "StandIn/Program.h"

#include <gtest/gtest.h>

#include <future>
#include <map>
#include <set>

namespace {

using Common::Milliseconds;
using StandIn::WorkStatus;

constexpr std::chrono::seconds longWait { 30 };
constexpr Milliseconds veryLong { 600'000 };

class BackendTest : public testing::Test {
protected:
    BackendTest()
        : m_data(StandIn::makeDataSet(2000, 1))
        , m_timers(1)
        , m_runLog(std::move(StandIn::RunLog::open("").value()))
    {
        m_options.replicas = { StandIn::parseReplicaSet("7:0,1/4", 1).value() };
        m_options.searchTime = Milliseconds(0);
    }

    std::future<StandIn::SearchResult> search(StandIn::Backend& backend, const StandIn::SearchRequest& request)
    {
        auto promise = std::make_shared<std::promise<StandIn::SearchResult>>();
        auto future = promise->get_future();
        backend.search(request, [promise](StandIn::SearchResult it) { promise->set_value(std::move(it)); });
        return future;
    }

    static StandIn::SearchRequest request(const std::string& query, uint32_t shard, uint64_t version = 7)
    {
        StandIn::SearchRequest it;
        it.query = StandIn::CallerQueryId(query);
        it.indexVersion = Common::IndexVersion(version);
        it.shard = Common::ShardId(shard);
        it.limit = 100'000;
        return it;
    }

    StandIn::BackendOptions m_options;
    StandIn::DataSet m_data;
    Common::Timers m_timers;
    std::unique_ptr<StandIn::RunLog> m_runLog;
};

} // namespace

TEST_F(BackendTest, ShardsMakeUpTheWholeDataSet)
{
    std::set<std::string> keys;
    for (uint32_t shard = 0; shard < 7; ++shard) {
        const auto range = StandIn::shardRange(Common::ShardId(shard), 7);
        const auto answer
            = StandIn::findRecords(m_data, Common::IndexVersion(1), Common::ShardId(shard), range, "", 100'000);
        for (const auto& record : answer.results)
            EXPECT_TRUE(keys.insert(record.key).second);
    }
    EXPECT_EQ(keys.size(), m_data.records.size());
}

TEST_F(BackendTest, EachShardHasItsReplicas)
{
    const auto all = StandIn::parseReplicaSet("7/10", 1).value();
    std::map<Common::ShardId, int> holders;
    for (uint32_t i = 0; i < 6; ++i) {
        for (const auto& set : StandIn::spreadShards({ all }, i, 6, 3)) {
            for (const auto shard : set.shards)
                ++holders[shard];
        }
    }
    EXPECT_EQ(holders.size(), 10U);
    for (const auto& [shard, n] : holders)
        EXPECT_EQ(n, 3) << shard;
    EXPECT_FALSE(StandIn::parseReplicaSet("7:4/4", 1));
    EXPECT_FALSE(StandIn::parseReplicaSet("x", 1));
    EXPECT_FALSE(StandIn::parseReplicaSet("7/0", 1));
}

TEST_F(BackendTest, AnswersOnlyForWhatItHolds)
{
    StandIn::Backend backend(m_options, m_data, m_timers, *m_runLog);
    auto result = search(backend, request("q", 1)).get();
    ASSERT_EQ(result.status, WorkStatus::Done);
    EXPECT_EQ(result.answer.range, StandIn::shardRange(Common::ShardId(1), 4));
    EXPECT_FALSE(result.answer.results.empty());
    EXPECT_EQ(search(backend, request("q", 3)).get().status, WorkStatus::WrongShard);
    EXPECT_EQ(search(backend, request("q", 1, 8)).get().status, WorkStatus::WrongVersion);
    auto elsewhere = request("q", 1);
    elsewhere.range = StandIn::shardRange(Common::ShardId(3), 4);
    EXPECT_EQ(search(backend, elsewhere).get().status, WorkStatus::WrongShard);
}

TEST_F(BackendTest, SlotsQueueCancellationAndDeadline)
{
    m_options.slots = Common::Slots(1);
    m_options.queueLimit = 1;
    m_options.searchTime = veryLong;
    StandIn::Backend backend(m_options, m_data, m_timers, *m_runLog);
    auto running = search(backend, request("running", 0));
    auto waitingRequest = request("waiting", 0);
    waitingRequest.deadline = Milliseconds(1);
    auto waiting = search(backend, waitingRequest);
    EXPECT_EQ(waiting.get().status, WorkStatus::DeadlinePassed);
    // cancel() removes the search from the queue before it returns.
    for (const char* name : { "second-waiting", "third-waiting" }) {
        auto next = search(backend, request(name, 0));
        EXPECT_TRUE(backend.cancel(StandIn::CallerQueryId(name), Common::ShardId(0)));
        EXPECT_EQ(next.get().status, WorkStatus::Cancelled);
    }
    EXPECT_TRUE(backend.cancel(StandIn::CallerQueryId("running"), Common::ShardId(0)));
    EXPECT_FALSE(backend.cancel(StandIn::CallerQueryId("running"), Common::ShardId(0)));
    EXPECT_EQ(running.get().status, WorkStatus::Cancelled);
    // The slot and the queue are free again.
    auto first = search(backend, request("first", 0));
    auto second = search(backend, request("second", 0));
    EXPECT_EQ(search(backend, request("third", 0)).get().status, WorkStatus::NoSlots);
    EXPECT_TRUE(backend.cancel(StandIn::CallerQueryId("second"), Common::ShardId(0)));
    EXPECT_TRUE(backend.cancel(StandIn::CallerQueryId("first"), Common::ShardId(0)));
    EXPECT_EQ(backend.counters().peakRequests, 2U);
    EXPECT_EQ(backend.pending(), 0U);
}

// If the slot were released after the answer, a caller that reuses it immediately would be refused.
TEST_F(BackendTest, ASlotIsFreeBeforeItsAnswerGoesOut)
{
    m_options.slots = Common::Slots(1);
    StandIn::Backend backend(m_options, m_data, m_timers, *m_runLog);
    std::promise<WorkStatus> second;
    backend.search(request("first", 0), [&](const StandIn::SearchResult&) {
        backend.search(
            request("second", 0), [&](const StandIn::SearchResult& result) { second.set_value(result.status); });
    });
    EXPECT_EQ(second.get_future().get(), WorkStatus::Done);
}

TEST_F(BackendTest, FaultsApplyAndCanBeTakenBack)
{
    bool hasCrashed = false;
    m_options.crash = [&] { hasCrashed = true; };
    m_options.faults.crashOn = "boom";
    StandIn::Backend backend(m_options, m_data, m_timers, *m_runLog);
    auto crashing = request("q", 0);
    crashing.text = "a boom b";
    search(backend, crashing).get();
    EXPECT_TRUE(hasCrashed);
    StandIn::Faults faults;
    faults.shedFraction = Common::Ratio(1);
    backend.setFaults(faults);
    EXPECT_EQ(search(backend, request("q", 0)).get().status, WorkStatus::Shedding);
    faults.draining = true;
    backend.setFaults(faults);
    EXPECT_EQ(search(backend, request("q", 0)).get().status, WorkStatus::Draining);
    faults = {};
    faults.dropFraction = Common::Ratio(1);
    backend.setFaults(faults);
    EXPECT_EQ(search(backend, request("q", 0)).get().status, WorkStatus::ResponseDropped);
    backend.setFaults({});
    EXPECT_EQ(search(backend, request("q", 0)).get().status, WorkStatus::Done);
}

TEST(StandInFaults, FollowTheSeedAndTheirShare)
{
    StandIn::Faults faults;
    faults.slowFraction = Common::Ratio(0.01);
    faults.slowFactor = 50;
    Common::Random random(3);
    int slow = 0;
    constexpr int total = 100'000;
    for (int i = 0; i < total; ++i)
        slow += StandIn::decideFaults(faults, Milliseconds(2), "", veryLong, random).duration == Milliseconds(100);
    EXPECT_NEAR(slow, total * 0.01, 160); // Five standard deviations.
    faults.cold = Milliseconds(1000);
    faults.slowFraction = Common::Ratio(0);
    EXPECT_EQ(StandIn::decideFaults(faults, Milliseconds(2), "", Milliseconds(5), random).duration, Milliseconds(20));
}
