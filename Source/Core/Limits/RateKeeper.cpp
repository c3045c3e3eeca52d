#include "Limits/RateKeeper.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Limits {

using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    constexpr Milliseconds leaseTime { 3'000 };
    // The time during which instances may have different lists of instances.
    constexpr Milliseconds settlingTime { 1'000 };
    // More than the instances of a deployment that restarts a few times.
    constexpr size_t rememberedDepartures = 1'000;

    uint64_t weightOf(const Address& address, uint64_t subject) { return Common::hash64(address.value(), subject); }

} // namespace

void setInstances(KeeperView& view, std::vector<Address> instances, const Address& self, TimePoint now)
{
    std::sort(instances.begin(), instances.end());
    auto isIn = [](const std::vector<Address>& list, const Address& address) {
        return std::binary_search(list.begin(), list.end(), address);
    };
    for (const Address& address : view.instances) {
        if (!isIn(instances, address))
            view.leftAt[address] = now;
    }
    for (const Address& address : instances)
        view.leftAt.erase(address);
    if (isIn(instances, self) && !isIn(view.instances, self))
        view.contactSince = now;
    while (view.leftAt.size() > rememberedDepartures) {
        auto first = std::min_element(view.leftAt.begin(), view.leftAt.end(),
            [](const auto& one, const auto& other) { return one.second < other.second; });
        view.forgottenUntil = std::max(view.forgottenUntil, first->second);
        view.leftAt.erase(first);
    }
    view.instances = std::move(instances);
}

void renewLease(KeeperView& view, TimePoint sentAt, TimePoint now)
{
    if (!hasLease(view, now))
        view.contactSince = now;
    view.leaseUntil = std::max(view.leaseUntil, sentAt + leaseTime);
}

bool hasLease(const KeeperView& view, TimePoint now) { return !view.isLeaving && now < view.leaseUntil; }

RateKeepers keepersOf(const KeeperView& view, std::string_view subject, const Address& self, TimePoint now)
{
    uint64_t seed = Common::hash64(subject);
    const Address* first = nullptr;
    const Address* second = nullptr;
    uint64_t most = 0;
    uint64_t secondMost = 0;
    for (const Address& address : view.instances) {
        uint64_t weight = weightOf(address, seed);
        if (!first || weight > most) {
            second = std::exchange(first, &address);
            secondMost = std::exchange(most, weight);
        } else if (!second || weight > secondMost) {
            second = &address;
            secondMost = weight;
        }
    }
    RateKeepers keepers;
    if (!first)
        return keepers;
    keepers.keeper = *first;
    keepers.substitute = second ? *second : Address();
    keepers.role = keepers.substitute == self ? RateRole::Substitute : RateRole::Asker;
    if (keepers.keeper != self)
        return keepers;
    TimePoint since = std::max(view.contactSince, view.forgottenUntil);
    for (auto& [address, at] : view.leftAt) {
        if (weightOf(address, seed) > most)
            since = std::max(since, at);
    }
    keepers.settledAt = since + settlingTime;
    // After an absence the others have used two reserves already: that of the substitute before they chose a new
    // keeper, and that of the next substitute while the new keeper settled. A third one would exceed the slack.
    bool isBack = now < view.contactSince + settlingTime && second;
    if (!hasLease(view, now) || isBack)
        keepers.role = RateRole::Alone;
    else
        keepers.role = now < keepers.settledAt ? RateRole::Settling : RateRole::Keeper;
    return keepers;
}

} // namespace Limits
