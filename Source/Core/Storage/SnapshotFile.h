#pragma once

#include "Common/Error.h"
#include "Storage/Files.h"
#include "Storage/Framing.h"

#include <string>
#include <string_view>

namespace Storage {

// A snapshot of the state machine at a log index. The content of meta and data is opaque to this library.
struct Snapshot {
    Common::LogIndex index;
    std::string meta;
    std::string data;
};

std::string snapshotName(Common::LogIndex);
// nullopt if the name is not a snapshot's.
std::optional<Common::LogIndex> parseSnapshotName(std::string_view);
// Returns when the file is durable under its final name.
Common::Result<void> writeSnapshot(const Files&, const std::string& folder, FolderIdentity, const Snapshot&);
// Error: Corrupt, with file and offset.
Common::Result<Snapshot> readSnapshot(const Files&, const std::string& folder, FolderIdentity, Common::LogIndex);

} // namespace Storage
