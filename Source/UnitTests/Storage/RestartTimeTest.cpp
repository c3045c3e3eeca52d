#include "Common/Clock.h"
#include "Storage/Store.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>

using Common::Clock;
using Common::LogIndex;
using Storage::Batch;
using Storage::FolderIdentity;
using Storage::Store;

namespace {

constexpr size_t commandSize = 200; // Bytes.
constexpr uint64_t batchSize = 100; // Entries.

} // namespace

// Prints the recovery time for several log lengths, on real files.
TEST(Store, RecoveryTimeByLogLength)
{
    std::string base = testing::TempDir() + "corianderlock-restart";
    for (uint64_t length : { 1'000, 10'000, 100'000 }) {
        std::filesystem::remove_all(base);
        {
            auto store = Store::open(Storage::systemFiles(), base, FolderIdentity(7));
            ASSERT_TRUE(store) << store.error();
            for (uint64_t i = 1; i <= length;) {
                Batch batch;
                for (uint64_t n = 0; n < batchSize; ++n, ++i)
                    batch.entries.push_back({ LogIndex(i), std::string(commandSize, 'x') });
                ASSERT_TRUE(store.value()->write({ batch }));
            }
        }
        auto start = Clock::now();
        auto store = Store::open(Storage::systemFiles(), base, FolderIdentity(8));
        double ms = (Clock::now() - start).value();
        ASSERT_TRUE(store) << store.error();
        EXPECT_EQ(store.value()->identity(), FolderIdentity(7));
        EXPECT_EQ(
            Store::open(Storage::systemFiles(), base, FolderIdentity(8)).error().reason, Common::Reason::Conflict);
        EXPECT_EQ(store.value()->takeContent().entries.size(), length);
        std::printf("log of %llu entries of %zu bytes: recovered in %.1f ms\n", static_cast<unsigned long long>(length),
            commandSize, ms);
    }
    std::filesystem::remove_all(base);
}
