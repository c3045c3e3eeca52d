#pragma once

#include "Once/Claims.h"

#include <map>
#include <optional>
#include <vector>

// Reference model of Claims without bounds: it keeps every id and every attempt for ever.
class ReferenceClaims {
public:
    struct Entry {
        std::optional<Once::Claim> first; // Determines route and body.
        std::optional<Once::AttemptRef> holder;
        bool unknown { false };
        bool reported { false };
        std::optional<Once::Done> done;
        std::vector<Once::AttemptRef> ended;
    };

    Once::ClaimOutcome claim(const Once::Claim& claim)
    {
        Entry& entry = m_entries[claim.id];
        if (entry.first && (entry.first->body != claim.body || entry.first->route != claim.route))
            return Once::Refused { Once::ClaimRefusal::OtherBody };
        if (entry.done)
            return *entry.done;
        if (entry.holder && entry.unknown) {
            if (*entry.holder != claim.by && !hasEnded(entry, claim.by))
                entry.ended.push_back(claim.by);
            return Once::HeldUnknown { *entry.holder };
        }
        if (entry.holder && *entry.holder != claim.by)
            return Once::Running { *entry.holder };
        if (entry.holder)
            return Once::Granted {};
        if (isOrphaned(claim.by))
            return Once::Refused { Once::ClaimRefusal::Orphaned };
        if (hasEnded(entry, claim.by))
            return Once::Refused { Once::ClaimRefusal::Superseded };
        entry.first = claim;
        entry.holder = claim.by;
        return Once::Granted {};
    }

    void record(const Once::Outcome& outcome)
    {
        Entry& entry = m_entries[outcome.id];
        bool isHolder = entry.holder == outcome.by;
        if (std::holds_alternative<Once::NotRun>(outcome.kind)) {
            if (isHolder && (entry.done || entry.reported))
                return;
            if (!hasEnded(entry, outcome.by))
                entry.ended.push_back(outcome.by);
            if (isHolder) {
                entry.holder.reset();
                entry.unknown = false;
            }
            return;
        }
        if (!isHolder || entry.done)
            return;
        entry.unknown = true;
        if (std::holds_alternative<Once::Unknown>(outcome.kind))
            entry.reported = true;
        else if (const auto* completed = std::get_if<Once::Completed>(&outcome.kind))
            entry.done = Once::Done { *completed };
        else
            entry.done = Once::Done { std::get<Once::RefusedByBackend>(outcome.kind) };
    }

    void orphan(const Once::Orphan& orphan)
    {
        m_orphans.push_back(orphan);
        for (auto& [id, entry] : m_entries) {
            if (entry.holder && isOrphaned(*entry.holder))
                entry.unknown = true;
        }
    }

    void forget(const Common::RequestId& id) { m_entries.erase(id); }

    // Whether an attempt of the id may have run.
    bool isHeld(const Common::RequestId& id) const
    {
        auto it = m_entries.find(id);
        return it != m_entries.end() && it->second.holder;
    }

private:
    bool isOrphaned(const Once::AttemptRef& by) const
    {
        for (const Once::Orphan& orphan : m_orphans) {
            if (orphan.owner == by.owner && by.incarnation <= orphan.incarnation)
                return true;
        }
        return false;
    }

    static bool hasEnded(const Entry& entry, const Once::AttemptRef& by)
    {
        for (const Once::AttemptRef& it : entry.ended) {
            if (it == by)
                return true;
        }
        return false;
    }

    std::map<Common::RequestId, Entry> m_entries;
    std::vector<Once::Orphan> m_orphans;
};
