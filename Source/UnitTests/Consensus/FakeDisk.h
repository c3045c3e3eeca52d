#pragma once

#include "Common/Random.h"
#include "Consensus/Step.h"

#include <deque>
#include <vector>

// What one member's disk holds, and what was written but not synced yet.
struct FakeDisk {
    Consensus::StorageId storage;
    Consensus::HardState hard;
    Consensus::SnapshotRef snapshot;
    std::vector<Consensus::EntryRef> entries;
    std::deque<Consensus::Write> unsynced;
};

void syncFirst(FakeDisk&);
// Keeps some of the writes that were not synced, the last of them in part, and loses the rest.
void crash(FakeDisk&, Common::Random&);
Consensus::Recovered recover(const FakeDisk&);
