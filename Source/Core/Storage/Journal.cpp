#include "Storage/Journal.h"

#include <algorithm>
#include <utility>

namespace Storage {

using Common::Result;

namespace {

    // Blocks of an earlier file under this name must not be read as those of the current one.
    FolderIdentity identityOf(FolderIdentity identity, uint64_t generation)
    {
        return FolderIdentity(identity.value() + generation);
    }

    std::string encodeRecords(const std::vector<std::string>& records)
    {
        std::string out;
        for (const std::string& record : records) {
            putUint32(out, static_cast<uint32_t>(record.size()));
            out += record;
        }
        return out;
    }

    // Returns false if the payload ends within a record.
    bool decodeRecords(std::string_view payload, std::vector<std::string>& records)
    {
        while (!payload.empty()) {
            auto size = takeUint32(payload);
            auto bytes = size ? takeBytes(payload, *size) : std::nullopt;
            if (!bytes)
                return false;
            records.emplace_back(*bytes);
        }
        return true;
    }

} // namespace

Result<JournalContent> readJournal(const Files& files, const std::string& folder, const std::string& name)
{
    BOOST_OUTCOME_TRY(names, files.list(folder));
    JournalContent content;
    if (std::find(names.begin(), names.end(), name) == names.end())
        return content;
    BOOST_OUTCOME_TRY(bytes, files.read(pathOf(folder, name)));
    std::string_view rest = bytes;
    auto header = takeFileHeader(rest);
    bool isReadable = header && header->kind == FileKind::Journal && header->version == formatVersion;
    while (isReadable && !rest.empty()) {
        auto block = readBlock(header->identity, rest);
        isReadable = block && decodeRecords(block->payload, content.records);
        if (isReadable)
            rest.remove_prefix(block->size);
    }
    content.unreadable = rest.size();
    return content;
}

Journal::Journal(Files files, std::string folder, std::string name, FolderIdentity identity)
    : m_files(std::move(files))
    , m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_identity(identity)
{
}

Journal::~Journal() { close(); }

void Journal::close()
{
    if (auto file = std::exchange(m_file, std::nullopt))
        m_files.close(*file);
}

Result<void> Journal::rewrite(const std::vector<std::string>& records)
{
    close();
    auto identity = identityOf(m_identity, ++m_generation);
    std::string bytes = encodeFileHeader({ .kind = FileKind::Journal, .identity = identity, .number = m_generation });
    bytes += encodeBlock(identity, 1, encodeRecords(records));
    BOOST_OUTCOME_TRY(file, createAtomically(m_files, m_folder, m_name, bytes));
    m_file = file;
    m_blocks = 1;
    m_size = bytes.size();
    return Common::success();
}

Result<void> Journal::append(const std::vector<std::string>& records)
{
    if (!m_file)
        return Common::makeError(Common::Reason::StorageFailed, "append", "the journal is not intact", m_name);
    std::string bytes = encodeBlock(identityOf(m_identity, m_generation), ++m_blocks, encodeRecords(records));
    Result<void> done = m_files.append(*m_file, bytes);
    if (done)
        done = m_files.sync(*m_file);
    if (!done)
        close();
    else
        m_size += bytes.size();
    return done;
}

} // namespace Storage
