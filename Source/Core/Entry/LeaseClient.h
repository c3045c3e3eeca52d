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

// Holds this instance's lease and follows the configuration. Without a lease the instance takes no new work, so that
// nobody is answered from an old configuration.
class LeaseClient {
public:
    explicit LeaseClient(LeaseDependencies);
    ~LeaseClient();

    // Called after the configuration has changed.
    void onChange(std::function<void()>);
    void start();
    bool mayTakeWork() const;
    // The incarnation that holds or asks for the lease. It rises when control has ended the lease.
    Common::Incarnation incarnation() const;
    // Gives the lease back and ends the renewals; done is called when control knows, or after the time given.
    void release(Common::Milliseconds bound, std::function<void()> done);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Entry
