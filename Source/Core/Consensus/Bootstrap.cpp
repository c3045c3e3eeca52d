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

    // Number of election timeouts for which a reply to an announcement remains valid.
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

    bool isReplyValid(const Context& c, Common::TimePoint receivedAt)
    {
        return c.now - receivedAt <= c.state.options.electionTimeout * announcementValidTimeouts;
    }

    bool allInitialVotersAnnounced(const Context& c)
    {
        const State& state = c.state;
        return std::all_of(
            state.options.initialVoters.begin(), state.options.initialVoters.end(), [&](const InstanceId& instance) {
                if (instance == state.options.self.instance)
                    return true;
                auto it = state.announcedMembers.find(instance);
                return it != state.announcedMembers.end() && isReplyValid(c, it->second.lastContact);
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

    std::set<InstanceId> instancesToAsk(const State& state)
    {
        std::set<InstanceId> others;
        for (const auto& [source, named] : state.namedMembers)
            others.insert(named.instances.begin(), named.instances.end());
        others.insert(state.options.initialVoters.begin(), state.options.initialVoters.end());
        others.insert(state.options.contacts.begin(), state.options.contacts.end());
        for (const Member& member : membership(state).members)
            others.insert(member.id.instance);
        others.erase(state.options.self.instance);
        return others;
    }

    // Lists of different members are merged, since nothing tells which one is newer: one that was removed from the
    // group while it was down names the members of that time. A list is dropped once its source has been silent and
    // another member has replied, so that the last known members are never forgotten.
    void rememberMembers(Context& c, const InstanceId& source, const std::vector<InstanceId>& members)
    {
        auto& lists = c.state.namedMembers;
        std::set<InstanceId> asked = instancesToAsk(c.state);
        std::erase_if(lists, [&](const auto& pair) { return !isReplyValid(c, pair.second.receivedAt); });
        lists[source] = { members, c.now };
        // Only the leader admits a member. It may be one of those that were not known before.
        for (const InstanceId& instance : instancesToAsk(c.state)) {
            if (!asked.contains(instance))
                send(c, { instance, StorageId(0) }, Announce {});
        }
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
    for (const InstanceId& instance : instancesToAsk(c.state))
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
    if (reply.inGroup) {
        c.state.announcedMembers.erase(message.from.instance);
        rememberMembers(c, message.from.instance, reply.members);
    } else {
        c.state.announcedMembers[message.from.instance] = { message.from.storage, c.now };
    }
    bootstrapIfAllAnnounced(c);
}

void handleMessageToEarlierStorage(Context& c, const Message& message)
{
    bool isFromOtherGroup
        = message.group == GroupId(0) || (isInGroup(c.state) && message.group != membership(c.state).group);
    if (isFromOtherGroup || find(membership(c.state), c.state.options.self))
        return;
    if (!c.state.namedMembers.contains(message.from.instance))
        rememberMembers(c, message.from.instance, { message.from.instance });
}

} // namespace Consensus
