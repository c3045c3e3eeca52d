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

// An entry instance: takes callers' requests and backend servers' announcements.
class EntryRole {
public:
    explicit EntryRole(EntryDependencies);
    ~EntryRole();

    void start();
    // Bytes of the service Gossip.
    void gossip(std::string_view bytes);

    // Why no new work is taken now; nothing if it is.
    std::optional<Common::Error> refusal() const;
    // Why the balancer should send nobody here; nothing if it may. Who comes all the same is served unless refusal()
    // says otherwise.
    std::optional<Common::Error> notReadyReason() const;
    void query(Entry::QueryRequest, Entry::QueryEngine::Done);
    void run(Entry::BookingRequest, Entry::BookingEngine::Done);
    Membership::AnnounceStatus announce(const Membership::Announcement&);

    std::shared_ptr<const Membership::Directory> directory() const;
    // All instances that are known, this one among them.
    std::vector<Membership::InstanceRecord> instances() const;
    std::vector<Common::Address> otherInstances() const;

    // A planned stop: from now on no new work.
    void drain();
    size_t inFlight() const;
    // After the last answer: gives back the lease and ends.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Daemon
