#pragma once

#include "Common/Error.h"
#include "Storage/Files.h"
#include "Storage/Framing.h"

#include <string>
#include <string_view>

namespace Storage {

// The state machine up to an index of the log. What meta and data mean is the caller's matter.
struct Snapshot {
    Common::LogIndex index;
    std::string meta;
    std::string data;
};

std::string snapshotName(Common::LogIndex);
// nullopt if the name is not a snapshot's.
std::optional<Common::LogIndex> parseSnapshotName(std::string_view);
// Returns once the file is durable under its name.
Common::Result<void> writeSnapshot(const Files&, const std::string& folder, FolderIdentity, const Snapshot&);
// Error: Corrupt, with file and offset.
Common::Result<Snapshot> readSnapshot(const Files&, const std::string& folder, FolderIdentity, Common::LogIndex);

} // namespace Storage
