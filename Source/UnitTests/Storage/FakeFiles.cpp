#include "Storage/FakeFiles.h"

using Common::Result;
using Storage::FileHandle;

namespace {

Common::Error injectedError(const char* step)
{
    return Common::makeError(Common::Reason::StorageFailed, step, "injected");
}

std::string nameOf(const std::string& path) { return path.substr(path.rfind('/') + 1); }

} // namespace

Result<void> FakeFiles::countCall()
{
    if (!m_callsLeft)
        return Common::success();
    if (!*m_callsLeft)
        return injectedError("power");
    --*m_callsLeft;
    return Common::success();
}

Storage::Files FakeFiles::functions()
{
    Storage::Files files;
    files.createFolder = [](const std::string&) { return Result<void>(Common::success()); };
    files.lock = [this](const std::string&) -> Result<FileHandle> { return FileHandle(++m_lastHandle); };
    files.list = [this](const std::string&) -> Result<std::vector<std::string>> {
        std::vector<std::string> names;
        for (const auto& [path, file] : m_names)
            names.push_back(nameOf(path));
        return names;
    };
    files.read = [this](const std::string& path) -> Result<std::string> {
        auto it = m_names.find(path);
        return it == m_names.end() ? Result<std::string>(injectedError("read"))
                                   : Result<std::string>(it->second->bytes);
    };
    files.create = [this](const std::string& path) -> Result<FileHandle> {
        BOOST_OUTCOME_TRY(countCall());
        m_names[path] = std::make_shared<File>();
        FileHandle handle(++m_lastHandle);
        m_open[handle] = m_names[path];
        return handle;
    };
    files.append = [this](FileHandle file, std::string_view bytes) -> Result<void> {
        // The bytes may reach the disk even if the call fails.
        m_open.at(file)->bytes += bytes;
        return countCall();
    };
    files.sync = [this](FileHandle file) -> Result<void> {
        BOOST_OUTCOME_TRY(countCall());
        if (m_syncFails)
            return injectedError("sync");
        m_open.at(file)->synced = m_open.at(file)->bytes.size();
        return Common::success();
    };
    files.close = [this](FileHandle file) { m_open.erase(file); };
    files.rename = [this](const std::string& from, const std::string& to) -> Result<void> {
        BOOST_OUTCOME_TRY(countCall());
        m_names[to] = m_names.at(from);
        m_names.erase(from);
        return Common::success();
    };
    files.remove = [this](const std::string& path) -> Result<void> {
        BOOST_OUTCOME_TRY(countCall());
        m_names.erase(path);
        return Common::success();
    };
    files.syncFolder = [this](const std::string&) -> Result<void> {
        BOOST_OUTCOME_TRY(countCall());
        m_durableNames = m_names;
        return Common::success();
    };
    return files;
}

void FakeFiles::crash(Common::Random& random)
{
    // File names that were not synced may be lost.
    if (random.chance(0.5))
        m_names = m_durableNames;
    for (auto& [path, file] : m_names) {
        size_t unsynced = file->bytes.size() - file->synced;
        size_t kept = random.below(unsynced + 1);
        file->bytes.resize(file->synced + kept);
        // The blocks of a file may reach the disk in any order.
        for (size_t i = file->synced; i < file->bytes.size() && random.chance(0.3); i += 1 + random.below(64))
            file->bytes[i] = 0;
        file->synced = file->bytes.size();
    }
    m_durableNames = m_names;
    m_open.clear();
    m_callsLeft.reset();
    m_syncFails = false;
}

std::string FakeFiles::lastName(const std::string& prefix) const
{
    std::string last;
    for (const auto& [path, file] : m_names) {
        if (nameOf(path).starts_with(prefix))
            last = path;
    }
    return last;
}

void FakeFiles::remove(const std::string& path) { m_names.erase(path); }
