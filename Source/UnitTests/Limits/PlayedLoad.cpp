#include "PlayedLoad.h"

#include "Limits/LoadShedder.h"
#include "Limits/RetryAfter.h"
#include "Limits/WaitQueue.h"

#include <cmath>
#include <functional>
#include <iostream>
#include <random>
#include <set>

using Common::Milliseconds;
using Common::TimePoint;

namespace PlayedLoad {

namespace {

    // As in the relay.
    constexpr double shedRetryAfter = 50;
    constexpr double lateTolerance = 8;
    constexpr size_t slots = 2;

    struct Call {
        const Kind* kind { nullptr };
        std::string tenant;
        double arrived { 0 };
        double objective { 0 }; // Of the current attempt.
        double deadline { 0 };
        double attemptedAt { 0 };
        int attempts { 0 };
    };

    class Player {
    public:
        Player(const std::vector<Kind>& kinds, Order order, uint64_t seed, const Stall& stall)
            : m_order(order)
            , m_stall(stall)
            , m_random(seed)
        {
            for (const Kind& kind : kinds)
                m_priorities.insert(order == Order::Former ? 0 : kind.priority);
        }

        void add(const Kind& kind, const Source& source)
        {
            for (double at = source.from + gap(source.ratePerSecond); at < source.until;
                 at += gap(source.ratePerSecond)) {
                Call call { &kind, source.tenant, at, 0, at + kind.deadline, 0, 0 };
                m_events.emplace(at, [this, call] { arrive(call); });
            }
        }

        Outcome run(double end)
        {
            m_events.emplace(m_stall.until, [this] { serve(); });
            for (double at = 0; at < end; at += 10)
                m_events.emplace(at, [this] { m_outcome.queueLengths.push_back(Limits::size(m_queue)); });
            while (!m_events.empty()) {
                auto it = m_events.begin();
                m_now = it->first;
                auto event = std::move(it->second);
                m_events.erase(it);
                event();
            }
            for (const auto& [id, call] : m_calls)
                count(call, [](Counts& counts) { ++counts.unanswered; });
            return std::move(m_outcome);
        }

    private:
        TimePoint now() const { return TimePoint(Milliseconds(m_now)); }
        double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        double gap(double rate) { return -std::log(1 - chance()) * 1'000 / rate; }

        Limits::CallerClass classOf(const Call& call) const
        {
            if (m_order == Order::Former)
                return {};
            Limits::CallerClass caller { call.kind->priority, std::nullopt };
            if (!call.tenant.empty())
                caller.tenant = Common::TenantName(call.tenant);
            return caller;
        }

        template <typename Function> void count(const Call& call, Function&& fn)
        {
            fn(m_outcome.byRoute[call.kind->route]);
            fn(m_outcome.byTenant[call.tenant]);
            fn(m_outcome.all);
        }

        void arrive(Call call)
        {
            if (!call.attempts++)
                count(call, [](Counts& counts) { ++counts.calls; });
            call.attemptedAt = m_now;
            call.objective = std::min(m_now + call.kind->objective, call.deadline);
            auto caller = classOf(call);
            Limits::recordCall(m_shedder, caller, now());
            if (!Limits::shouldAdmit(m_shedder, chance(), now(), caller, m_priorities)) {
                refuse(call, shedRetryAfter);
                return;
            }
            size_t ahead = Limits::waitersAhead(m_queue, Common::RouteName(call.kind->route), caller);
            Limits::Backlog backlog { ahead, false, double(slots), Milliseconds(call.kind->serviceTime) };
            double excess = m_now + Limits::estimatedTime(backlog).value() - call.objective;
            if (ahead && excess > 0) {
                refuse(call, excess);
                return;
            }
            uint64_t id = m_nextCall++;
            m_calls[id] = call;
            double sendBy = call.deadline - (m_order == Order::Former ? 0 : call.kind->serviceTime);
            Limits::Waiter waiter { Common::QueryId(id), Common::AttemptId(1), {}, Common::RouteName(call.kind->route),
                TimePoint(Milliseconds(sendBy)), {}, caller };
            Limits::push(m_queue, waiter);
            serve();
            m_events.emplace(sendBy, [this] { refuseLate(); });
        }

        void refuseLate()
        {
            if (m_order == Order::Former)
                return;
            for (const auto& waiter : Limits::takeLate(m_queue, now())) {
                recordAnswer(true);
                refuse(take(waiter.query.value()), shedRetryAfter);
            }
        }

        void serve()
        {
            refuseLate();
            if (m_now >= m_stall.from && m_now < m_stall.until)
                return;
            while (m_free > 0) {
                auto waiter = Limits::pop(m_queue, now());
                if (!waiter)
                    return;
                --m_free;
                Call call = take(waiter->query.value());
                // Service times vary by half.
                m_events.emplace(m_now + call.kind->serviceTime * (0.5 + chance()), [this, call] { answer(call); });
            }
        }

        Call take(uint64_t id)
        {
            Call call = m_calls.at(id);
            m_calls.erase(id);
            return call;
        }

        void recordAnswer(bool isLate) { Limits::recordAnswer(m_shedder, isLate, now()); }

        void answer(const Call& call)
        {
            ++m_free;
            recordAnswer(m_now > call.objective + lateTolerance);
            count(call, [&](Counts& counts) {
                ++(m_now <= call.objective + lateTolerance ? counts.inTime
                        : m_now <= call.deadline           ? counts.late
                                                           : counts.unanswered);
            });
            serve();
        }

        void refuse(const Call& call, double capacityIn)
        {
            double wait
                = Limits::retryAfter(Milliseconds(capacityIn), Milliseconds(call.deadline - m_now), chance()).value();
            bool isAtOnce = m_now - call.attemptedAt <= call.kind->objective / 4;
            if (call.attempts == 1 && isAtOnce) {
                m_events.emplace(m_now + wait, [this, call] { arrive(call); });
                return;
            }
            count(call, [&](Counts& counts) { ++(isAtOnce ? counts.refusedAtOnce : counts.refusedLate); });
        }

        const Order m_order;
        const Stall m_stall;
        size_t m_free { slots };
        std::mt19937_64 m_random;
        std::set<int> m_priorities;
        std::multimap<double, std::function<void()>> m_events;
        std::map<uint64_t, Call> m_calls;
        uint64_t m_nextCall { 1 };
        double m_now { 0 };
        Limits::WaitQueue m_queue;
        Limits::LoadShedder m_shedder;
        Outcome m_outcome;
    };

} // namespace

Outcome play(
    const std::vector<Kind>& kinds, const std::vector<Source>& sources, Order order, uint64_t seed, const Stall& stall)
{
    Player player(kinds, order, seed, stall);
    double end = 0;
    for (const Source& source : sources) {
        player.add(kinds[source.kind], source);
        end = std::max(end, source.until);
    }
    return player.run(end + 2'000);
}

std::ostream& operator<<(std::ostream& out, const Counts& counts)
{
    return out << counts.calls << " calls: " << counts.inTime << " in time, " << counts.late << " late, "
               << counts.refusedAtOnce << " refused at once, " << counts.refusedLate << " refused late, "
               << counts.unanswered << " unanswered";
}

} // namespace PlayedLoad
