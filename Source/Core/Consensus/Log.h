#pragma once

#include "Consensus/Types.h"

#include <deque>
#include <vector>

namespace Consensus {

// The entries after (base, baseTerm) without gaps. The base is the last entry removed by compaction or covered by an
// installed snapshot, or 0.
struct Log {
    Common::LogIndex base;
    Common::Term baseTerm;
    std::deque<EntryRef> entries;
};

Common::LogIndex firstIndex(const Log&);
Common::LogIndex lastIndex(const Log&);
Common::Term lastTerm(const Log&);
// The index must be in [base, lastIndex].
Common::Term termAt(const Log&, Common::LogIndex);
// The index must be in (base, lastIndex].
const EntryRef& entryAt(const Log&, Common::LogIndex);
// Returns true if the index is in [base, lastIndex] and its entry has this term.
bool containsEntry(const Log&, Common::LogIndex, Common::Term);
// Returns the first index of the consecutive entries with the same term that end at this index, at least base + 1.
Common::LogIndex firstIndexOfTermAt(const Log&, Common::LogIndex);

void append(Log&, EntryRef);
// Removes the entries from this index on.
void truncateFrom(Log&, Common::LogIndex);
// Removes the entries up to this index, which becomes the new base.
void compactTo(Log&, Common::LogIndex);
// Removes all entries and restarts the log after (base, baseTerm).
void reset(Log&, Common::LogIndex base, Common::Term baseTerm);

// Returns entries from this index on within both limits; the first entry is included even if it exceeds maximumBytes.
std::vector<EntryRef> slice(const Log&, Common::LogIndex from, size_t maximumEntries, size_t maximumBytes);

} // namespace Consensus
