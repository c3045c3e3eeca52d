#include "Daemon/TimelineCollector.h"

#include "Wire/MembershipCodec.h"

#include <charconv>
#include <memory>
#include <mutex>

namespace Daemon {

namespace {

    // A request consists of the limit in decimal, a line feed and the subject.
    std::string encodeRequest(const std::string& subject, size_t limit)
    {
        return std::to_string(limit) + "\n" + subject;
    }

    struct Collection {
        std::mutex mutex; // Guards what follows.
        std::vector<std::vector<Observe::TimelineEvent>> lists;
        TimelineCollector::Collected collected;
        size_t outstanding { 0 };
    };

} // namespace

TimelineCollector::TimelineCollector(Observe::Timeline& own, Peer::Client& peers)
    : m_own(own)
    , m_peers(peers)
{
}

void TimelineCollector::serve(std::string_view bytes, const Peer::Reply& reply)
{
    size_t limit = 0;
    auto end = std::from_chars(bytes.data(), bytes.data() + bytes.size(), limit);
    auto used = static_cast<size_t>(end.ptr - bytes.data());
    if (end.ec != std::errc() || used >= bytes.size() || bytes[used] != '\n') {
        reply(Common::makeError(Common::Reason::Corrupt, "read-timeline-request", "the request cannot be read"));
        return;
    }
    reply(Wire::encodeTimeline(m_own.recent(std::string(bytes.substr(used + 1)), limit)));
}

void TimelineCollector::collect(const std::string& subject, size_t limit, const std::vector<Common::Address>& others,
    std::function<void(Collected)> done)
{
    auto collection = std::make_shared<Collection>();
    collection->lists.push_back(m_own.recent(subject, limit));
    collection->outstanding = others.size() + 1;
    auto finishOne = [collection, limit, done = std::move(done)] {
        if (--collection->outstanding)
            return false;
        auto& events = collection->collected.events;
        events = Observe::mergeTimelines(std::move(collection->lists));
        if (events.size() > limit)
            events.erase(events.begin(), events.end() - static_cast<long>(limit));
        done(std::move(collection->collected));
        return true;
    };
    for (const Common::Address& address : others) {
        m_peers.call(address, Peer::Service::Observe, encodeRequest(subject, limit), collectTimeout,
            [collection, address, finishOne](const Common::Result<std::string>& result) {
                std::lock_guard lock(collection->mutex);
                auto events = result ? Wire::decodeTimeline(result.value())
                                     : Common::Result<std::vector<Observe::TimelineEvent>>(result.error());
                if (events)
                    collection->lists.push_back(std::move(events).value());
                else
                    collection->collected.silent.push_back(address);
                finishOne();
            });
    }
    std::lock_guard lock(collection->mutex);
    finishOne();
}

} // namespace Daemon
