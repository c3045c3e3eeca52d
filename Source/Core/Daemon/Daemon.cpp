#include "Daemon/Daemon.h"

#include "Daemon/ControlRole.h"
#include "Daemon/EntryRole.h"
#include "Daemon/FrontEnd.h"
#include "Daemon/HttpApi.h"
#include "Daemon/StopPlan.h"
#include "Http/Server.h"
#include "Observe/EventLog.h"
#include "Peer/Server.h"

#include <sys/stat.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;
using Common::TimePoint;
using Observe::EventKind;
using Observe::Part;

namespace Daemon {

namespace {

    // After a power loss, all processes start within about this time.
    constexpr Milliseconds eagerConnectTime { 3'000 };
    constexpr int timerShards = 2;
    constexpr long signalWaitNanoseconds = 500'000'000;
    constexpr Milliseconds workCheckInterval { 20 };
    // Connections to backend servers stay open for this long after the last answer, so that cancellations are sent.
    constexpr Milliseconds connectionLinger { 50 };
    // For the answers to open requests when the process ends because its storage has failed.
    constexpr Milliseconds failedWriteTime { 400 };
    // For the release of the lease when no time is left. Without it, other instances wait until the lease expires.
    constexpr Milliseconds minimumReleaseTime { 50 };

    Milliseconds timeUntil(TimePoint when) { return std::max(when - Clock::now(), Milliseconds(0)); }

    sigset_t stopSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGHUP);
        return set;
    }

    // Owns all components of one process. Members are declared in the order of construction.
    class Process {
    public:
        Process(const Settings::Daemon&, std::string settingsFile, const FrontEnd*);
        ~Process();

        Result<void> start();
        void waitForStop();
        Result<void> stopGracefully();

    private:
        void servePeers();
        Result<void> openFrontEnd();
        void reloadIfChanged();
        Result<void> openHttp();
        std::vector<Common::Address> otherProcesses() const;
        static Entry::ControlClientOptions controlOptions(const Settings::Daemon&);
        Peer::ClientOptions peerOptions();
        void sleepFor(Milliseconds) const;
        bool waitForWorkInFlight(TimePoint until);
        bool endOpenRequests(TimePoint until);

        const Settings::Daemon& m_settings;
        const std::string m_settingsFile;
        timespec m_settingsChanged {};
        const FrontEnd* m_frontEnd;
        Common::Incarnation m_incarnation;
        Observe::Metrics m_metrics;
        Observe::Timeline m_timeline;
        Common::Timers m_timers;
        Peer::Client m_peers;
        Entry::ControlClient m_controlClient;
        TimelineCollector m_collector;
        std::unique_ptr<Peer::Server> m_peerServer;
        std::unique_ptr<ControlRole> m_control;
        std::unique_ptr<EntryRole> m_entry;
        std::unique_ptr<RosterServer> m_rosterServer;
        RouteTables m_routeTables { m_controlClient,
            [this] { return m_control ? m_control->storedRouteTable() : std::nullopt; } };
        Evacuations m_evacuations { { m_settings, m_incarnation, m_controlClient, m_timers,
            [this](const Common::FailureDomain& domain) {
                return m_control ? m_control->evacuationVersion(domain) : Common::Revision();
            } } };
        std::unique_ptr<RelayRole> m_relay;
        RunningFrontEnd m_runningFrontEnd;
        std::atomic<bool> m_draining { false };
        std::unique_ptr<HttpApiDependencies> m_httpApiDependencies;
        std::unique_ptr<Http::Server> m_http;
    };

    Process::Process(const Settings::Daemon& settings, std::string settingsFile, const FrontEnd* frontEnd)
        : m_settings(settings)
        , m_settingsFile(std::move(settingsFile))
        , m_frontEnd(frontEnd)
        , m_incarnation(static_cast<uint64_t>(Clock::wallClock().value()))
        , m_timeline(settings.instance, m_incarnation, static_cast<size_t>(settings.timelineEvents))
        , m_timers(timerShards)
        , m_peers(peerOptions())
        , m_controlClient(controlOptions(settings), m_peers, m_timers)
        , m_collector(m_timeline, m_peers)
    {
    }

