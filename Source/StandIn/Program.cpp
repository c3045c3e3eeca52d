#include "StandIn/Program.h"

#include "Http/Server.h"
#include "StandIn/Announcer.h"
#include "StandIn/Encoding.h"
#include "StandIn/FaultProxy.h"
#include "StandIn/HttpApi.h"

#include <algorithm>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

namespace StandIn {

namespace {

    constexpr int timerShards = 2;
    constexpr Common::Milliseconds finishTimeout { 10'000 };

    // The members are destroyed in reverse order: the proxy first, the backend last.
    struct Server {
        std::unique_ptr<Backend> backend;
        std::unique_ptr<HttpApi> httpApi;
        std::unique_ptr<FaultProxy> proxy;
        Common::Address address;
        Common::FailureDomain domain;
    };

    Common::Result<Common::Address> addressOf(const ProgramOptions& options, uint32_t i)
    {
        BOOST_OUTCOME_TRY(it, splitAddress(options.listen));
        const uint32_t port = it.port ? it.port + i : 0;
        return Common::Address(it.host + ':' + std::to_string(port));
    }

    Common::Result<std::vector<ReplicaSet>> replicaSets(const ProgramOptions& options)
    {
        std::vector<ReplicaSet> all;
        for (const std::string& text : options.versions) {
            BOOST_OUTCOME_TRY(set, parseReplicaSet(text, options.shards));
            all.push_back(std::move(set));
        }
        return all;
    }

    BackendCounters sum(BackendCounters a, const BackendCounters& b)
    {
        a.searches += b.searches;
        a.runs += b.runs;
        a.refused += b.refused;
        a.cancelled += b.cancelled;
        a.peakRequests = std::max(a.peakRequests, b.peakRequests);
        a.lateAfterLeaving += b.lateAfterLeaving;
        return a;
    }

    void print(std::ostream& out, const std::string& name, const BackendCounters& counters)
    {
        out << name << " searches=" << counters.searches << " runs=" << counters.runs << " refused=" << counters.refused
            << " cancelled=" << counters.cancelled << " peak-requests=" << counters.peakRequests
            << " late-after-leaving=" << counters.lateAfterLeaving;
    }

} // namespace

struct Program::Private {
    Common::Result<void> startServer(uint32_t, const std::vector<ReplicaSet>&);
    Common::Result<void> openHttpApi(Server&, const Common::Address&);
    std::vector<Announcement> announcements() const;

