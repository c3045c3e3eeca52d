#include "Common/Clock.h"

#include "Common/Assert.h"

#include <ctime>

namespace Common {

namespace {

    using DoubleMilliseconds = std::chrono::duration<double, std::milli>;

} // namespace

TimePoint Clock::now()
{
    auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(Milliseconds(DoubleMilliseconds(sinceEpoch).count()));
}

TimePoint Clock::sinceBoot()
{
    timespec time {};
    int result = ::clock_gettime(CLOCK_BOOTTIME, &time);
    CORIANDERLOCK_INVARIANT(!result, "the boot clock can be read");
    auto sinceEpoch = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(Milliseconds(DoubleMilliseconds(sinceEpoch).count()));
}

Milliseconds Clock::wallClock()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Milliseconds(DoubleMilliseconds(sinceEpoch).count());
}

std::chrono::microseconds Clock::toChrono(Milliseconds d)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(DoubleMilliseconds(d.value()));
}

} // namespace Common
