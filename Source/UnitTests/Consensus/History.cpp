#include "Consensus/History.h"

#include "Common/Hash.h"

#include <algorithm>

using Common::LogIndex;
using Consensus::Entry;

namespace {

std::string at(LogIndex index) { return " at " + std::to_string(index.value()); }

} // namespace

uint64_t History::mix(uint64_t stateHash, const Entry& entry)
{
    return Common::hash64(entry.command + std::to_string(entry.term.value()), stateHash + entry.index.value());
}

void History::addViolation(std::string what)
{
    if (m_violations.size() < 5)
        m_violations.push_back(std::move(what));
}

void History::recordApplied(const Entry& entry, Common::Term term)
{
    if (entry.index <= last()) {
        if (m_entries[entry.index.value() - 1] != entry)
            addViolation("two members applied different entries" + at(entry.index));
        return;
    }
    if (entry.index != last() + LogIndex(1)) {
        addViolation("an entry was skipped before" + at(entry.index));
        return;
    }
    m_entries.push_back(entry);
    m_firstAppliedInTerm.push_back(term);
    m_stateHashes.push_back(mix(m_stateHashes.back(), entry));
    if (entry.kind == Consensus::EntryKind::Membership)
        m_membership = entry.membership;
}

void History::recordRestored(LogIndex index, uint64_t stateHash)
{
    if (index > last() || m_stateHashes[index.value()] != stateHash)
        addViolation("a snapshot differs from the applied entries" + at(index));
}

void History::recordLeader(const Consensus::State& state)
{
    const Consensus::MemberId& self = state.options.self;
    auto [it, added] = m_leaders.emplace(state.hard.term, self);
    if (it->second != self)
        addViolation("two leaders in term " + std::to_string(state.hard.term.value()));
    if (!m_checkedLeaders.emplace(state.hard.term, self).second)
        return;
    for (LogIndex i = firstIndex(state.log); i <= last(); i += LogIndex(1)) {
        if (m_firstAppliedInTerm[i.value() - 1] >= state.hard.term)
            return;
        if (i > lastIndex(state.log) || *entryAt(state.log, i) != m_entries[i.value() - 1]) {
            addViolation("a leader lacks a committed entry" + at(i));
            return;
        }
    }
}

void History::recordAcknowledged(const std::string& command, LogIndex index)
{
    if (!m_acknowledged.emplace(command, index).second)
        addViolation("a command was acknowledged twice");
    m_minimumReadIndex = std::max(m_minimumReadIndex, index);
}

void History::recordRead(LogIndex minimumIndex, LogIndex seen)
{
    ++m_reads;
    if (seen < minimumIndex)
        addViolation("a read missed entries known before it began" + at(seen));
    m_minimumReadIndex = std::max(m_minimumReadIndex, seen);
}

void History::finish()
{
    std::map<std::string, int> counts;
    for (const Entry& entry : m_entries) {
        if (entry.kind == Consensus::EntryKind::Command)
            ++counts[entry.command];
    }
    for (const auto& [command, index] : m_acknowledged) {
        if (counts[command] != 1 || m_entries[index.value() - 1].command != command)
            addViolation("an acknowledged command was not applied exactly once" + at(index));
    }
}
