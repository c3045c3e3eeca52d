#include "Roster/DepartureRecords.h"
#include "Roster/Departures.h"
#include "Roster/Mirror.h"
#include "Roster/ServerView.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>

using Common::Address;
using Common::BackendServerId;
using Common::Incarnation;
using Common::InstanceId;
using Common::TimePoint;
using Roster::Report;
using Roster::RoundStep;

namespace {

constexpr size_t controls = 5;
constexpr size_t tolerated = 2;
constexpr uint64_t longestDelay = 8'000; // Of a message between instances, in ms. Longer than a server is away.
constexpr uint64_t replyWait = 1'000; // After which a server calls another instance.
constexpr Common::Milliseconds drainTime { 3'000 };
constexpr uint64_t returnDelay = 3'500; // Of a server that has left, before its next start. Longer than the drain time.
constexpr uint64_t duration = 60'000;
constexpr uint64_t longestWrite = 50; // To a disk.
const BackendServerId server("s");

// Control instances that restart with their disks, all at once or not, or lose them, and a server that sends
// heartbeats, crashes, leaves and returns. Messages are late, lost and repeated, and clocks differ. All times are in
// ms.
class Simulation {
public:
    // reportDelay: the longest time until a server's report is read. clockDifference: of a control instance from the
    // server, at most, in either direction.
    Simulation(uint32_t seed, uint64_t reportDelay, uint64_t clockDifference)
        : m_random(seed)
        , m_reportDelay(reportDelay)
        , m_clockDifference(clockDifference)
    {
        for (uint64_t& ahead : m_clocksAhead)
            ahead = m_random() % (2 * clockDifference + 1);
    }

    void run()
    {
        actAgain();
        while (m_now < duration) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        exchangeAll();
    }

    // The starts that a relay that begins now may send requests to.
    std::vector<Incarnation> eligibleStarts() const
    {
        Roster::ServerView view;
        for (size_t i = 0; i < controls; ++i)
            Roster::merge(view, InstanceId(std::to_string(i)), stateOf(i), TimePoint());
        std::vector<Incarnation> starts;
        for (auto& [group, servers] : Roster::eligibleServers(view)) {
            for (const Roster::EligibleServer& it : servers)
                starts.push_back(it.incarnation);
        }
        return starts;
    }

    // Lets the server, if it is in use, send heartbeats that arrive.
    void renewEverywhere()
    {
        for (size_t i = 0; m_isServing && i < controls; ++i)
            Roster::renew(m_registries[i], reportNow(), now());
        exchangeAll();
    }

    bool isServing() const { return m_isServing && !m_isLeaving; }
    Incarnation currentStart() const { return m_start; }
    Incarnation acknowledged() const { return m_acknowledged; }
    int acknowledgements() const { return m_acknowledgements; }
    int wholeRestarts() const { return m_wholeRestarts; }

private:
    struct Round {
        size_t receiver { 0 };
        int receiverStart { 0 };
        Incarnation sender;
        Roster::DepartureRound state;
    };
    using RoundPtr = std::shared_ptr<Round>;

    bool happens(unsigned percent) { return m_random() % 100 < percent; }

    void schedule(uint64_t delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

    // Delivers a message after a while, not at all, or twice.
    void send(uint64_t longest, const std::function<void()>& deliver)
    {
        if (happens(20))
            return;
        schedule(m_random() % (happens(10) ? longest : 50), deliver);
        if (happens(20))
            schedule(m_random() % longest, deliver);
    }

    void actAgain()
    {
        schedule(1 + m_random() % 400, [this] {
            act();
            actAgain();
        });
    }

    void act()
    {
        switch (m_random() % 8) {
        case 0:
            loseControls();
            return;
        case 4:
            if (happens(10))
                restartAllControls();
            return;
        case 1:
            mirror(m_random() % controls, m_random() % controls);
            return;
        case 2:
            if (m_isServing && m_now - m_returnedAt >= m_clockDifference && happens(20))
                m_isLeaving = true;
            break;
        case 3:
            if (m_isServing && !m_isLeaving && happens(10))
                crash();
            break;
        default:
            break;
        }
        if (m_isLeaving)
            leave();
        else if (m_isServing)
            heartbeat();
    }

    // The next start may leave before its first heartbeat has arrived.
    void crash()
    {
        m_isServing = false;
        schedule(500 + m_random() % 2'000, [this] {
            start();
            m_isLeaving = happens(30);
        });
    }

    void start()
    {
        m_start = Incarnation(m_now);
        m_sequence = 0;
        m_isServing = true;
    }

    TimePoint now() const { return TimePoint(Common::Milliseconds(static_cast<double>(m_now))); }

    Report reportNow()
    {
        Report report;
        report.server = server;
        report.group = Common::GroupName("g");
        report.address = Address("10.0.0.1:80");
        report.incarnation = m_start;
        report.sequence = ++m_sequence;
        return report;
    }

    void heartbeat()
    {
        size_t receiver = m_random() % controls;
        send(m_reportDelay,
            [this, receiver, report = reportNow()] { Roster::renew(m_registries[receiver], report, now()); });
    }

    Roster::Changes stateOf(size_t control) const
    {
        Roster::Changes changes = Roster::changesSince(m_registries[control], Common::Revision(0));
        changes.whole = true;
        return changes;
    }

    // Takes over the departures that the other one reports.
    void mirror(size_t to, size_t from)
    {
        Roster::SourceState state;
        state.shards.push_back(stateOf(from));
        for (const Report& report : Roster::departuresIn(state))
            hold(to, report.incarnation, Roster::isOfStart(report), [] {});
    }

    // Calls fn when the departure is on the disk of the instance, unless it restarts before.
    void hold(size_t control, Incarnation ended, bool isOfStart, const std::function<void()>& fn)
    {
        Roster::leave(m_registries[control], server, ended, now());
        schedule(m_random() % longestWrite, [this, control, ended, isOfStart, started = m_starts[control], fn] {
            if (m_starts[control] != started)
                return;
            Roster::add(m_disks[control], { server, ended, isOfStart, Incarnation(0) }, now());
            fn();
        });
    }

    void restart(size_t control)
    {
        m_registries[control] = {};
        ++m_starts[control];
        for (auto& [id, entry] : m_disks[control].entries)
            Roster::leave(m_registries[control], id, entry.departure.incarnation, now(),
                entry.departure.isNamed ? entry.departure.incarnation : Incarnation(0));
    }

    void restartAllControls()
    {
        ++m_wholeRestarts;
        for (size_t i = 0; i < controls; ++i)
            restart(i);
    }

    void exchangeAll()
    {
        for (size_t i = 0; i < controls * controls; ++i)
            mirror(i / controls, i % controls);
    }

    // As many as may be lost together lose their disks. Before the next ones do, all have exchanged their state.
    void loseControls()
    {
        if (m_now < m_nextLossAt)
            return;
        m_nextLossAt = m_now + 2 * longestDelay;
        for (size_t i = 0; i < tolerated; ++i) {
            schedule(m_random() % 1'000, [this, control = m_random() % controls] {
                m_disks[control] = {};
                restart(control);
            });
        }
        schedule(longestDelay, [this] { exchangeAll(); });
    }

    Incarnation wallClock(size_t control) const
    {
        return Incarnation(m_now + m_clocksAhead[control] - m_clockDifference);
    }

    void leave()
    {
        size_t receiver = m_random() % controls;
        Incarnation named = happens(30) ? m_start : Incarnation(0);
        send(m_reportDelay, [this, receiver, named, sender = m_start, sentAt = m_now] {
            auto& registry = m_registries[receiver];
            // The server has closed the connection when it calls another instance.
            Roster::Receipt receipt { wallClock(receiver), m_now - sentAt <= replyWait };
            auto departure
                = Roster::departureFrom(server, named, Roster::knownStart(registry, server), receipt, drainTime);
            if (!departure)
                return;
            auto round = std::make_shared<Round>();
            round->receiver = receiver;
            round->receiverStart = m_starts[receiver];
            round->sender = sender;
            round->state.departure = *departure;
            round->state.needed = 1 + Roster::copiesNeeded(tolerated, true, controls - 1);
            act(round, receiver, Roster::begin(round->state));
        });
    }

    void act(const RoundPtr& round, size_t other, RoundStep step)
    {
        if (step == RoundStep::AskAgain)
            ask(round, other);
        for (size_t i = 0; step == RoundStep::AskAll && i < controls; ++i) {
            if (i != round->receiver)
                ask(round, i);
            else
                storeOwn(round);
        }
        if (step == RoundStep::Acknowledge)
            acknowledge(round->sender);
    }

    void storeOwn(const RoundPtr& round)
    {
        auto departure = round->state.departure;
        hold(round->receiver, departure.incarnation, departure.isNamed,
            [this, round, asked = departure.incarnation] { handleReply(round, round->receiver, asked, asked); });
    }

    void ask(const RoundPtr& round, size_t other)
    {
        send(longestDelay, [this, round, other, departure = round->state.departure] {
            auto& registry = m_registries[other];
            auto known = Roster::knownStart(registry, server).latest;
            auto ended = Roster::endedIncarnation(departure, known, wallClock(other), drainTime);
            hold(other, ended, departure.isNamed, [this, round, other, asked = departure.incarnation, ended] {
                send(longestDelay, [this, round, other, asked, ended] { handleReply(round, other, asked, ended); });
            });
        });
    }

    void handleReply(const RoundPtr& round, size_t other, Incarnation asked, Incarnation held)
    {
        // The round ended with its instance.
        if (m_starts[round->receiver] != round->receiverStart)
            return;
        if (held > asked)
            hold(round->receiver, held, false, [] {});
        act(round, other, Roster::recordReply(round->state, Address(std::to_string(other)), asked, held));
    }

    // The server waits for this only while it leaves. It is silent then, and may return.
    void acknowledge(Incarnation sender)
    {
        if (!m_isLeaving || sender != m_start)
            return;
        ++m_acknowledgements;
        m_acknowledged = m_start;
        m_isLeaving = false;
        m_isServing = false;
        if (happens(70))
            schedule(returnDelay + m_random() % 3'000, [this] {
                start();
                m_returnedAt = m_now;
            });
    }

