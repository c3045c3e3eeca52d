#define _TURN_OFF_PLATFORM_STRING // NOLINT(bugprone-reserved-identifier): the library names it.
#include "StandIn/Announcer.h"

#include "StandIn/Encoding.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include <cpprest/http_client.h>

namespace StandIn {

namespace {

    namespace Http = web::http;
    using HttpClient = web::http::client::http_client;

} // namespace

struct Announcer::Private {
    void work();
    void announce();

    AnnouncerOptions options;
    Source source;
    std::vector<std::unique_ptr<HttpClient>> clients; // One for each entry.
    uint64_t sequence { 0 };

    std::mutex mutex; // Guards all below.
    std::condition_variable changed;
    bool isWoken { false };
    bool isStopped { false };
    std::thread thread;
};

void Announcer::Private::work()
{
    std::unique_lock lock(mutex);
    while (!isStopped) {
        isWoken = false;
        lock.unlock();
        announce();
        lock.lock();
        changed.wait_for(lock, Common::Clock::toChrono(options.period), [this] { return isWoken || isStopped; });
    }
}

void Announcer::Private::announce()
{
    ++sequence;
    size_t n = sequence;
    for (Announcement& announcement : source()) {
        announcement.sequence = sequence;
        Http::http_request request(Http::methods::POST);
        request.set_request_uri("/v1/announcements");
        request.set_body(encodeAnnouncement(announcement), "application/json");
        clients[n++ % clients.size()]->request(request).then([](const pplx::task<Http::http_response>& task) {
            try {
                task.get();
            } catch (const std::exception&) {
                // The next announcement goes to the next entry.
            }
        });
    }
}

Announcer::Announcer(AnnouncerOptions options, Source source)
    : m_private(std::make_unique<Private>())
{
    auto& d = *m_private;
    d.options = std::move(options);
    d.source = std::move(source);
    Http::client::http_client_config config;
    config.set_timeout(Common::Clock::toChrono(d.options.period));
    for (const auto& entry : d.options.entries)
        d.clients.push_back(std::make_unique<HttpClient>("http://" + entry.value(), config));
    if (!d.clients.empty())
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

void Announcer::wake()
{
    {
        std::lock_guard lock(m_private->mutex);
        m_private->isWoken = true;
    }
    m_private->changed.notify_all();
}

} // namespace StandIn
