#include "Consensus/FakeDisk.h"

#include <utility>

using Consensus::Write;

namespace {

void apply(FakeDisk& disk, const Write& write)
{
    if (write.hard)
        disk.hard = *write.hard;
    if (write.truncateFrom)
        std::erase_if(disk.entries, [&](const auto& it) { return it->index >= *write.truncateFrom; });
    if (write.snapshot) {
        disk.snapshot = write.snapshot;
        std::erase_if(disk.entries, [&](const auto& it) { return it->index <= write.snapshot->meta.index; });
    }
    disk.entries.insert(disk.entries.end(), write.entries.begin(), write.entries.end());
}

// Cuts the write off at a random point, in the order of its fields.
void tear(Write& write, Common::Random& random)
{
    write.entries.resize(random.below(write.entries.size() + 1));
    if (!write.entries.empty() || random.chance(0.5))
        return;
    write.snapshot.reset();
    if (random.chance(0.5))
        write.truncateFrom.reset();
    if (!write.truncateFrom && random.chance(0.5))
        write.hard.reset();
}

} // namespace

void syncFirst(FakeDisk& disk)
{
    apply(disk, disk.unsynced.front());
    disk.unsynced.pop_front();
}

void crash(FakeDisk& disk, Common::Random& random)
{
    for (uint64_t kept = random.below(disk.unsynced.size() + 1); kept; --kept)
        syncFirst(disk);
    if (!disk.unsynced.empty()) {
        tear(disk.unsynced.front(), random);
        syncFirst(disk);
    }
    disk.unsynced.clear();
}

Consensus::Recovered recover(const FakeDisk& disk) { return { disk.hard, disk.snapshot, disk.entries }; }