    std::mt19937 m_random;
    const uint64_t m_reportDelay;
    const uint64_t m_clockDifference;
    uint64_t m_now { 1'000 };
    std::multimap<uint64_t, std::function<void()>> m_events;
    std::array<Roster::Registry, controls> m_registries;
    std::array<int, controls> m_starts {};
    std::array<Roster::DepartureRecords, controls> m_disks;
    int m_wholeRestarts { 0 };
    std::array<uint64_t, controls> m_clocksAhead {}; // Plus m_clockDifference.
    uint64_t m_nextLossAt { 0 };
    Incarnation m_start { 1 };
    uint64_t m_returnedAt { 0 };
    uint64_t m_sequence { 0 };
    bool m_isServing { true };
    bool m_isLeaving { false };
    Incarnation m_acknowledged;
    int m_acknowledgements { 0 };
};

void checkDepartures(uint64_t reportDelay, uint64_t clockDifference)
{
    int acknowledgements = 0;
    int served = 0;
    int wholeRestarts = 0;
    for (uint32_t seed = 1; seed <= 2'000; ++seed) {
        Simulation simulation(seed, reportDelay, clockDifference);
        simulation.run();
        acknowledgements += simulation.acknowledgements();
        wholeRestarts += simulation.wholeRestarts();
        for (Incarnation start : simulation.eligibleStarts())
            ASSERT_GT(start, simulation.acknowledged()) << "seed " << seed;
        simulation.renewEverywhere();
        if (!simulation.isServing())
            continue;
        ASSERT_EQ(simulation.eligibleStarts(), std::vector<Incarnation> { simulation.currentStart() })
            << "seed " << seed;
        ++served;
    }
    EXPECT_GT(acknowledgements, 2'000) << "the simulation shows too little";
    EXPECT_GT(served, 200);
    EXPECT_GT(wholeRestarts, 2'000);
}

} // namespace

// Guards against acknowledged departures that are lost or undone, and against those that outlive the start that they
// end.
TEST(Departure, HoldsForItsStartWhateverIsLostLateOrRestarted) { checkDepartures(replyWait, 0); }

// The same with clocks that differ by a second. A server that has drained and returned does not leave within that time.
TEST(Departure, HoldsForItsStartWhenClocksDiffer) { checkDepartures(replyWait, 1'000); }

// The same while instances are suspended or cut off, and read reports when the server has returned.
TEST(LateReport, EndsNoLaterStart) { checkDepartures(longestDelay, 0); }

TEST(LateReport, EndsNoLaterStartWhenClocksDiffer) { checkDepartures(longestDelay, 1'000); }
