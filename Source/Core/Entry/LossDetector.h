#pragma once

#include "Backend/Client.h"
#include "Common/ShardedMap.h"
#include "Entry/MembershipService.h"

#include <functional>
#include <memory>
#include <vector>

namespace Entry {

// Tells a lost backend server from a lost connection, by opening a new one. Requests that were in flight on a lost
// server are reported together.
class LossDetector : public std::enable_shared_from_this<LossDetector> {
public:
    LossDetector(Backend::Client&, MembershipService&);

    // A request with this fingerprint lost its connection. done is called once the server's state is known.
    void connectionLost(const Backend::Target&, Common::Incarnation, Common::Fingerprint, std::function<void()> done);

private:
    struct Pending {
        std::vector<Common::Fingerprint> fingerprints;
        std::vector<std::function<void()>> waiting;
    };

    void probed(const Common::BackendServerId&, Common::Incarnation, bool alive);

    Backend::Client& m_backend;
    MembershipService& m_membership;
    Common::ShardedMap<Common::BackendServerId, Pending> m_pending;
};

} // namespace Entry
