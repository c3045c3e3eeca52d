#include "Daemon/RelayRole.h"

#include "Daemon/RosterFollower.h"
#include "Observe/EventLog.h"
#include "Wire/RelayCodec.h"
#include "Wire/RosterCodec.h"

#include <atomic>
#include <mutex>

using Common::Address;
using Common::Milliseconds;
using Common::Result;
using Observe::Part;

namespace Daemon {

namespace {

    constexpr Milliseconds tableTimeout { 1'500 };
    constexpr Milliseconds cancelTimeout { 500 };

    // Whether the request is for a bundle that this instance has begun to gather.
    bool isForKnownBundle(const Wire::RelayRequest& request)
    {
        if (std::holds_alternative<Relay::CancelBundle>(request))
            return true;
        auto bundle = std::get_if<Relay::BundleRequest>(&request);
        return bundle && std::holds_alternative<Relay::ResumeBundle>(bundle->body);
    }

} // namespace

struct RelayRole::Private : std::enable_shared_from_this<RelayRole::Private> {
    explicit Private(RelayDependencies d)
        : dependencies(std::move(d))
        , engine(engineOptions(dependencies), dependencies.backendCodec, peers(dependencies.peers), dependencies.timers,
              dependencies.metrics, suspects)
        , rosterFollower(
              { dependencies.settings, dependencies.peers, dependencies.timers, dependencies.metrics, suspects })
    {
    }

    static Relay::EngineOptions engineOptions(const RelayDependencies&);
    static Relay::Peers peers(Peer::Client&);

    RelayDependencies dependencies;
    const std::shared_ptr<Suspects::Board> suspects { std::make_shared<Suspects::Board>() };
    Relay::Engine engine;
    RosterFollower rosterFollower;
    std::atomic<bool> draining { false };

    std::mutex mutex; // Guards what follows.
    Common::TableNumber table; // Of the route table in force here.
    bool isFetching { false };
    Address failedSource; // Of the last fetch; empty if that succeeded.
    std::function<void(const Routes::CallerLimits&)> tableListener;