    Process::~Process()
    {
        m_timers.stop();
        if (m_runningFrontEnd.close)
            m_runningFrontEnd.close();
        if (m_http)
            m_http->close();
        if (m_peerServer)
            m_peerServer->stop();
        m_peers.stop();
        if (m_control)
            m_control->stop();
    }

    Entry::ControlClientOptions Process::controlOptions(const Settings::Daemon& settings)
    {
        Entry::ControlClientOptions options;
        for (auto& member : settings.control.members)
            options.members.push_back(member.address);
        for (auto& seed : Settings::seedPeers(settings))
            options.members.push_back(seed);
        return options;
    }

    Peer::ClientOptions Process::peerOptions()
    {
        Peer::ClientOptions options;
        options.self = m_settings.instance;
        options.threads = m_settings.peer.threads;
        options.heartbeat = m_settings.peer.heartbeat;
        options.silenceTimeout = m_settings.peer.silenceTimeout;
        options.eagerUntil = Clock::now() + eagerConnectTime;
        options.logicalTime.stamp = [this] { return m_timeline.stamp().value(); };
        options.logicalTime.observe = [this](uint64_t time) { m_timeline.observe(Observe::LogicalTime(time)); };
        return options;
    }

    void Process::servePeers()
    {
        m_peerServer->setLogicalTimeHooks(peerOptions().logicalTime);
        m_peerServer->handle(Peer::Service::Consensus,
            [this](const Common::InstanceId& from, std::string_view bytes, const Peer::Reply& reply) {
                if (m_control)
                    m_control->consensus(from, bytes);
                reply(std::string());
            });
        m_peerServer->handle(Peer::Service::Control,
            [this](const Common::InstanceId&, std::string_view bytes, const Peer::Reply& reply) {
                if (m_control)
                    m_control->handle(bytes, reply);
                else
                    reply(Common::makeError(Reason::NotFound, "control", "this instance is not a control instance"));
            });
        m_peerServer->handle(
            Peer::Service::Gossip, [this](const Common::InstanceId&, std::string_view bytes, const Peer::Reply& reply) {
                if (m_entry)
                    m_entry->gossip(bytes);
                reply(std::string());
            });
        m_peerServer->handle(Peer::Service::Observe,
            [this](const Common::InstanceId&, std::string_view bytes, const Peer::Reply& reply) {
                m_collector.serve(bytes, reply);
            });
        m_peerServer->handle(
            Peer::Service::Roster, [this](const Common::InstanceId&, std::string_view bytes, const Peer::Reply& reply) {
                if (m_rosterServer)
                    m_rosterServer->handle(bytes, reply);
                else
                    reply(Common::makeError(Reason::NotFound, "roster", "this instance is not a control instance"));
            });
        m_peerServer->handle(
            Peer::Service::Relay, [this](const Common::InstanceId&, std::string_view bytes, const Peer::Reply& reply) {
                if (m_relay)
                    m_relay->handle(bytes, reply);
                else
                    reply(Common::makeError(Reason::NotFound, "relay", "this instance does not have the role relay"));
            });
        m_peerServer->start();
    }

    Result<void> Process::openFrontEnd()
    {
        if (!m_frontEnd)
            return Common::success();
        BOOST_OUTCOME_TRY(open,
            m_frontEnd->open({ m_settings, m_relay.get(), m_rosterServer.get(), m_control ? &m_routeTables : nullptr,
                m_control ? &m_evacuations : nullptr, m_timers, m_metrics }));
        m_runningFrontEnd = std::move(open);
        if (m_relay)
            m_relay->onRouteTableChanged(m_runningFrontEnd.setLimits);
        return Common::success();
    }

    // Compares the file's modification time, so that a change is found with or without SIGHUP. Only the seeds can
    // change while running.
    void Process::reloadIfChanged()
    {
        struct stat status { };
        if (m_settingsFile.empty() || ::stat(m_settingsFile.c_str(), &status))
            return;
        bool isSame
            = status.st_mtim.tv_sec == m_settingsChanged.tv_sec && status.st_mtim.tv_nsec == m_settingsChanged.tv_nsec;
        bool isFirst = !m_settingsChanged.tv_sec;
        m_settingsChanged = status.st_mtim;
        if (isSame || isFirst)
            return;
        auto changed = Settings::load(m_settingsFile);
        if (!changed) {
            Observe::logEvent(
                Part::Daemon, Observe::Event::ReloadRefused, { { "why", Common::describe(changed.error()) } });
            return;
        }
        auto seeds = Settings::seedPeers(changed.value());
        if (m_relay)
            m_relay->setSeeds(seeds);
        if (m_control)
            m_control->setSeeds(seeds);
        if (m_rosterServer)
            m_rosterServer->setSeeds(seeds);
        Observe::logEvent(Part::Daemon, Observe::Event::Reloaded, { { "seeds", std::to_string(seeds.size()) } });
    }

