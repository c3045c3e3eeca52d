#include "Consensus/Membership.h"

#include <algorithm>

namespace Consensus {

namespace {

    const Member* findIf(const Membership& membership, const std::function<bool(const Member&)>& condition)
    {
        auto it = std::find_if(membership.members.begin(), membership.members.end(), condition);
        return it == membership.members.end() ? nullptr : &*it;
    }

} // namespace

const Member* find(const Membership& membership, const MemberId& id)
{
    return findIf(membership, [&](const Member& m) { return m.id == id; });
}

const Member* findVoterOf(const Membership& membership, const Common::InstanceId& instance)
{
    return findIf(membership, [&](const Member& m) { return m.voter && m.id.instance == instance; });
}

const Member* findLearnerOf(const Membership& membership, const Common::InstanceId& instance)
{
    return findIf(membership, [&](const Member& m) { return !m.voter && m.id.instance == instance; });
}

bool isVoter(const Membership& membership, const MemberId& id)
{
    const Member* member = find(membership, id);
    return member && member->voter;
}

size_t voterCount(const Membership& membership)
{
    return static_cast<size_t>(
        std::count_if(membership.members.begin(), membership.members.end(), [](const Member& m) { return m.voter; }));
}

size_t quorum(const Membership& membership) { return voterCount(membership) / 2 + 1; }

size_t commitQuorum(const Membership& membership, size_t minimumCopies)
{
    return std::max(quorum(membership), std::min(minimumCopies, voterCount(membership)));
}

bool hasQuorum(const Membership& membership, const std::function<bool(const MemberId&)>& condition)
{
    auto n = std::count_if(membership.members.begin(), membership.members.end(),
        [&](const Member& m) { return m.voter && condition(m.id); });
    return static_cast<size_t>(n) >= quorum(membership);
}

Membership withLearner(Membership membership, const MemberId& id)
{
    std::erase_if(membership.members, [&](const Member& m) { return !m.voter && m.id.instance == id.instance; });
    membership.members.push_back({ id, false });
    return membership;
}

Membership withPromoted(Membership membership, const MemberId& id)
{
    for (Member& member : membership.members) {
        if (member.id == id)
            member.voter = true;
    }
    return membership;
}

Membership without(Membership membership, const MemberId& id)
{
    std::erase_if(membership.members, [&](const Member& m) { return m.id == id; });
    return membership;
}

} // namespace Consensus
