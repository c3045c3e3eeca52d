#include "Consensus/Founding.h"

#include "Common/Assert.h"
#include "Consensus/Election.h"
#include "Consensus/Membership.h"
#include "Consensus/MembershipChange.h"

#include <algorithm>
#include <set>

namespace Consensus {

using Common::InstanceId;
using Common::LogIndex;
using Common::Term;

namespace {

    // Election timeouts for which a member's word that it is in no group is believed.
    constexpr double freshTimeouts = 3;

    bool isInGroup(const State& state) { return membership(state).group != GroupId(0); }

    bool isFounder(const State& state)
    {
        const std::vector<InstanceId>& voters = state.options.initialVoters;
        auto it = std::min_element(voters.begin(), voters.end());
        return it != voters.end() && *it == state.options.self.instance;
    }

    bool allFresh(const Context& c)
    {
        const State& state = c.state;
        return std::all_of(
            state.options.initialVoters.begin(), state.options.initialVoters.end(), [&](const InstanceId& instance) {
                if (instance == state.options.self.instance)
                    return true;
                auto it = state.freshMembers.find(instance);
                return it != state.freshMembers.end()
                    && c.now - it->second.heardAt <= state.options.electionTimeout * freshTimeouts;
            });
    }

    Membership firstMembership(const State& state)
    {
        Membership first { GroupId(state.options.self.storage.value()), {} };
        for (const InstanceId& instance : state.options.initialVoters) {
            bool self = instance == state.options.self.instance;
            StorageId storage = self ? state.options.self.storage : state.freshMembers.at(instance).storage;
            first.members.push_back({ { instance, storage }, true });
        }
        return first;
    }

    void found(Context& c)
    {
        State& state = c.state;
        CORIANDERLOCK_INVARIANT(lastIndex(state.log) == LogIndex(0), "a group is founded on an empty log");
        Term term = std::max(state.hard.term, Term(1));
        setHardState(c, term, state.hard.vote);
        appendEntry(c,
            std::make_shared<const Entry>(Entry { .index = LogIndex(1),
                .term = term,
                .kind = EntryKind::Membership,
                .membership = firstMembership(state) }));
        state.freshMembers.clear();
        state.electionDue = c.now;
    }

    void foundIfAllFresh(Context& c)
    {
        if (!isInGroup(c.state) && isFounder(c.state) && allFresh(c))
            found(c);
    }

} // namespace

void announce(Context& c)
{
    State& state = c.state;
    state.announceDue = c.now + state.options.electionTimeout;
    if (find(membership(state), state.options.self) && leaderActive(c))
        return;
    sendAnnouncements(c);
    foundIfAllFresh(c);
}

void sendAnnouncements(Context& c)
{
    State& state = c.state;
    std::set<InstanceId> others = state.knownInstances;
    others.insert(state.options.initialVoters.begin(), state.options.initialVoters.end());
    others.insert(state.options.contacts.begin(), state.options.contacts.end());
    for (const Member& member : membership(state).members)
        others.insert(member.id.instance);
    others.erase(state.options.self.instance);
    for (const InstanceId& instance : others)
        send(c, { instance, StorageId(0) }, Announce {});
}

void handleAnnounce(Context& c, const Message& message)
{
    AnnounceReply reply { isInGroup(c.state), {} };
    for (const Member& member : membership(c.state).members)
        reply.members.push_back(member.id.instance);
    send(c, message.from, std::move(reply));
    if (isLeading(c.state))
        considerLearner(c, message.from);
}

void handleAnnounceReply(Context& c, const Message& message, const AnnounceReply& reply)
{
    c.state.knownInstances = { reply.members.begin(), reply.members.end() };
    if (reply.inGroup)
        c.state.freshMembers.erase(message.from.instance);
    else
        c.state.freshMembers[message.from.instance] = { message.from.storage, c.now };
    foundIfAllFresh(c);
}

} // namespace Consensus
