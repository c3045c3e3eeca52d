#include "Consensus/Context.h"

#include "Common/Assert.h"
#include "Consensus/Membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Consensus {

using Common::LogIndex;

Message makeMessage(const State& state, const MemberId& to, MessageBody body)
{
    return { state.options.self, to, membership(state).group, state.hard.term, std::move(body) };
}

void send(Context& c, const MemberId& to, MessageBody body)
{
    c.effects.messages.push_back(makeMessage(c.state, to, std::move(body)));
}

void sendAfterWrites(Context& c, const MemberId& to, MessageBody body)
{
    c.effects.messagesAfterWrites.push_back(makeMessage(c.state, to, std::move(body)));
}

void sendAfterHardState(Context& c, const MemberId& to, MessageBody body)
{
    if (c.state.hardStateWrite > c.state.persistedWrite)
        sendAfterWrites(c, to, std::move(body));
    else
        send(c, to, std::move(body));
}

Write& currentWrite(Context& c)
{
    if (!c.effects.write) {
        c.state.lastWrite += WriteNumber(1);
        c.effects.write.emplace();
        c.effects.write->number = c.state.lastWrite;
    }
    return *c.effects.write;
}

void setHardState(Context& c, Common::Term term, std::optional<MemberId> vote)
{
    HardState hard { term, std::move(vote) };
    CORIANDERLOCK_INVARIANT(hard.term >= c.state.hard.term, "the term never decreases");
    CORIANDERLOCK_INVARIANT(hard.term > c.state.hard.term || !c.state.hard.vote || hard.vote == c.state.hard.vote,
        "at most one vote per term");
    if (hard == c.state.hard)
        return;
    c.state.hard = hard;
    currentWrite(c).hard = std::move(hard);
    c.state.hardStateWrite = c.state.lastWrite;
}

void appendEntry(Context& c, EntryRef entry)
{
    if (entry->kind == EntryKind::Membership)
        c.state.memberships.emplace_back(entry->index, entry->membership);
    currentWrite(c).entries.push_back(entry);
    append(c.state.log, std::move(entry));
}

void truncateLog(Context& c, LogIndex index)
{
    State& state = c.state;
    CORIANDERLOCK_INVARIANT(index > state.commit, "committed entries are never truncated");
    CORIANDERLOCK_INVARIANT(state.role != Role::Leader, "a leader never truncates its log");
    truncateFrom(state.log, index);
    while (state.memberships.size() > 1 && state.memberships.back().first >= index)
        state.memberships.pop_back();
    Write& write = currentWrite(c);
    write.truncateFrom = index;
    LogIndex last = index - LogIndex(1);
    state.persisted = std::min(state.persisted, last);
    for (PendingWrite& it : state.pendingWrites)
        it.lastIndex = std::min(it.lastIndex, last);
}

void finishStep(Context& c)
{
    State& state = c.state;
    if (c.effects.write)
        state.pendingWrites.push_back({ c.effects.write->number, lastIndex(state.log), c.now });
    if (!state.pendingWrites.empty())
        return;
    auto& waiting = c.effects.messagesAfterWrites;
    std::move(waiting.begin(), waiting.end(), std::back_inserter(c.effects.messages));
    waiting.clear();
}

} // namespace Consensus
