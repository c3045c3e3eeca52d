#include "Storage/Journal.h"
#include "Storage/FakeFiles.h"

#include <gtest/gtest.h>

namespace {

using Records = std::vector<std::string>;

constexpr const char* folder = "/data";
constexpr const char* name = "journal";

Records readAll(FakeFiles& files) { return Storage::readJournal(files.functions(), folder, name).value().records; }

} // namespace

// Guards against a record that append() or rewrite() reported as durable and that a crash at any later call loses.
TEST(Journal, KeepsDurableRecordsThroughACrash)
{
    for (uint64_t seed = 0; seed < 400; ++seed) {
        FakeFiles files;
        Common::Random random(seed);
        Records durable;
        Records tried;
        {
            Storage::Journal journal(files.functions(), folder, name, Storage::FolderIdentity(seed + 1));
            files.failAfter(random.below(60));
            for (int i = 0; i < 30; ++i) {
                tried.push_back("record " + std::to_string(i));
                bool mustRewrite = !journal.isIntact() || random.chance(0.2);
                if (mustRewrite ? journal.rewrite(tried) : journal.append({ tried.back() }))
                    durable = tried;
            }
        }
        files.crash(random);
        auto read = readAll(files);
        ASSERT_GE(read.size(), durable.size()) << "seed " << seed;
        ASSERT_TRUE(std::equal(read.begin(), read.end(), tried.begin())) << "seed " << seed;
    }
}

TEST(Journal, ReadsWhatPrecedesADamagedBlock)
{
    FakeFiles files;
    EXPECT_TRUE(readAll(files).empty()) << "there is no file yet";
    Storage::Journal journal(files.functions(), folder, name, Storage::FolderIdentity(1));
    ASSERT_TRUE(journal.rewrite({ "a", "" }));
    ASSERT_TRUE(journal.append({ "b" }));
    size_t size = journal.size();
    ASSERT_TRUE(journal.append({ "c" }));
    auto& bytes = files.bytes("/data/journal");
    bytes[size + 25] ^= 1;
    EXPECT_EQ(readAll(files), (Records { "a", "", "b" }));
    EXPECT_EQ(Storage::readJournal(files.functions(), folder, name).value().unreadable, bytes.size() - size);
    bytes[0] ^= 1;
    EXPECT_TRUE(readAll(files).empty());
}
