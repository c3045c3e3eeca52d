#include "Consensus/History.h"

#include "Common/Hash.h"

#include <algorithm>

using Common::LogIndex;
using Consensus::Entry;

namespace {

std::string at(LogIndex index) { return " at " + std::to_string(index.value()); }

} // namespace

uint64_t History::mix(uint64_t machine, const Entry& entry)
{
    return Common::hash64(entry.command + std::to_string(entry.term.value()), machine + entry.index.value());
}

void History::violation(std::string what)
{
    if (m_violations.size() < 5)
        m_violations.push_back(std::move(what));
}

void History::applied(const Entry& entry, Common::Term term)
{
    if (entry.index <= last()) {
        if (m_entries[entry.index.value() - 1] != entry)
            violation("two members applied different entries" + at(entry.index));
        return;
    }
    if (entry.index != last() + LogIndex(1)) {
        violation("an entry was skipped before" + at(entry.index));
        return;
    }
    m_entries.push_back(entry);
    m_appliedIn.push_back(term);
    m_machines.push_back(mix(m_machines.back(), entry));
    if (entry.kind == Consensus::EntryKind::Membership)
        m_membership = entry.membership;
}

void History::restored(LogIndex index, uint64_t machine)
{
    if (index > last() || m_machines[index.value()] != machine)
        violation("a snapshot is not what was applied" + at(index));
}

void History::leads(const Consensus::State& state)
{
    const Consensus::MemberId& self = state.options.self;
    auto [it, added] = m_leaders.emplace(state.hard.term, self);
    if (it->second != self)
        violation("two leaders in term " + std::to_string(state.hard.term.value()));
    if (!m_checkedLeaders.emplace(state.hard.term, self).second)
        return;
    for (LogIndex i = firstIndex(state.log); i <= last(); i += LogIndex(1)) {
        if (m_appliedIn[i.value() - 1] >= state.hard.term)
            return;
        if (i > lastIndex(state.log) || *entryAt(state.log, i) != m_entries[i.value() - 1]) {
            violation("a leader lacks a committed entry" + at(i));
            return;
        }
    }
}

void History::acknowledged(const std::string& command, LogIndex index)
{
    if (!m_acknowledged.emplace(command, index).second)
        violation("a command was acknowledged twice");
    m_floor = std::max(m_floor, index);
}

void History::readDone(LogIndex floor, LogIndex seen)
{
    ++m_reads;
    if (seen < floor)
        violation("a read saw less than was known before it began" + at(seen));
    m_floor = std::max(m_floor, seen);
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
            violation("an acknowledged command is not in the list once" + at(index));
    }
}