    RosterFollowerHooks rosterHooks();
    void newerTablesReported(const std::vector<Roster::TableReport>&);
    std::optional<Address> chooseTableSource(const std::vector<Roster::TableReport>&) const;
    void takeTable(const Address& from, const Result<std::string>&);
};

Relay::EngineOptions RelayRole::Private::engineOptions(const RelayDependencies& dependencies)
{
    const Settings::Daemon& settings = dependencies.settings;
    Relay::EngineOptions options;
    options.incarnation = dependencies.incarnation;
    options.processorShare = settings.relay.processorShare.value();
    options.self = { settings.peer.listen, settings.failureDomain };
    options.returnMargin = settings.relay.returnMargin;
    options.usesPriorities = settings.relay.priorities;
    options.usesPace = settings.relay.pace;
    options.retryBudget = { settings.relay.retryRatio, settings.relay.retryMinimum, settings.relay.retryWindow };
    options.quotaBounds = { settings.relay.quotaWindow, settings.relay.quotaOverrun, settings.relay.quotaSlack };
    return options;
}

Relay::Peers RelayRole::Private::peers(Peer::Client& client)
{
    Relay::Peers peers;
    peers.gather = [&client](const Address& to, const Relay::BundleRequest& call, Milliseconds timeout, auto done) {
        auto delegated = std::get_if<Relay::DelegatedCall>(&call.body);
        auto id = delegated ? delegated->call->id : std::get<Relay::ResumeBundle>(call.body).call;
        client.call(to, Peer::Service::Relay, Wire::encode(call), timeout,
            [id, done = std::move(done)](const Result<std::string>& result) {
                auto answer
                    = result ? Wire::decodeBundleAnswer(result.value()) : Result<Relay::BundleAnswer>(result.error());
                // An instance of an earlier version does not name the call. Its answer is matched by its request alone.
                if (answer && answer.value().call.value().empty())
                    answer.value().call = id;
                done(answer);
            });
    };
    peers.cancel = [&client](const Address& to, const Relay::CancelBundle& request) {
        client.call(to, Peer::Service::Relay, Wire::encode(request), cancelTimeout, [](const Result<std::string>&) {});
    };
    peers.probe = [&client](const Address& to, Milliseconds timeout, auto done) {
        client.call(to, Peer::Service::Relay, std::string(), timeout,
            [done = std::move(done)](const Result<std::string>& result) { done(bool(result)); });
    };
    peers.claimRate = [&client](const Address& to, const Limits::RateClaim& claim, Milliseconds timeout, auto done) {
        client.call(to, Peer::Service::Relay, Wire::encode(claim), timeout,
            [done = std::move(done)](const Result<std::string>& result) {
                done(result ? Wire::decodeRateGrant(result.value()) : Result<Limits::RateGrant>(result.error()));
            });
    };
    peers.claimTenantRate
        = [&client](const Address& to, const Relay::TenantRateClaim& claim, Milliseconds timeout, auto done) {
              client.call(to, Peer::Service::Relay, Wire::encode(claim), timeout,
                  [done = std::move(done)](const Result<std::string>& result) {
                      done(result ? Wire::decodeRateGrant(result.value()) : Result<Limits::RateGrant>(result.error()));
                  });
          };
    return peers;
}

RosterFollowerHooks RelayRole::Private::rosterHooks()
{
    std::weak_ptr<Private> weak = weak_from_this();
    RosterFollowerHooks hooks;
    hooks.servers = [weak](std::map<Common::GroupName, std::vector<Roster::EligibleServer>> servers) {
        if (auto self = weak.lock())
            self->engine.setServers(std::make_shared<const Relay::ServersByGroup>(std::move(servers)));
    };
    hooks.instances = [weak](std::vector<Roster::Peer> instances) {
        if (auto self = weak.lock())
            self->engine.setInstances(std::move(instances));
    };
    hooks.viewConfirmed = [weak] {
        if (auto self = weak.lock())
            self->engine.confirmView();
    };
    hooks.contactConfirmed = [weak](Common::TimePoint sentAt) {
        if (auto self = weak.lock())
            self->engine.confirmContact(sentAt);
    };
    hooks.newerTablesReported = [weak](const std::vector<Roster::TableReport>& reports) {
        if (auto self = weak.lock())
            self->newerTablesReported(reports);
    };
    return hooks;
}

// Called with the mutex held. Avoids the source of the last fetch if that failed and there is another one.
std::optional<Address> RelayRole::Private::chooseTableSource(const std::vector<Roster::TableReport>& reports) const
{
    std::optional<Address> failed;
    for (const Roster::TableReport& report : reports) {
        if (report.number <= table)
            continue;
        if (report.source != failedSource)
            return report.source;
        failed = report.source;
    }
    return failed;
}

void RelayRole::Private::newerTablesReported(const std::vector<Roster::TableReport>& reports)
{
    std::optional<Address> source;
    {
        std::lock_guard lock(mutex);
        source = chooseTableSource(reports);
        if (!source || std::exchange(isFetching, true))
            return;
    }
    dependencies.peers.call(*source, Peer::Service::Roster, Wire::encode(Roster::Request(Roster::TableRequest {})),
        tableTimeout, [self = shared_from_this(), from = *source](const Result<std::string>& result) {
            self->takeTable(from, result);
        });
}

void RelayRole::Private::takeTable(const Address& from, const Result<std::string>& result)
{
    auto reply = result ? Wire::decodeTableReply(result.value()) : Result<Roster::TableReply>(result.error());
    auto decoded = reply ? dependencies.decodeTable(reply.value().document) : Result<Routes::Table>(reply.error());
    std::function<void(const Routes::CallerLimits&)> listener;
    bool isNewer = false;
    {
        std::lock_guard lock(mutex);
        isNewer = decoded && reply.value().number > table;
        isFetching = false;
        failedSource = isNewer ? Address() : from;
        if (isNewer) {
            table = reply.value().number;
            listener = tableListener;
            // Set under the lock, so that tables take effect in the order of their numbers.
            engine.setTable(std::make_shared<const Routes::Table>(decoded.value()));
        }
    }
    if (!decoded) {
        Observe::logEvent(Part::Control, Observe::Event::RoutesNotRead,
            { { "address", from.value() }, { "why", Common::describe(decoded.error()) } });
    }
    if (!isNewer)
        return;
    engine.admitHeldCalls();
    rosterFollower.setTable(reply.value().number);
    dependencies.metrics.set(Observe::Gauge::RevisionApplied, static_cast<double>(reply.value().number.value()));
    Observe::logEvent(Part::Control, Observe::Event::RoutesInForce,
        { { "table", std::to_string(reply.value().number.value()) },
            { "routes", std::to_string(decoded.value().routes.size()) }, { "from", from.value() } });
    if (listener)
        listener(decoded.value().limits);
}

RelayRole::RelayRole(RelayDependencies dependencies)
    : m_private(std::make_shared<Private>(std::move(dependencies)))
{
}

RelayRole::~RelayRole() { stop(); }

void RelayRole::start() { m_private->rosterFollower.start(m_private->rosterHooks()); }

void RelayRole::onRouteTableChanged(std::function<void(const Routes::CallerLimits&)> fn)
{
    std::lock_guard lock(m_private->mutex);
    m_private->tableListener = std::move(fn);
}

void RelayRole::relay(const Relay::CallPtr& call, Relay::Engine::Done done)
{
    m_private->engine.relay(call, std::move(done));
}

void RelayRole::handle(std::string_view bytes, const Peer::Reply& reply)
{
    // An empty message is a probe. An instance that is leaving still answers the bundles that it has begun to gather:
    // without an answer to a probe, their requesters would send all their requests again.
    if (bytes.empty()) {
        reply(std::string());
        return;
    }
    auto request = Wire::decodeRelayRequest(bytes);
    if (!request) {
        reply(request.error());
        return;
    }
    if (m_private->draining && !isForKnownBundle(request.value())) {
        reply(Common::makeError(Common::Reason::Unavailable, "gather", "this instance is leaving"));
        return;
    }
    if (auto cancel = std::get_if<Relay::CancelBundle>(&request.value())) {
        m_private->engine.cancel(*cancel);
        reply(std::string());
        return;
    }
    if (auto claim = std::get_if<Limits::RateClaim>(&request.value())) {
        reply(Wire::encode(m_private->engine.grant(*claim)));
        return;
    }
    if (auto claim = std::get_if<Relay::TenantRateClaim>(&request.value())) {
        reply(Wire::encode(m_private->engine.grant(*claim)));
        return;
    }
    m_private->engine.gather(
        std::get<Relay::BundleRequest>(request.value()), [reply](const Result<Relay::BundleAnswer>& answer) {
            if (answer)
                reply(Wire::encode(answer.value()));
            else
                reply(answer.error());
        });
}

bool RelayRole::isReady() const { return !m_private->draining && m_private->engine.table(); }

void RelayRole::drain(Common::TimePoint answerBy)
{
    m_private->draining = true;
    m_private->engine.setLeaving();
    m_private->engine.stopBy(answerBy);
    m_private->rosterFollower.setLeaving();
}

size_t RelayRole::inFlight() const { return m_private->engine.inFlight(); }

void RelayRole::setSeeds(std::vector<Address> peers) { m_private->rosterFollower.setSeeds(std::move(peers)); }

void RelayRole::stop()
{
    m_private->rosterFollower.stop();
    std::lock_guard lock(m_private->mutex);
    m_private->tableListener = nullptr;
}

} // namespace Daemon
