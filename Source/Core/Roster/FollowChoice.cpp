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

    bool isResponsive(const FollowedControl& control, TimePoint now)
    {
        if (control.hasFailed || !control.startedAt)
            return false;
        if (control.answeredAt)
            return now - *control.answeredAt < replyTimeout;
        return now - *control.startedAt < firstReplyTimeout;
    }

} // namespace

std::vector<Address> chooseFollowed(const std::vector<Address>& members,
    const std::map<Address, Common::FailureDomain>& domains, const std::map<Address, FollowedControl>& followed,
    const Common::InstanceId& self, const Common::FailureDomain& own, TimePoint now)
{
    auto isLocal = [&](const Address& address) {
        auto it = domains.find(address);
        return it != domains.end() && it->second == own;
    };
    // The hash spreads followers over the control instances of other failure domains.
    auto sortKey = [&](const Address& address) {
        return std::pair(!isLocal(address), Common::hash64(address.value() + " " + self.value()));
    };
    std::vector<Address> order = members;
    std::sort(order.begin(), order.end(), [&](const Address& a, const Address& b) { return sortKey(a) < sortKey(b); });
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

} // namespace Roster