    std::vector<Common::Address> Process::otherProcesses() const
    {
        std::vector<Common::Address> addresses = m_entry ? m_entry->otherInstances() : std::vector<Common::Address> {};
        for (auto& member : m_settings.control.members) {
            bool isKnown = std::find(addresses.begin(), addresses.end(), member.address) != addresses.end();
            if (member.instance != m_settings.instance && !isKnown)
                addresses.push_back(member.address);
        }
        return addresses;
    }

    Result<void> Process::openHttp()
    {
        m_httpApiDependencies.reset(new HttpApiDependencies { m_entry.get(), m_control.get(), m_controlClient,
            m_collector, m_metrics, m_draining, [this] { return otherProcesses(); } });
        Http::ServerOptions options { m_settings.http.listen,
            { m_settings.http.maximumBody, m_settings.http.bodyTimeout } };
        BOOST_OUTCOME_TRY(
            server, Http::Server::open(options, [this](const Http::Request& request, const Http::Responder& done) {
                answer(*m_httpApiDependencies, request, done);
            }));
        m_http = std::move(server);
        return Common::success();
    }

    Result<void> Process::start()
    {
        BOOST_OUTCOME_TRY(peerServer, Peer::Server::listen(m_settings.peer.listen, m_settings.peer.threads));
        m_peerServer = std::move(peerServer);
        if (m_settings.isControl) {
            BOOST_OUTCOME_TRY(
                control, ControlRole::open({ m_settings, m_peers, m_controlClient, m_timers, m_metrics, m_timeline }));
            m_control = std::move(control);
            m_rosterServer = std::make_unique<RosterServer>(RosterServerDependencies {
                m_settings, m_incarnation, *m_control, m_controlClient, m_peers, m_timers, m_metrics });
        }
        if (m_settings.isRelay) {
            if (!m_frontEnd)
                return Common::makeError(Reason::InvalidInput, "start",
                    "the role relay requires a front end, which this program does not have");
            m_relay = std::make_unique<RelayRole>(RelayDependencies { m_settings, m_incarnation, m_peers, m_timers,
                m_metrics, m_frontEnd->backendCodec, m_frontEnd->decodeTable });
        }
        if (m_settings.isEntry)
            m_entry = std::make_unique<EntryRole>(EntryDependencies { m_settings, m_incarnation,
                m_peerServer->address(), m_peers, m_controlClient, m_timers, m_metrics, m_timeline });
        servePeers();
        if (m_entry)
            m_entry->start();
        BOOST_OUTCOME_TRYV(openHttp());
        BOOST_OUTCOME_TRYV(openFrontEnd());
        if (m_relay)
            m_relay->start();
        reloadIfChanged();
        m_timeline.record(EventKind::ProcessStarted, m_settings.instance.value());
        Observe::logEvent(Part::Daemon, Observe::Event::Started,
            { { "instance", m_settings.instance.value() }, { "domain", m_settings.failureDomain.value() },
                { "http", m_settings.http.listen.value() }, { "peers", m_peerServer->address().value() },
                { "callers", m_settings.frontEnd.callers.value() }, { "control", m_settings.frontEnd.control.value() },
                { "founds", m_settings.control.bootstrap ? "yes" : "no" } });
        return Common::success();
    }

    void Process::waitForStop()
    {
        sigset_t set = stopSignals();
        timespec wait { 0, signalWaitNanoseconds };
        for (;;) {
            int signal = sigtimedwait(&set, nullptr, &wait);
            if (signal == SIGTERM || signal == SIGINT)
                return;
            reloadIfChanged();
            if (m_control && m_control->storageFailed()) {
                LOG_ERROR(Part::Daemon, "Storage has failed. The process is stopping.");
                return;
            }
        }
    }

