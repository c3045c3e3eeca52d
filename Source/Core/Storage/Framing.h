#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Storage {

// The format that this program writes. It reads no other.
inline constexpr uint32_t formatVersion = 1;

// A random number made with the data folder. It seeds the checksums, so that no bytes of a command can pass for a
// block, nor a block of another folder.
using FolderIdentity = Common::StrongId<struct FolderIdentityTag, uint64_t>;

// Numbers in files are little-endian and unaligned.
void putUint32(std::string&, uint32_t);
void putUint64(std::string&, uint64_t);
// Takes a number, or a string of n bytes, off the front; nullopt if there are too few bytes.
std::optional<uint32_t> takeUint32(std::string_view&);
std::optional<uint64_t> takeUint64(std::string_view&);
std::optional<std::string_view> takeBytes(std::string_view&, size_t n);

enum class FileKind : uint32_t {
    Identity = 1,
    Log = 2,
    Snapshot = 3,
};

// Each file starts with: magic, format version, kind, identity of the folder, the file's number, checksum.
struct FileHeader {
    uint32_t version { formatVersion };
    FileKind kind { FileKind::Log };
    FolderIdentity identity;
    uint64_t number { 0 };
};

inline constexpr size_t fileHeaderSize = 40; // Bytes.
std::string encodeFileHeader(const FileHeader&);
// nullopt if the bytes are no header.
std::optional<FileHeader> takeFileHeader(std::string_view&);

// A block is what one sync makes durable: magic, length, sequence number, checksum, payload.
struct Block {
    uint64_t sequence { 0 };
    std::string_view payload;
    size_t size { 0 }; // With its header, in bytes.
};

std::string encodeBlock(FolderIdentity, uint64_t sequence, std::string_view payload);
// The whole block at the front of the bytes; nullopt if there is none.
std::optional<Block> readBlock(FolderIdentity, std::string_view);
// True if a whole block starts anywhere in the bytes.
bool containsBlock(FolderIdentity, std::string_view);

} // namespace Storage
