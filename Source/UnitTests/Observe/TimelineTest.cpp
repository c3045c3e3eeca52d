#include "Observe/Timeline.h"

#include "Common/Random.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <thread>

using namespace Observe;

namespace {

Common::InstanceId instanceId(size_t i) { return Common::InstanceId("entry-" + std::to_string(i)); }

std::map<std::string, size_t> positionsByDetail(const std::vector<TimelineEvent>& events)
{
    std::map<std::string, size_t> positions;
    for (size_t i = 0; i < events.size(); ++i)
        positions[events[i].detail] = i;
    return positions;
}

} // namespace

// Three processes with random wall clocks exchange random messages. An order by wall clock would put effects before
// their causes.
TEST(Timeline, MergeOrdersCausesFirstWithWrongClocks)
{
    constexpr size_t processes = 3;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Common::Random random(seed);
        std::vector<std::unique_ptr<Timeline>> timelines;
        for (size_t i = 0; i < processes; ++i)
            timelines.push_back(std::make_unique<Timeline>(instanceId(i), Common::Incarnation(1)));
        std::vector<std::pair<std::string, std::string>> causes;
        std::vector<std::string> last(processes);
        for (int n = 0; n < 100; ++n) {
            size_t from = random.below(processes);
            size_t to = random.below(processes);
            std::string sent = "s" + std::to_string(n);
            std::string received = "r" + std::to_string(n);
            timelines[from]->record(EventKind::SubRequestSent, "q", sent);
            LogicalTime time = timelines[from]->stamp();
            timelines[to]->observe(time);
            timelines[to]->record(EventKind::QueryAnswered, "q", received);
            if (!last[from].empty())
                causes.emplace_back(last[from], sent);
            causes.emplace_back(sent, received);
            last[from] = sent;
            last[to] = received;
        }
        std::vector<std::vector<TimelineEvent>> lists;
        for (auto& timeline : timelines) {
            lists.push_back(timeline->recent("", 1'000));
            double skew = static_cast<double>(random.below(1'000'000)) - 500'000;
            for (TimelineEvent& event : lists.back())
                event.wallClock += Common::Milliseconds(skew);
        }
        lists.push_back(lists.front()); // A duplicate list.
        auto merged = mergeTimelines(lists);
        ASSERT_EQ(merged.size(), 200u);
        auto positions = positionsByDetail(merged);
        for (const auto& [cause, effect] : causes)
            ASSERT_LT(positions[cause], positions[effect]) << "seed " << seed << ": " << cause << " before " << effect;
    }
}

// Many events about requests must not evict the events about state.
TEST(Timeline, KeepsTheLatestEventsOfASubjectWithinTheCapacity)
{
    constexpr size_t capacity = 1'600;
    Timeline timeline(instanceId(0), Common::Incarnation(7), capacity);
    timeline.record(EventKind::RevisionApplied, "12", "first");
    for (int i = 0; i < 10'000; ++i)
        timeline.record(EventKind::QueryAdmitted, "q" + std::to_string(i), "");
    timeline.record(EventKind::RevisionInForce, "12", "second");
    EXPECT_LE(timeline.recent("", 100'000).size(), capacity);
    auto events = timeline.recent("12", 10);
    ASSERT_EQ(events.size(), 2u);
    EXPECT_EQ(events[0].detail, "first");
    EXPECT_EQ(events[1].kind, EventKind::RevisionInForce);
    EXPECT_EQ(events[1].incarnation, Common::Incarnation(7));
    EXPECT_LT(events[0].time, events[1].time);
    EXPECT_EQ(timeline.recent("12", 1)[0].detail, "second");
    EXPECT_STREQ(eventKindName(EventKind::ConnectionsReplaced), "connections-replaced");
}

// Two events with the same sequence would be merged into one.
TEST(Timeline, SequencesAreUniqueAcrossThreads)
{
    constexpr int threadCount = 4;
    constexpr int rounds = 1'000;
    Timeline timeline(instanceId(0), Common::Incarnation(1), 1'000'000);
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int t = 0; t < threadCount; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < rounds; ++i)
                timeline.record(EventKind::SubRequestSent, std::to_string(i));
        });
    }
    for (auto& thread : threads)
        thread.join();
    EXPECT_EQ(mergeTimelines({ timeline.recent("", 1'000'000) }).size(), static_cast<size_t>(threadCount * rounds));
}
