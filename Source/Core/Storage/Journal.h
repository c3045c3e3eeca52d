#pragma once

#include "Common/Error.h"
#include "Storage/Files.h"
#include "Storage/Framing.h"

#include <optional>
#include <string>
#include <vector>

namespace Storage {

struct JournalContent {
    std::vector<std::string> records;
    size_t unreadable { 0 }; // Bytes at the end that a crash has left incomplete, or that are damaged.
};

// Reads the journal of an earlier process; empty if there is none. Errors: StorageFailed.
Common::Result<JournalContent> readJournal(const Files&, const std::string& folder, const std::string& name);

// Writes a file of records that its owner also holds in memory, so that it can be replaced when it has grown or a write
// has failed. Not thread-safe.
class Journal {
public:
    // The folder must exist. The identity seeds the checksums, and differs from those of earlier writers of the file.
    Journal(Files, std::string folder, std::string name, FolderIdentity);
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    // Whether append() may be called: the last rewrite() and all appends since have succeeded.
    bool isIntact() const { return m_file.has_value(); }
    size_t size() const { return m_size; } // Of the file, in bytes.
    // Replaces the file atomically, and creates it if it is absent. Returns when the records are durable. On an error
    // (StorageFailed) the file has either the earlier or the new records.
    Common::Result<void> rewrite(const std::vector<std::string>& records);
    // Adds records with one sync. Returns when they are durable. On an error (StorageFailed) it is unknown whether they
    // are, and the journal is not intact.
    Common::Result<void> append(const std::vector<std::string>& records);

private:
    void close();

    const Files m_files;
    const std::string m_folder;
    const std::string m_name;
    const FolderIdentity m_identity;
    std::optional<FileHandle> m_file;
    uint64_t m_generation { 0 }; // Counts the files that this object has written.
    uint64_t m_blocks { 0 }; // In the current file.
    size_t m_size { 0 };
};

} // namespace Storage
