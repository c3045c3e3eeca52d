// Prints the costs of the replicated state: memory, time to apply commands, and snapshot size.
// Use: StateFigures [CLAIMS] [RESOURCES]

#include "Common/Clock.h"
#include "Control/StateMachine.h"
#include "Wire/ControlCodec.h"
#include "Wire/OnceCodec.h"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

constexpr size_t bodyBytes = 200;
constexpr uint64_t claimsPerLogTime = 1'000;
constexpr uint64_t startTime = 1'700'000'000'000;

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Measures time and heap growth since its construction.
class Measurement {
public:
    void print(const char* what, uint64_t n) const
    {
        double ms = (Common::Clock::now() - m_start).value();
        double bytes = heapBytes() - m_heap;
        auto count = static_cast<double>(n);
        std::printf("%-28s %8.0f ms, %9.0f per second, %7.1f bytes of memory each\n", what, ms, count / ms * 1'000,
            bytes / count);
    }

private:
    Common::TimePoint m_start { Common::Clock::now() };
    double m_heap { heapBytes() };
};

Once::Claim makeClaim(uint64_t n)
{
    Once::AttemptRef by { Common::InstanceId("entry-3"), Common::Incarnation(1), Common::AttemptId(n) };
    return { Common::RequestId("foglalas-2026-12-05-" + std::to_string(100'000'000 + n)),
        Common::RouteName("book-slot"), Common::Fingerprint(n), by };
}

void measureClaims(uint64_t n)
{
    Once::Claims claims;
    claims.settings.maximumRecords = n;
    apply(claims, Once::Expire { Once::LogTime(startTime) });
    Measurement claimed;
    for (uint64_t i = 0; i < n; ++i)
        apply(claims, makeClaim(i));
    claimed.print("claims, running", n);
    Measurement settled;
    for (uint64_t i = 0; i < n; ++i) {
        if (i % claimsPerLogTime == 0)
            apply(claims, Once::Expire { Once::LogTime(startTime + i / claimsPerLogTime) });
        Once::Claim claim = makeClaim(i);
        Once::Completed answer { 200, "application/json", std::string(bodyBytes, 'x'), false };
        apply(claims, Once::Outcome { claim.id, claim.route, claim.by, answer });
    }
    settled.print("outcomes, 200-byte bodies", n);
    Measurement encoded;
    std::string snapshot = Wire::encodeSnapshot(claims);
    encoded.print("snapshot of claims", n);
    std::printf("  %.1f snapshot bytes per claim\n", static_cast<double>(snapshot.size()) / static_cast<double>(n));
    Measurement decoded;
    auto restored = Wire::decodeClaims(snapshot);
    decoded.print("restored claims", n);
    Measurement expired;
    Once::LogTime end(startTime + claims.settings.retentionMs + n);
    while (!claims.records.empty())
        apply(claims, Once::Expire { end });
    expired.print("expired claims", n);
    std::printf("  %zu tombstones, %zu records\n", claims.tombstones.size(), claims.records.size());
}

Control::Change makeChange(uint64_t n)
{
    Model::BackendGroup group { Common::GroupName("group-" + std::to_string(n)) };
    return { Common::ChangeId("change-" + std::to_string(n)), Control::Action::Create, Model::keyOf(group), group,
        Common::Revision() };
}

void measureChanges(uint64_t n)
{
    Control::Configuration configuration;
    Measurement applied;
    for (uint64_t i = 0; i < n; ++i)
        applyChange(configuration, makeChange(i));
    applied.print("changes", n);
    Measurement encoded;
    std::string snapshot = Wire::encodeSnapshot(configuration);
    encoded.print("snapshot of resources", n);
    std::printf("  %.1f snapshot bytes per resource\n", static_cast<double>(snapshot.size()) / static_cast<double>(n));
    Measurement decoded;
    auto restored = Wire::decodeConfiguration(snapshot);
    decoded.print("restored resources", n);
    std::string one = Wire::encode(Control::Command(makeChange(1)));
    std::printf(
        "  %zu log bytes per change, %zu per claim\n", one.size(), Wire::encode(Control::Command(makeClaim(1))).size());
}

} // namespace

int main(int count, char** arguments)
{
    auto number = [&](int at, uint64_t defaultValue) {
        return count > at ? std::strtoull(arguments[at], nullptr, 10) : defaultValue;
    };
    measureClaims(number(1, 100'000));
    measureChanges(number(2, 100'000));
}
