#include "Entry/LossDetector.h"

#include "Observe/Log.h"

using Observe::Part;

namespace Entry {

LossDetector::LossDetector(Backend::Client& backend, MembershipService& membership)
    : m_backend(backend)
    , m_membership(membership)
{
}

void LossDetector::onConnectionLost(const Backend::Target& target, Common::Incarnation incarnation,
    std::optional<Common::Fingerprint> fingerprint, Done done)
{
    bool isFirst = m_pending.withValue(target.server, [&](Pending& pending) {
        if (fingerprint)
            pending.fingerprints.push_back(*fingerprint);
        pending.callbacks.push_back(std::move(done));
        return pending.callbacks.size() == 1;
    });
    if (!isFirst)
        return;
    auto self = shared_from_this();
    m_backend.probe(target,
        [self, server = target.server, incarnation](bool alive) { self->onProbed(server, incarnation, alive); });
}

void LossDetector::onProbed(const Common::BackendServerId& server, Common::Incarnation incarnation, bool alive)
{
    auto pending = m_pending.take(server);
    if (!pending)
        return;
    if (!alive) {
        LOG_WARNING(Part::Membership,
            "Backend server " << server << " is lost with " << pending->callbacks.size() << " requests in flight.");
        if (!pending->fingerprints.empty())
            m_membership.reportLoss({ server, incarnation }, pending->fingerprints);
    }
    for (auto& done : pending->callbacks)
        done(!alive);
}

} // namespace Entry
