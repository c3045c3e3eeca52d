#include "Roster/FollowChoice.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Roster {

using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // An answer is due about each second. Leaving servers have to be known well inside 3 s, and so have changes of
    // routes.
    constexpr Milliseconds hubSilence { 1'400 };
    // For the first answer, connecting included, before the next one is asked as well.
    constexpr Milliseconds firstAnswer { 250 };

    bool isGood(const FollowedControl& control, TimePoint now)
    {
        if (control.hasFailed || !control.startedAt)
            return false;
        if (control.answeredAt)
            return now - *control.answeredAt < hubSilence;
        return now - *control.startedAt < firstAnswer;
    }

} // namespace

std::vector<Address> chooseFollowed(const std::vector<Address>& members,
    const std::map<Address, Common::FailureDomain>& domains, const std::map<Address, FollowedControl>& followed,
    const Common::InstanceId& self, const Common::FailureDomain& own, TimePoint now)
{
    auto isNear = [&](const Address& address) {
        auto it = domains.find(address);
        return it != domains.end() && it->second == own;
    };
    // The far ones are spread over those that ask.
    auto rank = [&](const Address& address) {
        return std::pair(!isNear(address), Common::hash64(address.value() + " " + self.value()));
    };
    std::vector<Address> order = members;
    std::sort(order.begin(), order.end(), [&](const Address& a, const Address& b) { return rank(a) < rank(b); });
    std::vector<Address> chosen;
    bool oneMore = true;
    for (const Address& address : order) {
        chosen.push_back(address);
        auto it = followed.find(address);
        // One that is not asked yet gets its time first.
        if (it == followed.end() || !it->second.startedAt)
            break;
        if (!isGood(it->second, now))
            continue;
        if (!it->second.isBehind || !oneMore)
            break;
        oneMore = false;
    }
    return chosen;
}

} // namespace Roster
