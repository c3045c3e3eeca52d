#include "Replica/StorageConversion.h"

#include "Wire/ConsensusCodec.h"

#include <utility>

namespace Replica {

using Common::Result;

Storage::Batch toBatch(const Consensus::Write& write)
{
    Storage::Batch batch;
    if (write.hard)
        batch.hardState = Wire::encode(*write.hard);
    batch.truncateFrom = write.truncateFrom;
    if (write.snapshot) {
        const Consensus::SnapshotMeta& meta = write.snapshot->meta;
        batch.snapshot = Storage::Snapshot { meta.index, Wire::encode(meta), write.snapshot->data };
    }
    for (const Consensus::EntryRef& entry : write.entries)
        batch.entries.push_back({ entry->index, Wire::encode(*entry) });
    return batch;
}

Result<Consensus::Recovered> toRecovered(const Storage::Content& content)
{
    Consensus::Recovered recovered;
    if (!content.hardState.empty()) {
        BOOST_OUTCOME_TRY(hard, Wire::decodeHardState(content.hardState));
        recovered.hard = std::move(hard);
    }
    if (content.snapshot) {
        BOOST_OUTCOME_TRY(meta, Wire::decodeSnapshotMeta(content.snapshot->meta));
        recovered.snapshot = std::make_shared<const Consensus::Snapshot>(
            Consensus::Snapshot { std::move(meta), content.snapshot->data });
    }
    for (const Storage::LogEntry& record : content.entries) {
        BOOST_OUTCOME_TRY(entry, Wire::decodeEntry(record.bytes));
        if (entry->index != record.index)
            return Common::makeError(Common::Reason::Corrupt, "recover-log",
                "entry " + std::to_string(record.index.value()) + " contains another index");
        recovered.entries.push_back(std::move(entry));
    }
    return recovered;
}

} // namespace Replica
