#include "Storage/Store.h"
#include "Storage/FakeFiles.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

using Common::LogIndex;
using Common::Reason;
using Common::Result;
using Storage::Batch;
using Storage::Content;
using Storage::FolderIdentity;
using Storage::Store;

namespace {

const std::string folder = "data";
const FolderIdentity identity(42);

Result<std::unique_ptr<Store>> open(FakeFiles& files, size_t segmentSize = 4000)
{
    return Store::open(files.functions(), folder, identity, { segmentSize });
}

Batch batchOf(uint64_t index, const std::string& bytes)
{
    Batch batch;
    batch.entries.push_back({ LogIndex(index), bytes });
    return batch;
}

// The expected content of a folder.
struct Model {
    std::string hardState;
    LogIndex snapshotIndex;
    std::string snapshotData;
    std::map<uint64_t, std::string> entries; // Above the snapshot.

    friend bool operator==(const Model&, const Model&) = default;
};

Model modelOf(const Content& content)
{
    Model model { content.hardState, {}, {}, {} };
    if (content.snapshot) {
        model.snapshotIndex = content.snapshot->index;
        model.snapshotData = content.snapshot->data;
    }
    for (const Storage::LogEntry& entry : content.entries) {
        if (entry.index > model.snapshotIndex)
            model.entries[entry.index.value()] = entry.bytes;
    }
    return model;
}

// The contents after each step of the batch. A crash may leave any of them.
std::vector<Model> stagesOf(Model model, const Batch& batch)
{
    std::vector<Model> stages { model };
    model.hardState = batch.hardState.value_or(model.hardState);
    if (batch.truncateFrom)
        model.entries.erase(model.entries.lower_bound(batch.truncateFrom->value()), model.entries.end());
    if (batch.snapshot) {
        stages.push_back(model);
        model.snapshotIndex = batch.snapshot->index;
        model.snapshotData = batch.snapshot->data;
        model.entries.erase(model.entries.begin(), model.entries.upper_bound(batch.snapshot->index.value()));
        stages.push_back(model);
    }
    for (const Storage::LogEntry& entry : batch.entries)
        model.entries[entry.index.value()] = entry.bytes;
    stages.push_back(model);
    return stages;
}

uint64_t lastOf(const Model& model)
{
    return model.entries.empty() ? model.snapshotIndex.value() : model.entries.rbegin()->first;
}

Batch randomBatch(const Model& model, Common::Random& random)
{
    Batch batch;
    uint64_t last = lastOf(model);
    uint64_t first = model.snapshotIndex.value();
    if (random.chance(0.2))
        batch.hardState = "hard-" + std::to_string(random.below(1000));
    if (last > first && random.chance(0.1)) {
        last = first + random.below(last - first);
        batch.truncateFrom = LogIndex(last + 1);
    }
    if (random.chance(0.05)) {
        // Either a local snapshot, or one from a leader that is ahead.
        uint64_t index = random.chance(0.7) ? first + random.below(last - first + 1) : last + 1 + random.below(9);
        if (index > first)
            batch.snapshot = Storage::Snapshot { LogIndex(index), "meta", "state-" + std::to_string(index) };
        last = std::max(last, index);
    }
    for (uint64_t n = random.below(4); n; --n)
        batch.entries.push_back({ LogIndex(++last), std::string(random.below(200), static_cast<char>('a' + n)) });
    return batch;
}

} // namespace

TEST(Store, KeepsAcknowledgedWritesThroughCrashes)
{
    constexpr uint64_t runs = 300;
    uint64_t crashes = 0;
    uint64_t writes = 0;
    uint64_t torn = 0;
    for (uint64_t seed = 1; seed <= runs; ++seed) {
        Common::Random random(seed);
        FakeFiles files;
        std::vector<Model> allowed { Model {} };
        for (int round = 0; round < 8; ++round) {
            // A power failure may also interrupt recovery.
            while (random.chance(0.5)) {
                files.failAfter(random.below(20));
                ASSERT_NE(
                    open(files).has_value() ? Reason::StorageFailed : open(files).error().reason, Reason::Corrupt);
                files.crash(random);
            }
            auto store = open(files);
            ASSERT_TRUE(store) << "seed " << seed << ": " << store.error();
            Content content = store.value()->takeContent();
            torn += content.tornBytes > 0;
            Model model = modelOf(content);
            ASSERT_TRUE(std::find(allowed.begin(), allowed.end(), model) != allowed.end()) << "seed " << seed;
            files.failAfter(1 + random.below(120));
            while (true) {
                Batch batch = randomBatch(model, random);
                allowed = stagesOf(model, batch);
                ++writes;
                if (!store.value()->write({ batch }))
                    break;
                model = allowed.back();
            }
            EXPECT_EQ(store.value()->write({}).error().reason, Reason::StorageFailed);
            store.value().reset();
            files.crash(random);
            ++crashes;
        }
    }
    std::printf("runs %llu from seed 1, writes %llu, crashes %llu, torn tails cut %llu\n",
        static_cast<unsigned long long>(runs), static_cast<unsigned long long>(writes),
        static_cast<unsigned long long>(crashes), static_cast<unsigned long long>(torn));
    EXPECT_GT(torn, 0u);
}

