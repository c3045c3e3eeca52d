#pragma once

#include "Backend/Client.h"
#include "Common/Timers.h"
#include "Entry/ConfigurationView.h"
#include "Entry/ControlClient.h"
#include "Entry/LeaseClient.h"
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
    bool mayBeResend { true }; // False only if the caller says that it never sent this id before.
};

struct BookingDependencies {
    Common::InstanceId self;
    uint32_t claimShards { 1 };
    const ConfigurationView& configuration;
    ServerTable& servers;
    LeaseClient& lease;
    ControlClient& control;
    Backend::Client& backend;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Observe::Timeline& timeline;
};

// Runs requests that may not be repeated: carries out what Once decides. Bookings are in a map in shards, each under
// its own lock.
class BookingEngine {
public:
    explicit BookingEngine(BookingDependencies);
    ~BookingEngine();

    // done is called once, from any thread.
    using Done = std::function<void(Once::Answer)>;
    void run(BookingRequest, Done done);
    // Those whose outcome is not recorded yet, also if the caller has its answer.
    size_t inFlight() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
