#include "Peer/Client.h"

#include "Common/Hash.h"
#include "Peer/Channel.h"
#include "Peer/EventLoop.h"

#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Peer {

namespace {

    // Added to the payload of each call, so that the limits also count calls with an empty payload.
    constexpr int64_t callOverheadBytes = 256;
    constexpr int64_t maximumCallBytes = 32 << 20;

    // The channels of one event loop. Used on the loop's thread only.
    class ChannelPool {
    public:
        ChannelPool(kj::AsyncIoContext& io, const ClientOptions& options)
            : m_io(io)
            , m_options(options)
        {
        }

        void submit(const Common::Address& to, Call call)
        {
            auto& channel = m_channels[to];
            if (!channel)
                channel = std::make_unique<Channel>(m_io, m_options, to);
            channel->submit(std::move(call));
        }

    private:
        kj::AsyncIoContext& m_io;
        const ClientOptions& m_options;
        std::unordered_map<Common::Address, std::unique_ptr<Channel>> m_channels;
    };

    // One shard of the peers: an event loop with its channels, and the byte counts that callers' threads check.
    struct Shard {
        explicit Shard(const ClientOptions& options)
            : loop([&](kj::AsyncIoContext& io) {
                auto pool = std::make_shared<ChannelPool>(io, options);
                channels = pool;
                return pool;
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
        std::weak_ptr<ChannelPool> channels;
        EventLoop loop; // Declared last, since its thread uses the other members.
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
    const Common::Address& to, Service service, std::string payload, Common::Milliseconds timeout, Callback done)
{
    Shard& shard = m_private->shardOf(to);
    const int64_t bytes = static_cast<int64_t>(payload.size()) + callOverheadBytes;
    // Shared, since this function calls it itself if the loop has stopped and rejects the posted work.
    auto shared = std::make_shared<Callback>(std::move(done));
    auto fail = [&](Common::Reason reason, const char* message) {
        const auto error = callError(reason, to, message);
        if (!shard.loop.post([shared, error] { (*shared)(error); }))
            (*shared)(callError(Common::Reason::Unavailable, to, "the client has stopped"));
    };
    if (bytes > maximumCallBytes)
        return fail(Common::Reason::InvalidInput, "the payload is too large");
    if (!shard.reserve(to, bytes, m_private->options.maximumPending))
        return fail(Common::Reason::Overloaded, "too many pending bytes for this peer");
    Call call { service, std::move(payload), timeout.value() > 0 ? timeout : m_private->options.callTimeout,
        [&shard, to, bytes, shared](Common::Result<std::string> result) {
            shard.release(to, bytes);
            (*shared)(std::move(result));
        } };
    const bool isPosted = shard.loop.post([&shard, to, call = std::move(call)]() mutable {
        if (auto channels = shard.channels.lock())
            channels->submit(to, std::move(call));
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