TEST(Store, TruncatesATornTail)
{
    FakeFiles files;
    {
        auto store = open(files);
        ASSERT_TRUE(store.value()->write({ batchOf(1, "one") }));
    }
    files.bytes(files.lastName("log-")) += "CLB1 a block that was not written to its end";
    auto store = open(files);
    ASSERT_TRUE(store) << store.error();
    Content content = store.value()->takeContent();
    EXPECT_GT(content.tornBytes, 0u);
    ASSERT_EQ(content.entries.size(), 1u);
    ASSERT_TRUE(store.value()->write({ batchOf(2, "two") }));
    store.value().reset();
    EXPECT_EQ(open(files).value()->takeContent().entries.size(), 2u);
}

TEST(Store, ReportsFileAndOffsetOfEachDamagedByteBeforeTheLastBlock)
{
    FakeFiles files;
    size_t end = 0;
    {
        auto store = open(files);
        for (uint64_t i = 1; i <= 10; ++i) {
            end = files.bytes(files.lastName("log-")).size();
            ASSERT_TRUE(store.value()->write({ batchOf(i, "entry " + std::to_string(i)) }));
        }
    }
    std::string path = files.lastName("log-");
    for (size_t i = 0; i < end; ++i) {
        files.bytes(path)[i] ^= 0x10;
        auto store = open(files);
        ASSERT_FALSE(store) << "byte " << i;
        EXPECT_EQ(store.error().reason, Reason::Corrupt);
        EXPECT_NE(store.error().message.find(path + " at offset "), std::string::npos) << store.error();
        files.bytes(path)[i] ^= 0x10;
    }
    EXPECT_TRUE(open(files));
}

TEST(Store, DetectsDamageInSnapshotAndIdentity)
{
    FakeFiles files;
    {
        auto store = open(files);
        Batch batch = batchOf(1, "one");
        ASSERT_TRUE(store.value()->write({ batch }));
        batch = {};
        batch.snapshot = Storage::Snapshot { LogIndex(1), "meta", "state" };
        ASSERT_TRUE(store.value()->write({ batch }));
    }
    for (const char* prefix : { "snapshot-", "identity" }) {
        std::string path = files.lastName(prefix);
        std::string whole = files.bytes(path);
        files.bytes(path)[whole.size() / 2] ^= 1;
        EXPECT_EQ(open(files).error().reason, Reason::Corrupt) << path;
        files.bytes(path) = whole;
    }
    files.remove(files.lastName("snapshot-"));
    files.remove(files.lastName("identity"));
    EXPECT_EQ(open(files).error().reason, Reason::Corrupt);
}

TEST(Store, RejectsAMissingSegment)
{
    FakeFiles files;
    {
        auto store = open(files, 200);
        for (uint64_t i = 1; i <= 20; ++i)
            ASSERT_TRUE(store.value()->write({ batchOf(i, std::string(100, 'x')) }));
    }
    files.remove(folder + "/log-00000000000000000003");
    EXPECT_EQ(open(files).error().reason, Reason::Corrupt);
}

TEST(Store, RefusesWritesAfterAFailedSync)
{
    FakeFiles files;
    auto store = open(files);
    files.failNextSync();
    EXPECT_EQ(store.value()->write({ batchOf(1, "one") }).error().reason, Reason::StorageFailed);
    EXPECT_EQ(store.value()->write({ batchOf(2, "two") }).error().reason, Reason::StorageFailed);
}

TEST(Store, RejectsAnUnknownFormatVersion)
{
    FakeFiles files;
    ASSERT_TRUE(open(files));
    std::string header
        = Storage::encodeFileHeader({ Storage::formatVersion + 1, Storage::FileKind::Identity, identity, 0 });
    files.bytes(files.lastName("identity")) = header;
    auto store = open(files);
    ASSERT_FALSE(store);
    EXPECT_NE(store.error().message.find("format version 2"), std::string::npos) << store.error();
}
