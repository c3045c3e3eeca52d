#include "Storage/Files.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Storage {

namespace {

    using Common::Error;
    using Common::Reason;
    using Common::Result;

    constexpr mode_t fileMode = 0640;

    Error systemError(const char* step, const std::string& path)
    {
        return Common::makeError(
            Reason::StorageFailed, step, std::error_code(errno, std::generic_category()).message(), path);
    }

    Result<void> syncFolder(const std::string& folder)
    {
        int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (fd < 0)
            return systemError("sync-folder", folder);
        bool ok = !::fsync(fd);
        Error error = systemError("sync-folder", folder);
        ::close(fd);
        if (!ok)
            return error;
        return Common::success();
    }

    Result<void> createFolder(const std::string& folder)
    {
        if (!::mkdir(folder.c_str(), 0750)) {
            std::string parent = std::filesystem::path(folder).parent_path().string();
            return syncFolder(parent.empty() ? "." : parent);
        }
        if (errno == EEXIST)
            return Common::success();
        return systemError("create-folder", folder);
    }

    Result<FileHandle> lock(const std::string& path)
    {
        int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
        if (fd < 0)
            return systemError("lock-folder", path);
        if (!::flock(fd, LOCK_EX | LOCK_NB))
            return FileHandle(fd);
        Error error = systemError("lock-folder", path);
        if (errno == EWOULDBLOCK)
            error = Common::makeError(Reason::Conflict, "lock-folder", "another process uses this folder", path);
        ::close(fd);
        return error;
    }

    Result<std::vector<std::string>> list(const std::string& folder)
    {
        std::error_code ec;
        std::vector<std::string> names;
        for (const auto& it : std::filesystem::directory_iterator(folder, ec))
            names.push_back(it.path().filename().string());
        if (ec)
            return Common::makeError(Reason::StorageFailed, "list-folder", ec.message(), folder);
        std::sort(names.begin(), names.end());
        return names;
    }

    Result<std::string> readAll(const std::string& path)
    {
        int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        if (fd < 0)
            return systemError("read-file", path);
        struct stat info { };
        bool ok = !::fstat(fd, &info);
        std::string bytes(ok ? static_cast<size_t>(info.st_size) : 0, '\0');
        size_t done = 0;
        while (ok && done < bytes.size()) {
            ssize_t n = ::read(fd, bytes.data() + done, bytes.size() - done);
            if (n <= 0 && !(n < 0 && errno == EINTR))
                ok = false;
            else if (n > 0)
                done += static_cast<size_t>(n);
        }
        Error error = systemError("read-file", path);
        ::close(fd);
        if (!ok)
            return error;
        return bytes;
    }

    Result<FileHandle> create(const std::string& path)
    {
        int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, fileMode);
        if (fd < 0)
            return systemError("create-file", path);
        return FileHandle(fd);
    }

    Result<void> append(FileHandle file, std::string_view bytes)
    {
        while (!bytes.empty()) {
            ssize_t n = ::write(file.value(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                return systemError("append-file", {});
            bytes.remove_prefix(static_cast<size_t>(n));
        }
        return Common::success();
    }

    Result<void> sync(FileHandle file)
    {
        if (::fdatasync(file.value()))
            return systemError("sync-file", {});
        return Common::success();
    }

    Result<void> renameFile(const std::string& from, const std::string& to)
    {
        if (::rename(from.c_str(), to.c_str()))
            return systemError("rename-file", from);
        return Common::success();
    }

    Result<void> removeFile(const std::string& path)
    {
        if (::unlink(path.c_str()) && errno != ENOENT)
            return systemError("remove-file", path);
        return Common::success();
    }

    Result<void> writeAndRename(
        const Files& files, FileHandle file, const std::string& folder, const std::string& name, std::string_view bytes)
    {
        std::string path = pathOf(folder, name);
        BOOST_OUTCOME_TRY(files.append(file, bytes));
        BOOST_OUTCOME_TRY(files.sync(file));
        BOOST_OUTCOME_TRY(files.rename(path + std::string(temporarySuffix), path));
        return files.syncFolder(folder);
    }

} // namespace

std::string pathOf(const std::string& folder, std::string_view name)
{
    std::string path = folder;
    path += '/';
    path += name;
    return path;
}

Files systemFiles()
{
    return { createFolder, lock, list, readAll, create, append, sync, [](FileHandle file) { ::close(file.value()); },
        renameFile, removeFile, syncFolder };
}

Result<FileHandle> createAtomically(
    const Files& files, const std::string& folder, const std::string& name, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(file, files.create(pathOf(folder, name) + std::string(temporarySuffix)));
    Result<void> done = writeAndRename(files, file, folder, name, bytes);
    if (!done) {
        files.close(file);
        return done.error();
    }
    return file;
}

} // namespace Storage
