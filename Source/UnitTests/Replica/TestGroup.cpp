#include "Replica/TestGroup.h"

#include "Storage/Files.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <future>
#include <sstream>
#include <utility>

using Common::InstanceId;
using Common::Result;

namespace {

constexpr size_t memberCount = 3;
constexpr std::chrono::seconds awaitTimeout { 20 };
constexpr std::chrono::milliseconds pollInterval { 5 };

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> lines;
    std::istringstream in { std::string(text) };
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

TestBus::TestBus()
    : m_thread([this] { run(); })
{
}

TestBus::~TestBus()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void TestBus::connect(const InstanceId& id, Replica::LogShard* shard)
{
    std::lock_guard lock(m_shardsMutex);
    m_shards[id] = shard;
}

void TestBus::disconnect(const InstanceId& id)
{
    std::lock_guard lock(m_shardsMutex);
    m_shards.erase(id);
}

void TestBus::send(const InstanceId& from, const InstanceId& to, std::string bytes)
{
    std::lock_guard lock(m_mutex);
    m_messages.push_back({ from, to, std::move(bytes) });
    m_wake.notify_one();
}

void TestBus::run()
{
    while (true) {
        std::deque<QueuedMessage> messages;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] { return m_stopping || !m_messages.empty(); });
            if (m_stopping)
                return;
            std::swap(messages, m_messages);
        }
        for (const QueuedMessage& message : messages) {
            std::lock_guard lock(m_shardsMutex);
            auto it = m_shards.find(message.to);
            if (it != m_shards.end())
                it->second->receive(message.from, message.bytes);
        }
    }
}

TestGroup::TestGroup(const std::string& name, bool discardCommands)
    : m_base(testing::TempDir() + "corianderlock-" + name)
    , m_discardCommands(discardCommands)
{
    std::filesystem::remove_all(m_base);
    std::filesystem::create_directory(m_base);
    for (size_t i = 0; i < memberCount; ++i) {
        std::string id = "control-" + std::to_string(i);
        m_members[i].id = InstanceId(id);
        m_members[i].folder = m_base + "/" + id;
    }
    for (size_t i = 0; i < memberCount; ++i)
        start(i);
}

TestGroup::~TestGroup()
{
    for (size_t i = 0; i < memberCount; ++i)
        stop(i);
    std::filesystem::remove_all(m_base);
}

Replica::Hooks TestGroup::hooksOf(size_t member)
{
    Member& it = m_members[member];
    Replica::Hooks hooks;
    hooks.send = [this, id = it.id](const InstanceId& to, std::string bytes) { m_bus.send(id, to, std::move(bytes)); };
    hooks.apply = [this, &it](Common::LogIndex, std::string_view command) {
        std::lock_guard lock(m_mutex);
        if (m_discardCommands)
            it.applied = { "some" };
        else
            it.applied.emplace_back(command);
        return "done " + std::string(command);
    };
    hooks.snapshot = [this, &it] {
        std::lock_guard lock(m_mutex);
        return join(it.applied);
    };
    hooks.restore = [this, &it](std::string_view bytes) {
        std::lock_guard lock(m_mutex);
        it.applied = split(bytes);
        return Result<void>(Common::success());
    };
    return hooks;
}

void TestGroup::start(size_t member)
{
    Member& it = m_members[member];
    Replica::Options options;
    options.self = it.id;
    for (const Member& other : m_members)
        options.voters.push_back(other.id);
    options.folder = it.folder;
    options.snapshotEvery = m_discardCommands ? 4096 : 500;
    it.applied.clear();
    Storage::Files files = Storage::systemFiles();
    files.sync = [&it, sync = files.sync](Storage::FileHandle file) -> Result<void> {
        if (it.syncsFail)
            return Common::makeError(Common::Reason::StorageFailed, "sync-file", "injected");
        it.syncsStall.wait(true);
        return sync(file);
    };
    auto shard = Replica::LogShard::open(options, hooksOf(member), files);
    ASSERT_TRUE(shard) << shard.error();
    it.shard = std::move(shard.value());
    m_bus.connect(it.id, it.shard.get());
}

void TestGroup::stop(size_t member)
{
    stallSyncs(member, false); // The shard joins the thread that syncs.
    m_bus.disconnect(m_members[member].id);
    m_members[member].shard.reset();
}

void TestGroup::stallSyncs(size_t member, bool stall)
{
    m_members[member].syncsStall = stall;
    m_members[member].syncsStall.notify_all();
}

void TestGroup::removeFolder(size_t member) { std::filesystem::remove_all(m_members[member].folder); }

std::vector<std::string> TestGroup::applied(size_t member)
{
    std::lock_guard lock(m_mutex);
    return m_members[member].applied;
}

bool TestGroup::await(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + awaitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::optional<size_t> TestGroup::awaitLeader()
{
    std::optional<size_t> leader;
    await([&] {
        for (size_t i = 0; i < memberCount && !leader; ++i) {
            if (m_members[i].shard && shard(i).status().role == Replica::Role::Leader)
                leader = i;
        }
        return leader.has_value();
    });
    return leader;
}

Result<std::string> TestGroup::propose(const std::string& command)
{
    while (true) {
        std::optional<size_t> leader = awaitLeader();
        if (!leader)
            return Common::makeError(Common::Reason::Unavailable, "propose", "there is no leader");
        std::promise<Result<std::string>> promise;
        auto future = promise.get_future();
        shard(*leader).propose(command, [&](Result<std::string> result) { promise.set_value(std::move(result)); });
        Result<std::string> result = future.get();
        if (result || result.error().reason != Common::Reason::Unavailable)
            return result;
    }
}

Result<Common::LogIndex> TestGroup::confirmRead(size_t member)
{
    std::promise<Result<Common::LogIndex>> promise;
    auto future = promise.get_future();
    shard(member).confirmRead([&](Result<Common::LogIndex> result) { promise.set_value(std::move(result)); });
    return future.get();
}
