#pragma once

#include "Common/Error.h"
#include "Common/StrongType.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Storage {

// An open file, as the functions below number it.
using FileHandle = Common::StrongId<struct FileHandleTag, int>;

// What the store asks of a file system. Tests put others in their place. Errors have the reason StorageFailed, if not
// said otherwise, the path as peer, and the system's message.
struct Files {
    std::function<Common::Result<void>(const std::string& folder)> createFolder; // If absent; syncs the parent.
    // Keeps other processes out until the handle is closed. Reason Conflict if one of them is in.
    std::function<Common::Result<FileHandle>(const std::string& path)> lock;
    std::function<Common::Result<std::vector<std::string>>(const std::string& folder)> list; // Names, sorted.
    std::function<Common::Result<std::string>(const std::string& path)> read;
    std::function<Common::Result<FileHandle>(const std::string& path)> create; // Empty, for appending.
    std::function<Common::Result<void>(FileHandle, std::string_view)> append;
    std::function<Common::Result<void>(FileHandle)> sync;
    std::function<void(FileHandle)> close;
    std::function<Common::Result<void>(const std::string& from, const std::string& to)> rename;
    std::function<Common::Result<void>(const std::string& path)> remove;
    std::function<Common::Result<void>(const std::string& folder)> syncFolder;
};

// The machine's own file system.
Files systemFiles();

std::string pathOf(const std::string& folder, std::string_view name);

// Creates a file with these bytes so that after a crash it is there in whole or not at all: temporary name, sync,
// rename, sync of the folder. Returns the handle, still open for appending.
Common::Result<FileHandle> createWhole(
    const Files&, const std::string& folder, const std::string& name, std::string_view bytes);

// Names that end in this are left-overs of a crash.
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace Storage
