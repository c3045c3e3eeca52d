#pragma once

#include "Common/Random.h"
#include "Storage/Files.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

// An in-memory file system. A crash may lose the bytes and file names that were not synced.
class FakeFiles {
public:
    Storage::Files functions();
    // Simulates a power failure: after this many calls, all further calls fail.
    void failAfter(uint64_t calls) { m_callsLeft = calls; }
    void failNextSync() { m_syncFails = true; }
    void crash(Common::Random&);

    std::string& bytes(const std::string& path) { return m_names.at(path)->bytes; }
    std::string lastName(const std::string& prefix) const;
    void remove(const std::string& path);

private:
    struct File {
        std::string bytes;
        size_t synced { 0 };
    };
    using Names = std::map<std::string, std::shared_ptr<File>>;

    Common::Result<void> countCall();

    Names m_names;
    Names m_durableNames;
    std::map<Storage::FileHandle, std::shared_ptr<File>> m_open;
    int m_lastHandle { 0 };
    std::optional<uint64_t> m_callsLeft;
    bool m_syncFails { false };
};
