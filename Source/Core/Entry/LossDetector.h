#pragma once

#include "Backend/Client.h"
#include "Common/ShardedMap.h"
#include "Entry/MembershipService.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Entry {

// Distinguishes a lost backend server from a lost connection by opening a new connection to it. The requests that were
// in flight on a lost server are reported as one loss.
class LossDetector : public std::enable_shared_from_this<LossDetector> {
public:
    LossDetector(Backend::Client&, MembershipService&);

    // To be called when a request lost its connection. Its fingerprint, if given, is reported if the server is lost
    // too. Calls done when the probe of the server has ended.
    using Done = std::function<void(bool isServerLost)>;
    void onConnectionLost(const Backend::Target&, Common::Incarnation, std::optional<Common::Fingerprint>, Done done);

private:
    struct Pending {
        std::vector<Common::Fingerprint> fingerprints;
        std::vector<Done> callbacks;
    };

    void onProbed(const Common::BackendServerId&, Common::Incarnation, bool alive);

    Backend::Client& m_backend;
    MembershipService& m_membership;
    Common::ShardedMap<Common::BackendServerId, Pending> m_pending;
};

} // namespace Entry