    ProgramOptions options;
    DataSet data;
    Common::Incarnation incarnation;
    Common::TimePoint startedAt;
    std::unique_ptr<RunLog> runLog;
    std::unique_ptr<FaultProxyThreads> proxyThreads;
    std::optional<Common::Timers> timers;
    std::vector<Server> servers;
    std::unique_ptr<Announcer> announcer;
};

Common::Result<void> Program::Private::openHttpApi(Server& server, const Common::Address& address)
{
    if (options.direct) {
        BOOST_OUTCOME_TRY(httpApi, HttpApi::openAt(*server.backend, options.shards, address));
        server.httpApi = std::move(httpApi);
        server.address = address;
        return Common::success();
    }
    BOOST_OUTCOME_TRY(httpApi, HttpApi::open(*server.backend, options.shards));
    server.httpApi = std::move(httpApi);
    const FaultProxyOptions proxyOptions { address, options.connections, options.connectTime };
    BOOST_OUTCOME_TRY(proxy, FaultProxy::open(*proxyThreads, proxyOptions, server.httpApi->address()));
    server.proxy = std::move(proxy);
    server.address = server.proxy->address();
    server.httpApi->setConnectionActions({ [it = server.proxy.get()] { it->silenceConnections(); },
        [it = server.proxy.get()] { it->closeConnections(); } });
    return Common::success();
}

Common::Result<void> Program::Private::startServer(uint32_t i, const std::vector<ReplicaSet>& all)
{
    BackendOptions it = options.backend;
    const uint32_t total = std::max(options.totalServers, options.count);
    const uint32_t number = options.firstServer + i;
    it.id = Common::BackendServerId(total > 1 ? options.id + '-' + std::to_string(number) : options.id);
    it.replicas = total > 1 ? spreadShards(all, number, total, options.replicas) : all;
    it.seed += number;
    Server server;
    server.backend = std::make_unique<Backend>(std::move(it), data, *timers, *runLog);
    server.domain = options.domains[number % options.domains.size()];
    BOOST_OUTCOME_TRY(address, addressOf(options, i));
    BOOST_OUTCOME_TRY(openHttpApi(server, address));
    servers.push_back(std::move(server));
    return Common::success();
}

std::vector<Announcement> Program::Private::announcements() const
{
    const bool isStarting = Common::Clock::now() - startedAt < options.startTime;
    std::vector<Announcement> all;
    for (const Server& server : servers) {
        Announcement it;
        it.server = server.backend->options().id;
        it.address = server.address;
        it.failureDomain = server.domain;
        it.group = options.group;
        it.incarnation = incarnation;
        it.state = server.backend->isLeaving() ? "leaving" : isStarting ? "starting" : "ready";
        it.slots = options.backend.slots;
        it.connections = options.connections;
        it.replicas = server.backend->replicas();
        all.push_back(std::move(it));
    }
    return all;
}

std::vector<ReplicaSet> spreadShards(
    const std::vector<ReplicaSet>& all, uint32_t index, uint32_t total, uint32_t replicas)
{
    std::vector<ReplicaSet> mine;
    for (const ReplicaSet& set : all) {
        ReplicaSet part { set.indexVersion, set.shardCount, {} };
        for (const Common::ShardId shard : set.shards) {
            const uint64_t first = uint64_t { shard.value() } * replicas % total;
            if ((index + total - first) % total < std::min(replicas, total))
                part.shards.push_back(shard);
        }
        mine.push_back(std::move(part));
    }
    return mine;
}

Program::Program(std::unique_ptr<Private> p)
    : m_private(std::move(p))
{
}

Program::~Program() = default;

Common::Result<std::unique_ptr<Program>> Program::start(ProgramOptions options)
{
    if (options.domains.empty())
        options.domains.emplace_back("domain-a");
    BOOST_OUTCOME_TRY(all, replicaSets(options));
    auto d = std::make_unique<Private>();
    d->data = makeDataSet(options.keys, options.dataSeed);
    d->incarnation = Common::Incarnation(static_cast<uint64_t>(Common::Clock::wallClock().value()));
    d->startedAt = Common::Clock::now();
    BOOST_OUTCOME_TRY(runLog, RunLog::open(options.runLog));
    d->runLog = std::move(runLog);
    Http::setThreadCount(options.httpThreads);
    d->proxyThreads = std::make_unique<FaultProxyThreads>(options.proxyThreads);
    d->timers.emplace(timerShards);
    d->options = std::move(options);
    for (uint32_t i = 0; i < d->options.count; ++i) {
        BOOST_OUTCOME_TRY(d->startServer(i, all));
    }
    const AnnouncerOptions announcerOptions { d->options.entries, d->options.announcePeriod };
    d->announcer = std::make_unique<Announcer>(announcerOptions, [it = d.get()] { return it->announcements(); });
    return std::unique_ptr<Program>(new Program(std::move(d)));
}

std::vector<Common::Address> Program::addresses() const
{
    std::vector<Common::Address> all;
    for (const Server& server : m_private->servers)
        all.push_back(server.address);
    return all;
}

Backend& Program::backend(size_t i) { return *m_private->servers[i].backend; }

bool Program::leave()
{
    for (Server& server : m_private->servers)
        server.backend->leave();
    m_private->announcer->announceNow();
    std::this_thread::sleep_for(Common::Clock::toChrono(m_private->options.leaveTime));
    const Common::TimePoint end = Common::Clock::now() + finishTimeout;
    bool isIdle = true;
    for (Server& server : m_private->servers) {
        Faults faults = server.backend->faults();
        faults.draining = true;
        server.backend->setFaults(std::move(faults));
        const Common::Milliseconds left = std::max(end - Common::Clock::now(), Common::Milliseconds(0));
        isIdle = server.httpApi->waitUntilIdle(left) && isIdle;
    }
    return isIdle;
}

std::string Program::summary() const
{
    std::ostringstream out;
    BackendCounters total;
    uint64_t peakConnections = 0;
    uint64_t refusedConnections = 0;
    for (const Server& server : m_private->servers) {
        const BackendCounters counters = server.backend->counters();
        print(out, server.backend->options().id.value(), counters);
        total = sum(total, counters);
        if (server.proxy) {
            out << " peak-connections=" << server.proxy->peakConnections()
                << " refused-connections=" << server.proxy->refusedConnections();
            peakConnections = std::max(peakConnections, server.proxy->peakConnections());
            refusedConnections += server.proxy->refusedConnections();
        }
        out << '\n';
    }
    print(out, "total", total);
    out << " peak-connections=" << peakConnections << " refused-connections=" << refusedConnections << '\n';
    return out.str();
}

} // namespace StandIn
