#pragma once

#include "Common/StrongType.h"

#include <chrono>
#include <cstdint>

namespace Common {

// A duration in milliseconds. Fractions are kept, since network hops inside a failure domain take less than 1 ms.
using Milliseconds = Quantity<struct MillisecondsTag, double>;

// A point in time on the monotonic clock, in milliseconds since an epoch that has a meaning in this process only.
class TimePoint {
public:
    constexpr TimePoint() = default;
    constexpr explicit TimePoint(Milliseconds sinceStart)
        : m_sinceStart(sinceStart)
    {
    }

    constexpr Milliseconds sinceStart() const { return m_sinceStart; }

    friend constexpr TimePoint operator+(TimePoint t, Milliseconds d) { return TimePoint(t.m_sinceStart + d); }
    friend constexpr TimePoint operator-(TimePoint t, Milliseconds d) { return TimePoint(t.m_sinceStart - d); }
    friend constexpr Milliseconds operator-(TimePoint a, TimePoint b) { return a.m_sinceStart - b.m_sinceStart; }
    friend constexpr auto operator<=>(TimePoint, TimePoint) = default;
    friend constexpr bool operator==(TimePoint, TimePoint) = default;

private:
    Milliseconds m_sinceStart;
};

// Reads the machine's clocks. Functions that decide take the time as an argument instead of calling this.
class Clock {
public:
    static TimePoint now();
    // A clock of its own that goes on while the machine is suspended. For leases, which others let expire meanwhile.
    static TimePoint sinceBoot();
    // Wall clock time, in milliseconds since 1970. For display and for the timeline only.
    static Milliseconds wallClock();
    static std::chrono::microseconds toChrono(Milliseconds);
};

} // namespace Common
