#include "Http/Pool.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace Http {

struct Pool::Private {
    std::shared_ptr<Connection> take(const Common::Address&);
    void put(const Common::Address&, const std::shared_ptr<Connection>&);

    Common::Milliseconds timeout;
    std::mutex mutex; // Guards what follows.
    std::map<Common::Address, std::vector<std::shared_ptr<Connection>>> idle;
};

std::shared_ptr<Connection> Pool::Private::take(const Common::Address& peer)
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

void Pool::Private::put(const Common::Address& peer, const std::shared_ptr<Connection>& connection)
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
    auto connection = m_private->take(peer);
    std::weak_ptr<Private> weak = m_private;
    connection->send(request, [weak, peer, connection, done = std::move(done)](Common::Result<Response> result) {
        if (auto self = weak.lock())
            self->put(peer, connection);
        done(std::move(result));
    });
}

} // namespace Http
