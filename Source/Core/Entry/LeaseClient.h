#pragma once

#include "Control/HeldLease.h"
#include "Entry/ConfigurationView.h"
#include "Entry/ControlClient.h"
#include "Entry/MembershipService.h"
#include "Observe/Metrics.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>

namespace Entry {

struct LeaseDependencies {
    Control::LiveInstance self;
    const Settings::Control& settings;
    ConfigurationView& configuration;
    ControlClient& control;
    MembershipService& membership;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Observe::Timeline& timeline;
};

// Renews this instance's lease and follows the configuration. Without a lease the instance accepts no new work, so no
// request is answered from a stale configuration.
class LeaseClient {
public:
    explicit LeaseClient(LeaseDependencies);
    ~LeaseClient();

    // Sets the function to call after the configuration has changed. Call before start().
    void onChange(std::function<void()>);
    void start();
    bool mayTakeWork() const;
    // The incarnation that holds or requests the lease. It increases when control has ended the previous one.
    Common::Incarnation incarnation() const;
    // Releases the lease and stops renewing it. Calls done when control has confirmed, or after the timeout.
    void release(Common::Milliseconds timeout, std::function<void()> done);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
