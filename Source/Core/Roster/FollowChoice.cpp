#include "Roster/FollowChoice.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Roster {

using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // A reply is due about every second. Followers must learn of leaving servers and of route changes well within 3 s.
    constexpr Milliseconds replyTimeout { 1'400 };
    // For the first reply, including the connect, before the next control instance is followed as well.
    constexpr Milliseconds firstReplyTimeout { 250 };
    // Bounds the load on the control instances while hundreds of followers start.
    constexpr size_t maximumAtStart = 5;
    constexpr Milliseconds retryDelay { 100 };
    constexpr Milliseconds eagerRetryDelay { 15 };
    constexpr Milliseconds eagerRetrySpread { 10 };
    constexpr Milliseconds eagerTime { 3'000 };

    bool isResponsive(const FollowedControl& control, TimePoint now)
    {
        if (control.hasFailed || !control.startedAt)
            return false;
        if (control.answeredAt)
            return now - *control.answeredAt < replyTimeout;
        return now - *control.startedAt < firstReplyTimeout;
    }

    std::vector<Address> inOrder(std::vector<Address> members, const std::map<Address, Common::FailureDomain>& domains,
        const Common::InstanceId& self, const Common::FailureDomain& own)
    {
        auto isLocal = [&](const Address& address) {
            auto it = domains.find(address);
            return it != domains.end() && it->second == own;
        };
        // The hash spreads followers over the control instances of other failure domains.
        auto sortKey = [&](const Address& address) {
            return std::pair(!isLocal(address), Common::hash64(address.value() + " " + self.value()));
        };
        std::sort(members.begin(), members.end(),
            [&](const Address& a, const Address& b) { return sortKey(a) < sortKey(b); });
        return members;
    }

} // namespace

std::vector<Address> chooseFollowed(const std::vector<Address>& members,
    const std::map<Address, Common::FailureDomain>& domains, const std::map<Address, FollowedControl>& followed,
    const Common::InstanceId& self, const Common::FailureDomain& own, TimePoint now)
{
    std::vector<Address> order = inOrder(members, domains, self, own);
    std::vector<Address> chosen;
    bool mayAddForRoster = true;
    // Each committed change is held by one instance of any majority.
    size_t majority = members.size() / 2 + 1;
    size_t responsive = 0;
    for (const Address& address : order) {
        chosen.push_back(address);
        auto it = followed.find(address);
        // One that is not followed yet first gets time to reply.
        if (it == followed.end() || !it->second.startedAt)
            break;
        if (!isResponsive(it->second, now))
            continue;
        ++responsive;
        if (it->second.isLogBehind) {
            if (responsive >= majority)
                break;
            continue;
        }
        if (!it->second.isRosterBehind || !mayAddForRoster)
            break;
        mayAddForRoster = false;
    }
    return chosen;
}

std::vector<Address> chooseAtStart(const std::vector<Address>& members,
    const std::map<Address, Common::FailureDomain>& domains, const Common::InstanceId& self,
    const Common::FailureDomain& own)
{
    std::vector<Address> chosen = inOrder(members, domains, self, own);
    chosen.resize(std::min(chosen.size(), maximumAtStart));
    return chosen;
}

Milliseconds retryPause(bool hasTable, Milliseconds sinceStart, double random)
{
    return hasTable || sinceStart > eagerTime ? retryDelay : eagerRetryDelay + eagerRetrySpread * random;
}

} // namespace Roster
