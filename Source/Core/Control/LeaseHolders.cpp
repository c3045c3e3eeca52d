#include "Control/LeaseHolders.h"

namespace Control {

void applyChange(LeaseHolders& holders, const HolderChange& change)
{
    for (const LiveInstance& instance : change.joined) {
        auto [it, isNew] = holders.try_emplace(instance.id, instance);
        if (!isNew && it->second.incarnation <= instance.incarnation)
            it->second = instance;
    }
    for (const EndedLease& ended : change.left) {
        auto it = holders.find(ended.id);
        if (it != holders.end() && it->second.incarnation == ended.incarnation)
            holders.erase(it);
    }
}

} // namespace Control
