#pragma once

#include "Consensus/Step.h"

#include <map>
#include <set>
#include <string>
#include <vector>

// Checks the actions of the members against a single sequence of entries. A read sees a prefix of the sequence and is
// linearizable if the prefix includes all entries that were acknowledged or seen by another read before it began.
class History {
public:
    // A member in this term applied the entry.
    void recordApplied(const Consensus::Entry&, Common::Term);
    // A member's state machine was replaced by a snapshot with this hash of all entries up to the index.
    void recordRestored(Common::LogIndex, uint64_t stateHash);
    // A member leads with this log, which must hold all entries committed in earlier terms. Entries committed in later
    // terms are not checked: delayed votes may elect a leader while one of a later term already commits.
    void recordLeader(const Consensus::State&);
    void recordAcknowledged(const std::string& command, Common::LogIndex);
    // The last index that a read beginning now must see.
    Common::LogIndex minimumReadIndex() const { return m_minimumReadIndex; }
    void recordRead(Common::LogIndex minimumIndex, Common::LogIndex seen);
    // Called at the end: checks that each acknowledged command was applied exactly once.
    void finish();

    Common::LogIndex last() const { return Common::LogIndex(m_entries.size()); }
    // The last applied membership; null if there is none.
    const Consensus::Membership* membership() const { return m_membership.members.empty() ? nullptr : &m_membership; }
    uint64_t reads() const { return m_reads; }
    size_t acknowledgedCount() const { return m_acknowledged.size(); }
    const std::vector<std::string>& violations() const { return m_violations; }
    void addViolation(std::string);

    static uint64_t mix(uint64_t stateHash, const Consensus::Entry&);

private:
    std::vector<Consensus::Entry> m_entries;
    std::vector<Common::Term> m_firstAppliedInTerm; // The term of the member that applied the entry first.
    std::vector<uint64_t> m_stateHashes { 0 }; // By index, after the entry was applied.
    Consensus::Membership m_membership;
    std::map<Common::Term, Consensus::MemberId> m_leaders;
    std::set<std::pair<Common::Term, Consensus::MemberId>> m_checkedLeaders;
    std::map<std::string, Common::LogIndex> m_acknowledged;
    Common::LogIndex m_minimumReadIndex;
    uint64_t m_reads { 0 };
    std::vector<std::string> m_violations;
};