    void Process::sleepFor(Milliseconds time) const
    {
        auto us = Clock::toChrono(time);
        timespec wait { us.count() / 1'000'000, (us.count() % 1'000'000) * 1'000 };
        nanosleep(&wait, nullptr);
    }

    // Waits for the last answer and the last record of an outcome. Returns whether all work ended in time.
    bool Process::waitForWorkInFlight(TimePoint until)
    {
        size_t answers = m_runningFrontEnd.finish ? m_runningFrontEnd.finish(timeUntil(until)) : 0;
        answers += m_http->waitForAnswers(timeUntil(until));
        auto inFlight = [this] { return (m_entry ? m_entry->inFlight() : 0) + (m_relay ? m_relay->inFlight() : 0); };
        while (inFlight() && Clock::now() < until)
            sleepFor(workCheckInterval);
        return !answers && !inFlight();
    }

    // Answers the requests that are still open with an error. Returns whether all of these answers were written.
    bool Process::endOpenRequests(TimePoint until)
    {
        m_http->endRequests();
        if (m_runningFrontEnd.endRequests)
            m_runningFrontEnd.endRequests();
        size_t open = m_runningFrontEnd.waitUntilClosed ? m_runningFrontEnd.waitUntilClosed(timeUntil(until)) : 0;
        open += m_http->waitUntilClosed(timeUntil(until));
        if (open)
            LOG_ERROR(Part::Daemon, "Closing the connections of " << open << " requests without a complete answer.");
        return !open;
    }

    Result<void> Process::stopGracefully()
    {
        auto requested = Clock::now();
        if (m_control && m_control->storageFailed()) {
            endOpenRequests(requested + failedWriteTime);
            return Common::makeError(Reason::StorageFailed, "run", "storage has failed", m_settings.instance.value());
        }
        StopPlan plan = planStop(m_settings.stop, requested);
        Observe::logEvent(Part::Daemon, Observe::Event::Stopping,
            { { "balancer_wait_ms", std::to_string(m_settings.stop.balancerWait.value()) },
                { "answer_by_ms", std::to_string((plan.answerBy - requested).value()) } });
        if (m_relay)
            m_relay->drain(plan.answerBy);
        m_draining = true;
        m_metrics.set(Observe::Gauge::Draining, 1);
        m_timeline.record(EventKind::ProcessDraining, m_settings.instance.value());
        if (m_control)
            m_control->transferLeadership();
        // Callers that the load balancer still sends here are served, and their connections are closed after the
        // answer.
        m_http->closeAfterAnswers();
        if (m_runningFrontEnd.closeAfterAnswers)
            m_runningFrontEnd.closeAfterAnswers();
        sleepFor(timeUntil(plan.serveUntil));
        if (m_entry)
            m_entry->drain();
        bool isComplete = waitForWorkInFlight(plan.abortAt);
        if (m_entry)
            m_entry->stop(std::max(timeUntil(plan.abortAt), minimumReleaseTime));
        // A possible resend may have been accepted just before the lease was released.
        isComplete = waitForWorkInFlight(plan.abortAt) && isComplete;
        isComplete = endOpenRequests(plan.writeBy) && isComplete;
        sleepFor(connectionLinger);
        m_timeline.record(EventKind::ProcessStopped, m_settings.instance.value());
        Observe::logEvent(Part::Daemon, Observe::Event::Stopped, { { "whole", isComplete ? "yes" : "no" } });
        return Common::success();
    }

} // namespace

Result<void> run(const Settings::Daemon& settings, const std::string& settingsFile, const FrontEnd* frontEnd)
{
    sigset_t set = stopSignals();
    // Blocked before the first thread starts, so that only waitForStop() receives the signals.
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    Observe::LogLevel level = Observe::LogLevel::Info;
    Observe::parseLogLevel(settings.log.level, level);
    Observe::setUpLog(level, settings.log.file);
    Http::setThreadCount(settings.http.threads);
    Process process(settings, settingsFile, frontEnd);
    BOOST_OUTCOME_TRYV(process.start());
    process.waitForStop();
    return process.stopGracefully();
}

} // namespace Daemon
