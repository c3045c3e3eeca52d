#include "Consensus/State.h"

#include "Common/Assert.h"
#include "Consensus/Membership.h"

namespace Consensus {

using Common::LogIndex;
using Common::TimePoint;

namespace {

    // Of the election timeout: the shortest time from a start to the first election round. Several round trips and disk
    // syncs of the members fit in it.
    constexpr double firstRoundShare = 0.1;

} // namespace

State makeState(Options options, Recovered recovered, uint64_t seed, TimePoint now)
{
    State state;
    state.options = std::move(options);
    state.random = Common::Random(seed);
    state.hard = recovered.hard;
    state.snapshot = std::move(recovered.snapshot);
    state.memberships.emplace_back(LogIndex(0), Membership {});
    if (state.snapshot) {
        const SnapshotMeta& meta = state.snapshot->meta;
        reset(state.log, meta.index, meta.term);
        state.memberships = { { meta.index, meta.membership } };
        state.commit = meta.index;
        state.delivered = meta.index;
    }
    for (EntryRef& entry : recovered.entries) {
        if (entry->index <= state.log.base)
            continue;
        if (entry->kind == EntryKind::Membership)
            state.memberships.emplace_back(entry->index, entry->membership);
        append(state.log, std::move(entry));
    }
    state.persisted = lastIndex(state.log);
    // Short, since after a power loss of all members no request is served until a leader is elected. Pre-vote denies
    // the round where a leader is active, and the votes that this member has granted are durable.
    state.electionDue = now + firstRoundDelay(state);
    state.announceDue = now;
    return state;
}

Common::Milliseconds firstRoundDelay(State& state)
{
    return state.options.electionTimeout * (firstRoundShare * (1 + state.random.unit()));
}

const Membership& membership(const State& state) { return state.memberships.back().second; }

LogIndex membershipIndex(const State& state) { return state.memberships.back().first; }

const Membership& membershipAt(const State& state, LogIndex index)
{
    for (auto it = state.memberships.rbegin(); it != state.memberships.rend(); ++it) {
        if (it->first <= index)
            return it->second;
    }
    Common::invariantFailed(
        "membershipAt", "the membership at an index from the snapshot on is known", __FILE__, __LINE__);
}

bool isSelfVoter(const State& state) { return isVoter(membership(state), state.options.self); }

bool isLeading(const State& state) { return state.role == Role::Leader; }

TimePoint nextTick(const State& state)
{
    if (isLeading(state))
        return state.leading.heartbeatDue;
    return isSelfVoter(state) ? state.electionDue : state.announceDue;
}

} // namespace Consensus
