#include "Daemon/RosterKeeper.h"

#include "Common/Hash.h"
#include "Observe/EventLog.h"
#include "Wire/RosterCodec.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <unordered_map>

using Common::Clock;
using Common::Milliseconds;
using Common::TimePoint;
using Observe::Part;

namespace Daemon {

namespace {

    constexpr size_t shardCount = 4;
    // A follower that has nothing to learn is answered after this time, so that a lost connection is noticed.
    constexpr Milliseconds watchHold { 3'000 };
    // A follower that did not ask for so long does not count any more.
    constexpr Milliseconds followerMemory { 8'000 };
    // Changes of that time are told together.
    constexpr Milliseconds flushDelay { 100 };
    constexpr Milliseconds sweepInterval { 500 };
    // Servers that left or were lost are remembered so long, so that a late renewal does not bring them back.
    constexpr Milliseconds forgetAfter { 120'000 };

    struct Shard {
        std::mutex mutex;
        Roster::Registry registry;
    };

    struct Watcher {
        Roster::WatchRequest request;
        Peer::Reply reply;
        TimePoint until;
    };

    struct Follower {
        Roster::Peer peer;
        bool isLeaving { false };
        TimePoint askedAt;
    };

    uint64_t versionOf(const std::vector<Roster::Peer>& peers)
    {
        std::string text;
        for (const Roster::Peer& peer : peers)
            text += peer.address.value() + " " + peer.domain.value() + "\n";
        return Common::hash64(text);
    }

} // namespace

struct RosterKeeper::Private : std::enable_shared_from_this<RosterKeeper::Private> {
    explicit Private(RosterDependencies d)
        : use(d)
        , epoch(d.incarnation.value())
    {
    }

    RosterDependencies use;
    const Roster::Epoch epoch;
    std::array<Shard, shardCount> shards;
    std::atomic<bool> flushPending { false };
    std::atomic<bool> stopped { false };
    std::mutex watchMutex; // Guards what follows.
    std::vector<Watcher> watchers;
    std::unordered_map<Common::InstanceId, Follower> followers;
    std::vector<Roster::Peer> peers; // Of the followers, as they are told.
    uint64_t peersVersion { 0 };

    Shard& shardOf(const Common::BackendServerId& server)
    {
        return shards[std::hash<Common::BackendServerId> {}(server) % shardCount];
    }

    void sweepLater();
    void flushLater();
    void flush();
    void watch(const Roster::WatchRequest&, const Peer::Reply&);
    Roster::WatchReply replyTo(const Roster::WatchRequest&);
    static bool hasNews(const Roster::WatchRequest&, const Roster::WatchReply&);
    void noteChange(const Roster::Report&);
    void listPeers();
};

void RosterKeeper::Private::noteChange(const Roster::Report& report)
{
    Observe::logEvent(Part::Roster, "server-changed",
        { { "server", report.server.value() }, { "group", report.group.value() }, { "address", report.address.value() },
            { "incarnation", std::to_string(report.incarnation.value()) },
            { "sequence", std::to_string(report.sequence) }, { "standing", Roster::standingName(report.standing) } });
    flushLater();
}

void RosterKeeper::Private::sweepLater()
{
    std::weak_ptr<Private> weak = weak_from_this();
    use.timers.after(sweepInterval, [weak] {
        auto self = weak.lock();
        if (!self || self->stopped)
            return;
        for (Shard& shard : self->shards) {
            std::vector<Roster::Report> lost;
            {
                std::lock_guard lock(shard.mutex);
                auto before = shard.registry.revision;
                Roster::expire(shard.registry, Clock::now(), self->use.settings.roster.silence, forgetAfter);
                if (shard.registry.revision != before)
                    lost = Roster::changesSince(shard.registry, before).reports;
            }
            for (const Roster::Report& report : lost)
                self->noteChange(report);
        }
        auto members = self->use.control.memberAddresses();
        for (auto& seed : Settings::seedPeers(self->use.settings)) {
            if (std::find(members.begin(), members.end(), seed) == members.end())
                members.push_back(seed);
        }
        self->use.controlClient.setMembers(std::move(members));
        self->listPeers();
        self->flush();
        self->sweepLater();
    });
}

// Followers that come at the same time are told together: each list goes to all of them.
void RosterKeeper::Private::listPeers()
{
    std::lock_guard lock(watchMutex);
    peers.clear();
    for (auto& [id, follower] : followers) {
        if (!follower.isLeaving)
            peers.push_back(follower.peer);
    }
    std::sort(peers.begin(), peers.end());
    peersVersion = versionOf(peers);
}

void RosterKeeper::Private::flushLater()
{
    if (flushPending.exchange(true))
        return;
    std::weak_ptr<Private> weak = weak_from_this();
    use.timers.after(flushDelay, [weak] {
        if (auto self = weak.lock())
            self->flush();
    });
}

// Answers the watchers that have something to learn, or have waited long enough.
void RosterKeeper::Private::flush()
{
    flushPending = false;
    std::vector<Watcher> waiting;
    {
        std::lock_guard lock(watchMutex);
        waiting.swap(watchers);
    }
    auto now = Clock::now();
    std::vector<Watcher> kept;
    for (Watcher& watcher : waiting) {
        auto reply = replyTo(watcher.request);
        if (hasNews(watcher.request, reply) || now >= watcher.until)
            watcher.reply(Wire::encode(reply));
        else
            kept.push_back(std::move(watcher));
    }
    std::lock_guard lock(watchMutex);
    std::move(kept.begin(), kept.end(), std::back_inserter(watchers));
}

Roster::WatchReply RosterKeeper::Private::replyTo(const Roster::WatchRequest& request)
{
    Roster::WatchReply reply;
    reply.epoch = epoch;
    reply.domain = use.settings.failureDomain;
    reply.table = use.control.routeTableNumber();
    reply.members = use.control.memberAddresses();
    bool isKnown = request.epoch == epoch && request.revisions.size() == shardCount;
    for (size_t i = 0; i < shardCount; ++i) {
        std::lock_guard lock(shards[i].mutex);
        auto from = isKnown ? request.revisions[i] : Common::Revision(0);
        reply.shards.push_back(Roster::changesSince(shards[i].registry, from));
    }
    std::lock_guard lock(watchMutex);
    reply.peersVersion = request.wantsPeers ? peersVersion : request.peersVersion;
    if (reply.peersVersion != request.peersVersion)
        reply.peers = peers;
    return reply;
}

bool RosterKeeper::Private::hasNews(const Roster::WatchRequest& request, const Roster::WatchReply& reply)
{
    if (request.epoch != reply.epoch || request.revisions.size() != reply.shards.size())
        return true;
    for (size_t i = 0; i < reply.shards.size(); ++i) {
        if (reply.shards[i].revision != request.revisions[i])
            return true;
    }
    return reply.table > request.table || reply.peersVersion != request.peersVersion;
}

void RosterKeeper::Private::watch(const Roster::WatchRequest& request, const Peer::Reply& respond)
{
    auto now = Clock::now();
    {
        std::lock_guard lock(watchMutex);
        followers[request.follower] = { request.peer, request.isLeaving, now };
        std::erase_if(followers, [&](auto& pair) { return now - pair.second.askedAt > followerMemory; });
    }
    auto reply = replyTo(request);
    if (hasNews(request, reply)) {
        respond(Wire::encode(reply));
        return;
    }
    {
        std::lock_guard lock(watchMutex);
        watchers.push_back({ request, respond, now + watchHold });
    }
    // A change may have come between the look and the entry into the list.
    if (hasNews(request, replyTo(request)))
        flushLater();
}

RosterKeeper::RosterKeeper(RosterDependencies use)
    : m_private(std::make_shared<Private>(use))
{
    std::weak_ptr<Private> weak = m_private;
    use.control.whenChanged([weak] {
        if (auto self = weak.lock())
            self->flushLater();
    });
    m_private->sweepLater();
}

RosterKeeper::~RosterKeeper() { stop(); }

Roster::Verdict RosterKeeper::renew(const Roster::Report& report)
{
    Shard& shard = m_private->shardOf(report.server);
    auto verdict = Roster::Verdict::Outdated;
    bool isNews = false;
    {
        std::lock_guard lock(shard.mutex);
        auto before = shard.registry.revision;
        verdict = Roster::renew(shard.registry, report, Clock::now());
        isNews = shard.registry.revision != before;
    }
    if (isNews)
        m_private->noteChange(report);
    return verdict;
}

void RosterKeeper::leave(const Common::BackendServerId& server, Common::Incarnation incarnation)
{
    Shard& shard = m_private->shardOf(server);
    bool isNews = false;
    {
        std::lock_guard lock(shard.mutex);
        auto before = shard.registry.revision;
        Roster::leave(shard.registry, server, incarnation, Clock::now());
        isNews = shard.registry.revision != before;
    }
    Roster::Report report;
    report.server = server;
    report.incarnation = incarnation;
    report.standing = Roster::Standing::Leaving;
    if (isNews)
        m_private->noteChange(report);
}

void RosterKeeper::handle(std::string_view bytes, const Peer::Reply& reply)
{
    auto request = Wire::decodeRosterRequest(bytes);
    if (!request) {
        reply(request.error());
        return;
    }
    if (auto watch = std::get_if<Roster::WatchRequest>(&request.value())) {
        m_private->watch(*watch, reply);
        return;
    }
    auto table = m_private->use.control.routeTable();
    reply(Wire::encode(Roster::TableReply { table.number, std::move(table.document) }));
}

void RosterKeeper::stop()
{
    m_private->stopped = true;
    m_private->use.control.whenChanged(nullptr);
    std::lock_guard lock(m_private->watchMutex);
    m_private->watchers.clear();
}

} // namespace Daemon
