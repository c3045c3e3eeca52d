#include "Common/ShardedMap.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

// Updates are lost if two threads modify the same value without its shard's lock.
TEST(ShardedMap, LosesNoConcurrentUpdates)
{
    constexpr int threadCount = 4;
    constexpr int rounds = 20'000;
    constexpr int keys = 97;
    Common::ShardedMap<int, int> map;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int t = 0; t < threadCount; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < rounds; ++i)
                map.withValue(i % keys, [](int& n) { ++n; });
        });
    }
    for (auto& thread : threads)
        thread.join();
    int sum = 0;
    map.forEach([&](int, int& n) { sum += n; });
    EXPECT_EQ(sum, threadCount * rounds);
    EXPECT_EQ(map.size(), static_cast<size_t>(keys));
    EXPECT_TRUE(map.take(3).has_value());
    EXPECT_FALSE(map.ifPresent(3, [](int&) {}));
}
