#include "Consensus/Transfer.h"

#include "Consensus/Election.h"
#include "Consensus/Membership.h"
#include "Consensus/Replication.h"

namespace Consensus {

namespace {

    // Returns null if no other voter is active.
    const MemberId* mostCaughtUpVoter(const Context& c)
    {
        const State& state = c.state;
        const MemberId* found = nullptr;
        Common::LogIndex best;
        for (const auto& [id, progress] : state.leading.progress) {
            if (!isVoter(membership(state), id) || !isActive(c, id) || (found && progress.match <= best))
                continue;
            found = &id;
            best = progress.match;
        }
        return found;
    }

} // namespace

void startTransfer(Context& c)
{
    State& state = c.state;
    if (!isLeading(state) || state.leading.transfer)
        return;
    const MemberId* target = mostCaughtUpVoter(c);
    if (!target)
        return;
    state.leading.transfer = PendingTransfer { *target, c.now + state.options.electionTimeout };
    advanceTransfer(c);
}

void yieldLeadership(Context& c)
{
    const MemberId* target = mostCaughtUpVoter(c);
    if (!target)
        return;
    send(c, *target, TimeoutNow {});
    becomeFollower(c, c.state.hard.term, std::nullopt);
}

void advanceTransfer(Context& c)
{
    State& state = c.state;
    if (!isLeading(state) || !state.leading.transfer)
        return;
    const MemberId& target = state.leading.transfer->target;
    auto it = state.leading.progress.find(target);
    // Once the whole log is committed, no proposal has an unknown outcome because of the transfer.
    if (state.commit < lastIndex(state.log))
        return;
    if (it != state.leading.progress.end() && it->second.match == lastIndex(state.log))
        send(c, target, TimeoutNow {});
}

void expireTransfer(Context& c)
{
    std::optional<PendingTransfer>& transfer = c.state.leading.transfer;
    if (transfer && c.now >= transfer->until)
        transfer.reset();
}

void handleTimeoutNow(Context& c, const Message& message)
{
    State& state = c.state;
    if (state.role == Role::Follower && state.leader == message.from && isSelfVoter(state))
        startElection(c, true);
}

} // namespace Consensus
