#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Limits/SharedRate.h"

#include <map>
#include <string_view>
#include <vector>

// Which instance is the keeper of a subject, as one instance sees it: the first one by rendezvous hashing of the
// subject over the instances; the substitute is the second one.
//
// At most one keeper gives out the full rate, although instances learn of changes at different times. Control
// instances list an instance for 4 s after its last request. It grants only until 3 s after it sent the latest request
// that a control instance with an up-to-date log answered, by a clock that goes on while it is suspended. A new keeper
// settles while the lists may differ.
namespace Limits {

// Plain data. Instances are in contact while control instances answer them.
struct KeeperView {
    std::vector<Common::Address> instances;
    std::map<Common::Address, Common::TimePoint> leftAt; // Instances that were listed, and when this one learned it.
    Common::TimePoint forgottenUntil; // Instances that left before are no longer in leftAt.
    Common::TimePoint contactSince;
    Common::TimePoint leaseUntil;
    bool isLeaving { false }; // This instance gives out nothing more.
};

void setInstances(KeeperView&, std::vector<Common::Address>, const Common::Address& self, Common::TimePoint now);
// A control instance with an up-to-date log has answered a request sent at this time.
void renewLease(KeeperView&, Common::TimePoint sentAt, Common::TimePoint now);
bool hasLease(const KeeperView&, Common::TimePoint now);

struct RateKeepers {
    // Of this instance. Alone also for a keeper that has no lease, or that has joined and not settled yet.
    RateRole role { RateRole::Alone };
    Common::Address keeper; // Empty if no instance is known.
    Common::Address substitute; // Empty if there is no second one.
    Common::TimePoint settledAt; // If this is the keeper: its bucket is empty at that time.
};

RateKeepers keepersOf(const KeeperView&, std::string_view subject, const Common::Address& self, Common::TimePoint now);

} // namespace Limits
