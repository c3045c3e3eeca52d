#pragma once

#include "Common/StrongType.h"

#include <chrono>
#include <cstdint>

namespace Common {

// A span of time in milliseconds. Fractions are kept, since hops inside a failure domain take less than one.
using Milliseconds = Quantity<struct MillisecondsTag, double>;

// A point on a monotonic time line, in milliseconds since a start that only this process knows.
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

// Reads the machine's clocks. Decisions never call this: time comes to them as an argument.
class Clock {
public:
    static TimePoint now();
    // Wall clock, milliseconds since 1970, for people and for the time line only.
    static Milliseconds wallClock();
    static std::chrono::microseconds toChrono(Milliseconds);
};

} // namespace Common
