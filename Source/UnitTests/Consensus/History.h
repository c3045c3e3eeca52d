#pragma once

#include "Consensus/Step.h"

#include <map>
#include <set>
#include <string>
#include <vector>

// What the members did, checked against a single copy: one list of entries that only grows. A read sees a prefix of
// it, so it is linearizable if that prefix holds all that was acknowledged, and all that another read saw, before it
// began.
class History {
public:
    // A member that is in this term applied the entry.
    void applied(const Consensus::Entry&, Common::Term);
    // A member's state machine, here a hash of all entries up to the index, was replaced by this one.
    void restored(Common::LogIndex, uint64_t machine);
    // A member leads, with this log. It must hold what was committed in earlier terms; while a later leader commits
    // more, late votes may still bring it to the lead.
    void leads(const Consensus::State&);
    void acknowledged(const std::string& command, Common::LogIndex);
    // The prefix that a read beginning now has to see.
    Common::LogIndex readFloor() const { return m_floor; }
    void readDone(Common::LogIndex floor, Common::LogIndex seen);
    // Once all is quiet: each acknowledged command is in the list once.
    void finish();

    Common::LogIndex last() const { return Common::LogIndex(m_entries.size()); }
    // The last membership that was applied; null if none was.
    const Consensus::Membership* membership() const { return m_membership.members.empty() ? nullptr : &m_membership; }
    uint64_t reads() const { return m_reads; }
    size_t acknowledgedCount() const { return m_acknowledged.size(); }
    const std::vector<std::string>& violations() const { return m_violations; }
    void violation(std::string);

    static uint64_t mix(uint64_t machine, const Consensus::Entry&);

private:
    std::vector<Consensus::Entry> m_entries;
    std::vector<Common::Term> m_appliedIn; // The term of the member that applied the entry first.
    std::vector<uint64_t> m_machines { 0 }; // By index, after the entry was applied.
    Consensus::Membership m_membership;
    std::map<Common::Term, Consensus::MemberId> m_leaders;
    std::set<std::pair<Common::Term, Consensus::MemberId>> m_checkedLeaders;
    std::map<std::string, Common::LogIndex> m_acknowledged;
    Common::LogIndex m_floor;
    uint64_t m_reads { 0 };
    std::vector<std::string> m_violations;
};
