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

// Done in the order of the fields.
struct Batch {
    std::optional<std::string> hard;
    std::optional<Common::LogIndex> truncateFrom;
    std::optional<Snapshot> snapshot; // The log up to its index may be cut.
    std::vector<LogEntry> entries;
};

struct StoreOptions {
    size_t segmentSize { size_t { 16 } << 20 }; // Bytes after which a new file is started.
};

// The log, hard state and snapshot of one member in one folder. Used by one thread at a time.
class Store {
public:
    // Creates the folder if it is absent; newIdentity is taken if it is new. Errors as of recover(); Conflict if
    // another process uses the folder.
    static Common::Result<std::unique_ptr<Store>> open(
        Files, const std::string& folder, FolderIdentity newIdentity, StoreOptions = {});
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    FolderIdentity identity() const;
    // What open() found. Can be taken once.
    Content takeContent();
    // Returns once all batches are durable; one sync does for all, unless there is a snapshot among them. After an
    // error nobody knows what is on the disk: all later calls are refused. Error: StorageFailed.
    Common::Result<void> write(const std::vector<Batch>&);

private:
    class Private;
    explicit Store(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Storage
