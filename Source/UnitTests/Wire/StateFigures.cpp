// Prints what the replicated state costs: memory, time to apply, and size of snapshots.
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
constexpr uint64_t claimsOfLogTime = 1'000;
constexpr uint64_t startTime = 1'700'000'000'000;

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Time and memory from its making on.
class Span {
public:
    void print(const char* what, uint64_t n) const
    {
        double ms = (Common::Clock::now() - m_start).value();
        double bytes = heapBytes() - m_heap;
        auto count = static_cast<double>(n);
        std::printf("%-28s %8.0f ms, %9.0f a second, %7.1f bytes of memory each\n", what, ms, count / ms * 1'000,
            bytes / count);
    }

private:
    Common::TimePoint m_start { Common::Clock::now() };
    double m_heap { heapBytes() };
};

Once::Claim claimOf(uint64_t n)
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
    Span claimed;
    for (uint64_t i = 0; i < n; ++i)
        apply(claims, claimOf(i));
    claimed.print("claims, running", n);
    Span settled;
    for (uint64_t i = 0; i < n; ++i) {
        if (i % claimsOfLogTime == 0)
            apply(claims, Once::Expire { Once::LogTime(startTime + i / claimsOfLogTime) });
        Once::Claim claim = claimOf(i);
        Once::Completed answer { 200, "application/json", std::string(bodyBytes, 'x'), false };
        apply(claims, Once::Outcome { claim.id, claim.route, claim.by, answer });
    }
    settled.print("outcomes, 200-byte bodies", n);
    Span encoded;
    std::string snapshot = Wire::encodeSnapshot(claims);
    encoded.print("snapshot of claims", n);
    std::printf("  %.1f bytes of snapshot a claim\n", static_cast<double>(snapshot.size()) / static_cast<double>(n));
    Span decoded;
    auto restored = Wire::decodeClaims(snapshot);
    decoded.print("restored claims", n);
    Span expired;
    Once::LogTime end(startTime + claims.settings.retentionMs + n);
    while (!claims.records.empty())
        apply(claims, Once::Expire { end });
    expired.print("expired claims", n);
    std::printf("  %zu tombstones, %zu records\n", claims.tombstones.size(), claims.records.size());
}

Control::Change changeOf(uint64_t n)
{
    Model::BackendGroup group { Common::GroupName("group-" + std::to_string(n)) };
    return { Common::ChangeId("change-" + std::to_string(n)), Control::Action::Create, Model::keyOf(group), group,
        Common::Revision() };
}

void measureChanges(uint64_t n)
{
    Control::Configuration configuration;
    Span applied;
    for (uint64_t i = 0; i < n; ++i)
        applyChange(configuration, changeOf(i));
    applied.print("changes", n);
    Span encoded;
    std::string snapshot = Wire::encodeSnapshot(configuration);
    encoded.print("snapshot of resources", n);
    std::printf("  %.1f bytes of snapshot a resource\n", static_cast<double>(snapshot.size()) / static_cast<double>(n));
    Span decoded;
    auto restored = Wire::decodeConfiguration(snapshot);
    decoded.print("restored resources", n);
    std::string one = Wire::encode(Control::Command(changeOf(1)));
    std::printf("  %zu bytes a change in the log, %zu bytes a claim\n", one.size(),
        Wire::encode(Control::Command(claimOf(1))).size());
}

} // namespace

int main(int count, char** arguments)
{
    auto number
        = [&](int at, uint64_t usual) { return count > at ? std::strtoull(arguments[at], nullptr, 10) : usual; };
    measureClaims(number(1, 100'000));
    measureChanges(number(2, 100'000));
}
