#pragma once

#include "Backend/Client.h"
#include "Common/ShardedMap.h"
#include "Entry/MembershipService.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Entry {

// Tells a lost backend server from a lost connection, by opening a new one. Requests that were in flight on a lost
// server are reported together.
class LossDetector : public std::enable_shared_from_this<LossDetector> {
public:
    LossDetector(Backend::Client&, MembershipService&);

    // A request lost its connection; its fingerprint, if one is given, is reported if the server is lost too. done is
    // called once the server's state is known.
    using Done = std::function<void(bool isServerLost)>;
    void connectionLost(const Backend::Target&, Common::Incarnation, std::optional<Common::Fingerprint>, Done done);

private:
    struct Pending {
        std::vector<Common::Fingerprint> fingerprints;
        std::vector<Done> waiting;
    };

    void probed(const Common::BackendServerId&, Common::Incarnation, bool alive);

    Backend::Client& m_backend;
    MembershipService& m_membership;
    Common::ShardedMap<Common::BackendServerId, Pending> m_pending;
};

} // namespace Entry
