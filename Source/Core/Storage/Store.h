#pragma once

#include "Common/Error.h"
#include "Storage/Files.h"
#include "Storage/Recovery.h"
#include "Storage/SnapshotFile.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Storage {

// Changes to write, in the order of the fields.
struct Batch {
    std::optional<std::string> hardState;
    std::optional<Common::LogIndex> truncateFrom;
    std::optional<Snapshot> snapshot; // Allows the removal of the log up to its index.
    std::vector<LogEntry> entries;
};

struct StoreOptions {
    size_t segmentSize { size_t { 16 } << 20 }; // In bytes. A larger segment is followed by a new file.
};

// Stores the log, hard state and snapshot of one member in one folder. Not thread-safe.
class Store {
public:
    // Creates the folder if it is absent, and uses newIdentity for a new folder. Errors as for recover(), and Conflict
    // if another process uses the folder.
    static Common::Result<std::unique_ptr<Store>> open(
        Files, const std::string& folder, FolderIdentity newIdentity, StoreOptions = {});
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    FolderIdentity identity() const;
    // The content that open() recovered. May be called once.
    Content takeContent();
    // Returns when all batches are durable. One sync covers all of them, unless one holds a snapshot. After an error
    // the content of the disk is unknown, and all later calls fail. Error: StorageFailed.
    Common::Result<void> write(const std::vector<Batch>&);

private:
    class Private;
    explicit Store(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Storage
