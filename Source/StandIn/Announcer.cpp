#include "StandIn/Announcer.h"

#include "Http/Pool.h"
#include "StandIn/Encoding.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace StandIn {

struct Announcer::Private {
    void work();
    void announce();

    AnnouncerOptions options;
    Source source;
    std::optional<Http::Pool> connections;
    uint64_t sequence { 0 };

    std::mutex mutex; // Guards all below.
    std::condition_variable changed;
    bool isRequested { false };
    bool isStopped { false };
    std::thread thread;
};

void Announcer::Private::work()
{
    std::unique_lock lock(mutex);
    while (!isStopped) {
        isRequested = false;
        lock.unlock();
        announce();
        lock.lock();
        changed.wait_for(lock, Common::Clock::toChrono(options.period), [this] { return isRequested || isStopped; });
    }
}

void Announcer::Private::announce()
{
    ++sequence;
    size_t n = sequence;
    for (Announcement& announcement : source()) {
        announcement.sequence = sequence;
        Http::Request request;
        request.method = "POST";
        request.path = "/v1/announcements";
        request.body = encodeAnnouncement(announcement);
        const Common::Address& entry = options.entries[n++ % options.entries.size()];
        connections->send(entry, request, [](const Common::Result<Http::Response>&) {
            // A failure needs no retry: the next announcement goes to the next entry instance.
        });
    }
}

Announcer::Announcer(AnnouncerOptions options, Source source)
    : m_private(std::make_unique<Private>())
{
    auto& d = *m_private;
    d.options = std::move(options);
    d.source = std::move(source);
    d.connections.emplace(d.options.period);
    if (!d.options.entries.empty())
        d.thread = std::thread([this] { m_private->work(); });
}

Announcer::~Announcer()
{
    {
        std::lock_guard lock(m_private->mutex);
        m_private->isStopped = true;
    }
    m_private->changed.notify_all();
    if (m_private->thread.joinable())
        m_private->thread.join();
}

void Announcer::announceNow()
{
    {
        std::lock_guard lock(m_private->mutex);
        m_private->isRequested = true;
    }
    m_private->changed.notify_all();
}

} // namespace StandIn
