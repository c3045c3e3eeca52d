#include "Http/Pool.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace Http {

struct Pool::Private {
    std::shared_ptr<Connection> acquire(const Common::Address&);
    void release(const Common::Address&, const std::shared_ptr<Connection>&);

    Common::Milliseconds timeout;
    std::mutex mutex; // Guards the members below.
    std::map<Common::Address, std::vector<std::shared_ptr<Connection>>> idle;
};

std::shared_ptr<Connection> Pool::Private::acquire(const Common::Address& peer)
{
    std::lock_guard lock(mutex);
    auto& connections = idle[peer];
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isOpen())
            return connection;
    }
    return std::make_shared<Connection>(peer, Reuse::Allowed, timeout);
}

void Pool::Private::release(const Common::Address& peer, const std::shared_ptr<Connection>& connection)
{
    if (!connection->isOpen())
        return;
    std::lock_guard lock(mutex);
    idle[peer].push_back(connection);
}

Pool::Pool(Common::Milliseconds timeout)
    : m_private(std::make_shared<Private>())
{
    m_private->timeout = timeout;
}

Pool::~Pool() = default;

void Pool::send(const Common::Address& peer, const Request& request, Done done)
{
    auto connection = m_private->acquire(peer);
    std::weak_ptr<Private> weak = m_private;
    connection->send(request, [weak, peer, connection, done = std::move(done)](Common::Result<Response> result) {
        if (auto self = weak.lock())
            self->release(peer, connection);
        done(std::move(result));
    });
}

} // namespace Http
