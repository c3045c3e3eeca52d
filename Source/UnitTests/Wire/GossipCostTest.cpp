#include "Membership/GossipLoop.h"
#include "Wire/MembershipCodec.h"

#include <gtest/gtest.h>

using namespace Membership;
using Common::Milliseconds;

namespace {

constexpr size_t instances = 20;
constexpr size_t servers = 100;
constexpr size_t seconds = 20;

// Mean bytes per second that an instance sends while each server renews every two seconds at a random instance and
// nothing else changes.
double bytesPerSecond()
{
    GossipLoop loop({ .instances = instances, .seed = 1 });
    for (size_t i = 0; i < servers; ++i) {
        for (auto& it : loop.instances())
            merge(it.state.directory, ServerRecord { announcement(i, 1), instanceId(i % instances) }, loop.now());
    }
    loop.runFor(Milliseconds(2'000));
    loop.sizeOf = [](const GossipMessage& message) {
        return Wire::encodeGossip({ message, Observe::LogicalTime(123'456) }).size();
    };
    for (uint64_t n = 0; n < seconds; ++n) {
        for (size_t i = n % 2; i < servers; i += 2) {
            size_t receiver = loop.random().below(instances);
            receiveAnnouncement(loop.instance(receiver).state, announcement(i, 2 + n), loop.now());
        }
        loop.runFor(Milliseconds(1'000));
    }
    uint64_t bytes = 0;
    for (auto& it : loop.instances())
        bytes += it.bytesSent;
    return static_cast<double>(bytes) / static_cast<double>(seconds * instances);
}

} // namespace

TEST(GossipCost, RenewalsStayBelowTheirShareOfTheInstanceBudget)
{
    // The budget of an instance is 3 KB per second; 512 bytes leave the rest to control traffic.
    EXPECT_LT(bytesPerSecond(), 512);
}
