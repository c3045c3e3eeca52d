#pragma once

#include "Consensus/Types.h"

#include <deque>
#include <vector>

namespace Consensus {

// The entries after (base, baseTerm), without gaps.
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
// True if the log is known to hold an entry of this term at this index.
bool containsEntry(const Log&, Common::LogIndex, Common::Term);
// The first index of the run of equal terms that ends at this index, at least base + 1.
Common::LogIndex firstIndexOfTermAt(const Log&, Common::LogIndex);

void append(Log&, EntryRef);
// Removes the entries from this index on.
void truncateFrom(Log&, Common::LogIndex);
// Removes the entries up to this index, which becomes the base.
void compactTo(Log&, Common::LogIndex);
// Removes all entries and starts after (base, baseTerm).
void reset(Log&, Common::LogIndex base, Common::Term baseTerm);

// Entries from this index on, at least one if there is one, within the limits.
std::vector<EntryRef> slice(const Log&, Common::LogIndex from, size_t maximumEntries, size_t maximumBytes);

} // namespace Consensus
