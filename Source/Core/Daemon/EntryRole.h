#pragma once

#include "Common/Timers.h"
#include "Entry/BookingEngine.h"
#include "Entry/ControlClient.h"
#include "Entry/MembershipService.h"
#include "Entry/QueryEngine.h"
#include "Observe/Timeline.h"
#include "Peer/Client.h"
#include "Settings/Settings.h"

#include <memory>

namespace Daemon {

struct EntryDependencies {
    const Settings::Daemon& settings;
    Common::Incarnation incarnation;
    Common::Address peerAddress;
    Peer::Client& peers;
    Entry::ControlClient& control;
    Common::Timers& timers;
    Observe::Metrics& metrics;
    Observe::Timeline& timeline;
};

// The role of an entry instance. Accepts callers' requests and backend servers' announcements.
class EntryRole {
public:
    explicit EntryRole(EntryDependencies);
    ~EntryRole();

    void start();
    // Handles a message of the service Gossip.
    void gossip(std::string_view bytes);

    // Returns why new work is refused, or nullopt if it is accepted.
    std::optional<Common::Error> refusal() const;
    // Returns why the load balancer should send no requests here, or nullopt if it may. Requests that arrive anyway are
    // served unless refusal() returns an error.
    std::optional<Common::Error> notReadyReason() const;
    void query(Entry::QueryRequest, Entry::QueryEngine::Done);
    void run(Entry::BookingRequest, Entry::BookingEngine::Done);
    Membership::AnnounceStatus announce(const Membership::Announcement&);

    std::shared_ptr<const Membership::Directory> directory() const;
    // Returns all known instances, including this one.
    std::vector<Membership::InstanceRecord> instances() const;
    std::vector<Common::Address> otherInstances() const;

    // Starts a planned stop: new work is refused.
    void drain();
    size_t inFlight() const;
    // Must be called after the last answer. Releases the lease, for which it waits up to the bound, and stops.
    void stop(Common::Milliseconds bound);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Daemon
