#pragma once

#include "Common/Random.h"
#include "Consensus/Step.h"

#include <deque>
#include <vector>

// The synced content of a member's disk and the writes that are not synced yet.
struct FakeDisk {
    Consensus::StorageId storage;
    Consensus::HardState hard;
    Consensus::SnapshotRef snapshot;
    std::vector<Consensus::EntryRef> entries;
    std::deque<Consensus::Write> unsynced;
};

// Syncs the oldest unsynced write.
void syncFirst(FakeDisk&);
// Simulates a crash: keeps a random prefix of the unsynced writes, the last of them in part.
void crash(FakeDisk&, Common::Random&);
Consensus::Recovered recover(const FakeDisk&);
