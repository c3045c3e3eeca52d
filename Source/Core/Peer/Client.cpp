#include "Peer/Client.h"

#include "Common/Hash.h"
#include "Peer/EventLoop.h"
#include "Peer/Link.h"

#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Peer {

namespace {

    // A call without payload takes memory too.
    constexpr int64_t bytesOfCall = 256;
    constexpr int64_t maximumPayload = 32 << 20;

    // The links of one loop, on its thread.
    class Links {
    public:
        Links(kj::AsyncIoContext& io, const ClientOptions& options)
            : m_io(io)
            , m_options(options)
        {
        }

        void add(const Common::Address& to, Call call)
        {
            auto& link = m_links[to];
            if (!link)
                link = std::make_unique<Link>(m_io, m_options, to);
            link->add(std::move(call));
        }

    private:
        kj::AsyncIoContext& m_io;
        const ClientOptions& m_options;
        std::unordered_map<Common::Address, std::unique_ptr<Link>> m_links;
    };

    // One shard of the peers: a loop, and what callers' threads need to know of its links.
    struct Shard {
        explicit Shard(const ClientOptions& options)
            : loop([&](kj::AsyncIoContext& io) {
                auto made = std::make_shared<Links>(io, options);
                links = made;
                return made;
            })
        {
        }

        bool reserve(const Common::Address& to, int64_t bytes, Common::Bytes limit)
        {
            std::lock_guard lock(mutex);
            int64_t& pending = pendingBytes[to];
            if (pending + bytes > limit.value())
                return false;
            pending += bytes;
            return true;
        }

        void release(const Common::Address& to, int64_t bytes)
        {
            std::lock_guard lock(mutex);
            auto it = pendingBytes.find(to);
            it->second -= bytes;
            if (!it->second)
                pendingBytes.erase(it);
        }

        std::mutex mutex; // Guards pendingBytes.
        std::unordered_map<Common::Address, int64_t> pendingBytes;
        std::weak_ptr<Links> links;
        EventLoop loop; // Last: its thread uses the rest.
    };

    Common::Error callError(Common::Reason reason, const Common::Address& to, const char* message)
    {
        return Common::makeError(reason, "call", message, to.value());
    }

} // namespace

struct Client::Private {
    Shard& shardOf(const Common::Address& to) { return *shards[Common::hash64(to.value()) % shards.size()]; }

    ClientOptions options;
    std::vector<std::unique_ptr<Shard>> shards;
};

Client::Client(ClientOptions options)
    : m_private(std::make_unique<Private>())
{
    m_private->options = std::move(options);
    for (int i = 0; i < m_private->options.threads; ++i)
        m_private->shards.push_back(std::make_unique<Shard>(m_private->options));
}

Client::~Client() { stop(); }

void Client::call(
    const Common::Address& to, Service service, std::string payload, Common::Milliseconds timeout, Done done)
{
    Shard& shard = m_private->shardOf(to);
    const int64_t bytes = static_cast<int64_t>(payload.size()) + bytesOfCall;
    // Shared, since a loop that has stopped gives the work back by not taking it.
    auto shared = std::make_shared<Done>(std::move(done));
    auto fail = [&](Common::Reason reason, const char* message) {
        const auto error = callError(reason, to, message);
        if (!shard.loop.post([shared, error] { (*shared)(error); }))
            (*shared)(callError(Common::Reason::Unavailable, to, "the client has stopped"));
    };
    if (bytes > maximumPayload)
        return fail(Common::Reason::InvalidInput, "the payload is too large");
    if (!shard.reserve(to, bytes, m_private->options.maximumPending))
        return fail(Common::Reason::Overloaded, "too many bytes wait for this peer");
    Call call { service, std::move(payload), timeout.value() > 0 ? timeout : m_private->options.callTimeout,
        [&shard, to, bytes, shared](Common::Result<std::string> result) {
            shard.release(to, bytes);
            (*shared)(std::move(result));
        } };
    const bool isPosted = shard.loop.post([&shard, to, call = std::move(call)]() mutable {
        if (auto links = shard.links.lock())
            links->add(to, std::move(call));
    });
    if (isPosted)
        return;
    shard.release(to, bytes);
    (*shared)(callError(Common::Reason::Unavailable, to, "the client has stopped"));
}

void Client::stop()
{
    for (auto& shard : m_private->shards)
        shard->loop.stop();
}

} // namespace Peer
