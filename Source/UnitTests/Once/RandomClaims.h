#pragma once

#include "Common/Random.h"
#include "Once/Commands.h"

#include <cstdio>
#include <string>
#include <variant>

// Generates random commands for the claims of a log shard. The ids in use advance with the steps, so old ones expire.
// Each id gets a few attempts of few owners, so races, resends and late outcomes are common.
class RandomClaims {
public:
    using Command = std::variant<Once::Claim, Once::Outcome, Once::Orphan, Once::Expire>;

    explicit RandomClaims(uint64_t seed)
        : m_random(seed)
    {
    }

    Command next()
    {
        ++m_step;
        uint64_t roll = m_random.below(1'000);
        if (roll < 4)
            return Once::Orphan { owner(m_random.below(ownerCount)), Common::Incarnation(m_step / stepsOfIncarnation) };
        if (roll < 30)
            return Once::Expire { Once::LogTime(startTime + m_step * msOfStep) };
        if (roll < 600)
            return claim();
        return outcome();
    }

    Common::RequestId oldId() { return id(m_random.below(m_step / stepsOfId + 1)); }
    Once::Claim claimOf(const Common::RequestId& id)
    {
        return { id, Common::RouteName("book"), bodyOf(id), attempt() };
    }
    Common::Random& random() { return m_random; }

    static constexpr uint64_t retentionMs = 3'000;

private:
    static constexpr uint64_t ownerCount = 3;
    static constexpr uint64_t stepsOfId = 12;
    static constexpr uint64_t stepsOfIncarnation = 700;
    static constexpr uint64_t msOfStep = 5;
    static constexpr uint64_t startTime = 1'700'000'000'000;

    static Common::InstanceId owner(uint64_t n) { return Common::InstanceId("entry-" + std::to_string(n)); }

    // Every third id is a UUID of version 7 that carries its time.
    static Common::RequestId id(uint64_t n)
    {
        if (n % 3)
            return Common::RequestId("request-" + std::to_string(n));
        uint64_t time = startTime + n * stepsOfId * msOfStep;
        char text[64];
        std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx", static_cast<unsigned long long>(time >> 16),
            static_cast<unsigned long long>(time & 0xffff), static_cast<unsigned long long>(n));
        return Common::RequestId(text);
    }

    static Common::Fingerprint bodyOf(const Common::RequestId& id)
    {
        return Common::Fingerprint(id.value().size() + 1);
    }

    Common::RequestId recentId()
    {
        uint64_t newest = m_step / stepsOfId;
        uint64_t back = m_random.below(6);
        return id(newest > back ? newest - back : 0);
    }

    Once::AttemptRef attempt()
    {
        return { owner(m_random.below(ownerCount)), Common::Incarnation(m_step / stepsOfIncarnation + 1),
            Common::AttemptId(0) };
    }

    Once::Claim claim()
    {
        Once::Claim claim = claimOf(recentId());
        if (m_random.chance(0.03))
            claim.body = Common::Fingerprint(999);
        if (m_random.chance(0.02))
            claim.route = Common::RouteName("other");
        return claim;
    }

    Once::Outcome outcome()
    {
        Once::Outcome outcome { recentId(), Common::RouteName("book"), attempt(), Once::NotRun {} };
        switch (m_random.below(4)) {
        case 0:
            outcome.kind = Once::Completed { 200, "text/plain", "run " + std::to_string(m_step), false };
            break;
        case 1:
            outcome.kind = Once::RefusedByBackend { 409, "text/plain", "taken " + std::to_string(m_step), false };
            break;
        case 2:
            outcome.kind = Once::Unknown {};
            break;
        default:
            break;
        }
        return outcome;
    }

    Common::Random m_random;
    uint64_t m_step { 0 };
};
