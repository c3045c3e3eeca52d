#include "Consensus/Bootstrap.h"

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

    // Number of election timeouts for which a reply that a member is in no group remains valid.
    constexpr double announcementValidTimeouts = 3;
    // After a power loss the others may start slightly later than this member.
    constexpr size_t maximumEarlyAnnouncements = 16;

    bool isInGroup(const State& state) { return membership(state).group != GroupId(0); }

    bool isBootstrapMember(const State& state)
    {
        const std::vector<InstanceId>& voters = state.options.initialVoters;
        auto it = std::min_element(voters.begin(), voters.end());
        return it != voters.end() && *it == state.options.self.instance;
    }

    bool allInitialVotersAnnounced(const Context& c)
    {
        const State& state = c.state;
        return std::all_of(
            state.options.initialVoters.begin(), state.options.initialVoters.end(), [&](const InstanceId& instance) {
                if (instance == state.options.self.instance)
                    return true;
                auto it = state.announcedMembers.find(instance);
                return it != state.announcedMembers.end()
                    && c.now - it->second.lastContact <= state.options.electionTimeout * announcementValidTimeouts;
            });
    }

    Membership initialMembership(const State& state)
    {
        Membership initial { GroupId(state.options.self.storage.value()), {} };
        for (const InstanceId& instance : state.options.initialVoters) {
            bool self = instance == state.options.self.instance;
            StorageId storage = self ? state.options.self.storage : state.announcedMembers.at(instance).storage;
            initial.members.push_back({ { instance, storage }, true });
        }
        return initial;
    }

    void bootstrap(Context& c)
    {
        State& state = c.state;
        CORIANDERLOCK_INVARIANT(lastIndex(state.log) == LogIndex(0), "a group is bootstrapped on an empty log");
        Term term = std::max(state.hard.term, Term(1));
        setHardState(c, term, state.hard.vote);
        appendEntry(c,
            std::make_shared<const Entry>(Entry { .index = LogIndex(1),
                .term = term,
                .kind = EntryKind::Membership,
                .membership = initialMembership(state) }));
        state.announcedMembers.clear();
        state.electionDue = c.now;
    }

    void bootstrapIfAllAnnounced(Context& c)
    {
        if (!isInGroup(c.state) && isBootstrapMember(c.state) && allInitialVotersAnnounced(c))
            bootstrap(c);
    }

} // namespace

void announce(Context& c)
{
    State& state = c.state;
    bool isEarly = state.earlyAnnouncements < maximumEarlyAnnouncements;
    state.earlyAnnouncements += isEarly ? 1 : 0;
    state.announceDue = c.now + (isEarly ? firstRoundDelay(state) : state.options.electionTimeout);
    if (find(membership(state), state.options.self) && hasActiveLeader(c))
        return;
    sendAnnouncements(c);
    bootstrapIfAllAnnounced(c);
}

void sendAnnouncements(Context& c)
{
    State& state = c.state;
    std::set<InstanceId> others = state.discoveredInstances;
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
        maybeAddLearner(c, message.from);
}

void handleAnnounceReply(Context& c, const Message& message, const AnnounceReply& reply)
{
    c.state.earlyAnnouncements = maximumEarlyAnnouncements;
    c.state.discoveredInstances = { reply.members.begin(), reply.members.end() };
    if (reply.inGroup)
        c.state.announcedMembers.erase(message.from.instance);
    else
        c.state.announcedMembers[message.from.instance] = { message.from.storage, c.now };
    bootstrapIfAllAnnounced(c);
}

} // namespace Consensus
