#include "Daemon/DepartureExchange.h"

#include "Observe/EventLog.h"
#include "Wire/RosterCodec.h"

#include <atomic>
#include <mutex>

using Common::Address;
using Common::Clock;
using Common::Incarnation;
using Common::Milliseconds;

namespace Daemon {

namespace {

    // A server takes a second without a reply for a failure. The rest is for the way there and back.
    constexpr Milliseconds acknowledgeTimeout { 800 };
    constexpr Milliseconds callTimeout { 500 };
    // An instance that has just been restarted accepts connections again after about this time.
    constexpr Milliseconds retryDelay { 100 };

    struct Exchange {
        std::vector<Address> others;
        DepartureExchange::Done done;
        Common::TimePoint startedAt;

        std::mutex mutex; // Guards what follows.
        Roster::DepartureRound round;
    };

    using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace

struct DepartureExchange::Private : std::enable_shared_from_this<DepartureExchange::Private> {
    explicit Private(DepartureExchangeDependencies d)
        : dependencies(std::move(d))
    {
    }

    const DepartureExchangeDependencies dependencies;
    std::atomic<bool> stopped { false };

    void askAll(const ExchangePtr&);
    void askOne(const ExchangePtr&, const Address&);
    void handleReply(const ExchangePtr&, const Address&, Incarnation asked, Incarnation held);
    void finish(const Exchange&, bool isHeld) const;
};

void DepartureExchange::Private::askAll(const ExchangePtr& exchange)
{
    for (const Address& address : exchange->others)
        askOne(exchange, address);
    askOne(exchange, dependencies.self);
}

void DepartureExchange::Private::askOne(const ExchangePtr& exchange, const Address& address)
{
    if (stopped)
        return;
    Roster::Departure departure;
    {
        std::lock_guard lock(exchange->mutex);
        if (exchange->round.isEnded)
            return;
        departure = exchange->round.departure;
    }
    if (address == dependencies.self) {
        dependencies.record(
            departure, [weak = weak_from_this(), exchange, address, asked = departure.incarnation](bool isDurable) {
                if (auto self = weak.lock())
                    self->handleReply(exchange, address, asked, isDurable ? asked : Incarnation(0));
            });
        return;
    }
    dependencies.peers.call(address, Peer::Service::Roster,
        Wire::encode(Roster::Request(Roster::DepartureReport { departure })), callTimeout,
        [weak = weak_from_this(), exchange, address, asked = departure.incarnation](
            const Common::Result<std::string>& result) {
            auto self = weak.lock();
            if (!self)
                return;
            auto reply = result ? Wire::decodeDepartureReply(result.value())
                                : Common::Result<Roster::DepartureReply>(result.error());
            self->handleReply(exchange, address, asked, reply ? reply.value().held : Incarnation(0));
        });
}

void DepartureExchange::Private::handleReply(
    const ExchangePtr& exchange, const Address& address, Incarnation asked, Incarnation held)
{
    if (held > asked)
        dependencies.hold(exchange->round.departure.server, held);
    auto step = Roster::RoundStep::Wait;
    {
        std::lock_guard lock(exchange->mutex);
        step = Roster::recordReply(exchange->round, address, asked, held);
    }
    switch (step) {
    case Roster::RoundStep::Wait:
        return;
    case Roster::RoundStep::AskAgain:
        dependencies.timers.after(retryDelay, [weak = weak_from_this(), exchange, address] {
            if (auto self = weak.lock())
                self->askOne(exchange, address);
        });
        return;
    case Roster::RoundStep::AskAll:
        askAll(exchange);
        return;
    case Roster::RoundStep::Acknowledge:
        finish(*exchange, true);
        return;
    }
}

// Called once for each exchange, after its round has ended.
void DepartureExchange::Private::finish(const Exchange& exchange, bool isHeld) const
{
    Milliseconds took = Clock::now() - exchange.startedAt;
    dependencies.metrics.count(Observe::Counter::Departures, isHeld ? "acknowledged" : "not-acknowledged");
    dependencies.metrics.observe(Observe::Latency::Departure, took);
    if (!isHeld)
        Observe::logEvent(Observe::Part::Roster, Observe::Event::DepartureNotHeld,
            { { "server", exchange.round.departure.server.value() },
                { "incarnation", std::to_string(exchange.round.departure.incarnation.value()) },
                { "holders", std::to_string(exchange.round.holders.size()) },
                { "needed", std::to_string(exchange.round.needed) } });
    exchange.done(isHeld);
}

DepartureExchange::DepartureExchange(DepartureExchangeDependencies dependencies)
    : m_private(std::make_shared<Private>(std::move(dependencies)))
{
}

DepartureExchange::~DepartureExchange() { stop(); }

void DepartureExchange::ask(
    const Roster::Departure& departure, const std::vector<Address>& others, size_t needed, Done done)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->others = others;
    exchange->done = std::move(done);
    exchange->startedAt = Clock::now();
    exchange->round.departure = departure;
    exchange->round.needed = needed;
    if (Roster::begin(exchange->round) == Roster::RoundStep::Acknowledge) {
        m_private->finish(*exchange, true);
        return;
    }
    m_private->askAll(exchange);
    m_private->dependencies.timers.after(acknowledgeTimeout, [weak = m_private->weak_from_this(), exchange] {
        auto self = weak.lock();
        if (!self)
            return;
        {
            std::lock_guard lock(exchange->mutex);
            if (!Roster::giveUp(exchange->round))
                return;
        }
        self->finish(*exchange, false);
    });
}

void DepartureExchange::stop() { m_private->stopped = true; }

} // namespace Daemon
