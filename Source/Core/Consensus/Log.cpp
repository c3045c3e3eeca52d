#include "Consensus/Log.h"

#include "Common/Assert.h"

#include <utility>

namespace Consensus {

using Common::LogIndex;
using Common::Term;

namespace {

    constexpr LogIndex one { 1 };

    size_t offsetOf(const Log& log, LogIndex index) { return (index - log.base).value() - 1; }

} // namespace

LogIndex firstIndex(const Log& log) { return log.base + one; }

LogIndex lastIndex(const Log& log) { return log.base + LogIndex(log.entries.size()); }

Term lastTerm(const Log& log) { return termAt(log, lastIndex(log)); }

Term termAt(const Log& log, LogIndex index)
{
    if (index == log.base)
        return log.baseTerm;
    return entryAt(log, index)->term;
}

const EntryRef& entryAt(const Log& log, LogIndex index)
{
    CORIANDERLOCK_INVARIANT(index > log.base && index <= lastIndex(log), "the index is within the log");
    return log.entries[offsetOf(log, index)];
}

bool containsEntry(const Log& log, LogIndex index, Term term)
{
    return index >= log.base && index <= lastIndex(log) && termAt(log, index) == term;
}

LogIndex firstIndexOfTermAt(const Log& log, LogIndex index)
{
    Term term = termAt(log, index);
    while (index > firstIndex(log) && termAt(log, index - one) == term)
        index -= one;
    return index;
}

void append(Log& log, EntryRef entry)
{
    CORIANDERLOCK_INVARIANT(entry->index == lastIndex(log) + one, "the log has no gaps");
    CORIANDERLOCK_INVARIANT(entry->term >= lastTerm(log), "terms never decrease along the log");
    log.entries.push_back(std::move(entry));
}

void truncateFrom(Log& log, LogIndex index)
{
    if (index <= lastIndex(log))
        log.entries.erase(log.entries.begin() + static_cast<ptrdiff_t>(offsetOf(log, index)), log.entries.end());
}

void compactTo(Log& log, LogIndex index)
{
    if (index <= log.base)
        return;
    Term term = termAt(log, index);
    log.entries.erase(log.entries.begin(), log.entries.begin() + static_cast<ptrdiff_t>((index - log.base).value()));
    log.base = index;
    log.baseTerm = term;
}

void reset(Log& log, LogIndex base, Term baseTerm)
{
    log.base = base;
    log.baseTerm = baseTerm;
    log.entries.clear();
}

std::vector<EntryRef> slice(const Log& log, LogIndex from, size_t maximumEntries, size_t maximumBytes)
{
    std::vector<EntryRef> entries;
    size_t bytes = 0;
    for (LogIndex it = from; it <= lastIndex(log) && entries.size() < maximumEntries; it += one) {
        const EntryRef& entry = entryAt(log, it);
        bytes += entry->command.size();
        if (bytes > maximumBytes && !entries.empty())
            break;
        entries.push_back(entry);
    }
    return entries;
}

} // namespace Consensus
