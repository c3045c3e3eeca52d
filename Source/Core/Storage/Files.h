#pragma once

#include "Common/Error.h"
#include "Common/StrongType.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Storage {

// Identifies an open file to the functions below.
using FileHandle = Common::StrongId<struct FileHandleTag, int>;

// The file system functions that the store uses. Tests replace them. Errors have the reason StorageFailed, unless noted
// otherwise, the path as peer and the system's message.
struct Files {
    std::function<Common::Result<void>(const std::string& folder)> createFolder; // If absent. Syncs the parent.
    // Takes an exclusive lock, held until the handle is closed. Reason Conflict if another process holds it.
    std::function<Common::Result<FileHandle>(const std::string& path)> lock;
    std::function<Common::Result<std::vector<std::string>>(const std::string& folder)> list; // Sorted names.
    std::function<Common::Result<std::string>(const std::string& path)> read;
    std::function<Common::Result<FileHandle>(const std::string& path)> create; // Opens an empty file for appending.
    std::function<Common::Result<void>(FileHandle, std::string_view)> append;
    std::function<Common::Result<void>(FileHandle)> sync;
    std::function<void(FileHandle)> close;
    std::function<Common::Result<void>(const std::string& from, const std::string& to)> rename;
    std::function<Common::Result<void>(const std::string& path)> remove;
    std::function<Common::Result<void>(const std::string& folder)> syncFolder;
};

// The file system of the operating system.
Files systemFiles();

std::string pathOf(const std::string& folder, std::string_view name);

// Creates or replaces a file atomically: after a crash the name refers either to all of the bytes or to the previous
// file, if any. Writes to a temporary name, syncs, renames, syncs the folder. Returns the handle, open for appending.
Common::Result<FileHandle> createAtomically(
    const Files&, const std::string& folder, const std::string& name, std::string_view bytes);

// After a crash, files with this suffix are incomplete and can be removed.
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace Storage
