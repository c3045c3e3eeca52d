#pragma once

#include "Backend/Client.h"
#include "Common/Timers.h"
#include "Entry/ConfigurationView.h"
#include "Entry/ControlClient.h"
#include "Entry/LeaseClient.h"
#include "Entry/LossDetector.h"
#include "Entry/MembershipService.h"
#include "Entry/ServerTable.h"
#include "Observe/Metrics.h"
#include "Observe/Timeline.h"
#include "Once/Booking.h"

#include <functional>
#include <memory>

namespace Entry {

struct BookingRequest {
    Common::RequestId id;
    Common::RouteName route;
    std::string body;
    std::string contentType;
    bool mayBeResend { true }; // False only if the caller states that it has not sent this id before.
};

struct BookingDependencies {
    Common::InstanceId self;
    uint32_t claimShards { 1 };
    const ConfigurationView& configuration;
    ServerTable& servers;
    MembershipService& membership;
    LossDetector& losses;
    LeaseClient& lease;
    ControlClient& control;
    Backend::Client& backend;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Observe::Timeline& timeline;
};

// Runs at-most-once requests: carries out the decisions of the library Once. The bookings are in a sharded map with a
// lock per shard.
class BookingEngine {
public:
    explicit BookingEngine(BookingDependencies);
    ~BookingEngine();

    // Calls done once, from any thread.
    using Done = std::function<void(Once::Answer)>;
    void run(BookingRequest, Done done);
    // The number of bookings whose outcome is not recorded yet, including those already answered to the caller.
    size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
