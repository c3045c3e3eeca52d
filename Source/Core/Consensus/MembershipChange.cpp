#include "Consensus/MembershipChange.h"

#include "Consensus/Membership.h"
#include "Consensus/Replication.h"

#include <algorithm>
#include <utility>

namespace Consensus {

namespace {

    // Only one change may be uncommitted at a time, and none is made before an entry of this term is committed.
    // Otherwise two memberships that differ by several changes could have disjoint majorities.
    bool canChangeMembership(const State& state)
    {
        return state.commit >= state.leading.firstIndexOfTerm && membershipIndex(state) <= state.commit
            && !state.leading.transfer;
    }

    void propose(Context& c, Membership next)
    {
        appendAsLeader(c, { .kind = EntryKind::Membership, .membership = std::move(next) });
        syncProgress(c);
        sendEntriesToAll(c);
    }

    bool mayJoin(const State& state, const Common::InstanceId& instance)
    {
        const auto& voters = state.options.initialVoters;
        return state.options.targetVoters || std::find(voters.begin(), voters.end(), instance) != voters.end()
            || findVoterOf(membership(state), instance) || findLearnerOf(membership(state), instance);
    }

    // Returns true if the member is active and holds what was committed at the previous heartbeat.
    bool hasCaughtUp(const Context& c, const MemberId& id)
    {
        auto it = c.state.leading.progress.find(id);
        return it != c.state.leading.progress.end() && isActive(c, id) && it->second.match >= it->second.catchUpTarget;
    }

    // Returns a voter that has been silent for longer than replaceVoterAfter; nullptr if there is none.
    const Member* findUnresponsiveVoter(const Context& c)
    {
        const std::vector<Member>& members = membership(c.state).members;
        auto isUnresponsive = [&](const Member& member) {
            auto it = c.state.leading.progress.find(member.id);
            return member.voter && member.id != c.state.options.self && it != c.state.leading.progress.end()
                && c.now - it->second.lastContact > c.state.options.replaceVoterAfter;
        };
        auto it = std::find_if(members.begin(), members.end(), isUnresponsive);
        return it == members.end() ? nullptr : &*it;
    }

    bool hasTargetVoterCount(const State& state)
    {
        size_t target = state.options.targetVoters;
        return target && voterCount(membership(state)) >= target;
    }

    // Returns true if it proposed a change.
    bool advanceLearner(Context& c, const MemberId& learner)
    {
        const Membership& current = membership(c.state);
        const Member* voter = findVoterOf(current, learner.instance);
        if (voter && isActive(c, voter->id)) {
            // The learner was added because of a delayed announcement; its instance is a voter under another storage
            // identity.
            if (isActive(c, learner))
                return false;
            propose(c, without(current, learner));
            return true;
        }
        if (!hasCaughtUp(c, learner))
            return false;
        if (!voter && hasTargetVoterCount(c.state)) {
            voter = findUnresponsiveVoter(c);
            if (!voter)
                return false;
        }
        propose(c, voter ? without(current, voter->id) : withPromoted(current, learner));
        return true;
    }

} // namespace

void maybeAddLearner(Context& c, const MemberId& id)
{
    const Membership& current = membership(c.state);
    if (!canChangeMembership(c.state) || find(current, id) || !mayJoin(c.state, id.instance))
        return;
    const Member* voter = findVoterOf(current, id.instance);
    if (voter && isActive(c, voter->id))
        return;
    propose(c, withLearner(current, id));
}

void advanceMembershipChange(Context& c)
{
    if (canChangeMembership(c.state)) {
        std::vector<Member> members = membership(c.state).members;
        for (const Member& member : members) {
            if (!member.voter && advanceLearner(c, member.id))
                break;
        }
    }
    for (auto& [id, progress] : c.state.leading.progress)
        progress.catchUpTarget = c.state.commit;
}

} // namespace Consensus
