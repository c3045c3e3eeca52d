#include "Limits/ServerNotice.h"

#include <algorithm>

namespace Limits {

using Common::Incarnation;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // A server that asks for more may be confused. It can ask again.
    constexpr Milliseconds maximumClosed { 60'000 };
    constexpr double returnSpread = 0.5;

} // namespace

void recordNotice(
    ServerNotices& notices, Incarnation incarnation, const ServerNotice& notice, bool isServed, TimePoint now)
{
    if (incarnation < notices.incarnation)
        return;
    if (incarnation > notices.incarnation)
        notices = { incarnation };
    notices.isLeaving = notices.isLeaving || notice.isLeaving;
    if (isServed)
        notices.isReopening = false;
    if (!notice.closedFor)
        return;
    Milliseconds closedFor = std::clamp(*notice.closedFor, Milliseconds(0), maximumClosed);
    notices.closedUntil = std::max(notices.closedUntil, now + closedFor);
    notices.isReopening = true;
}

bool mayReceive(const ServerNotices& notices, Incarnation incarnation, size_t inFlight, TimePoint now)
{
    if (incarnation > notices.incarnation)
        return true;
    if (notices.isLeaving || now < notices.closedUntil)
        return false;
    return !notices.isReopening || !inFlight;
}

std::optional<Milliseconds> reopensIn(const ServerNotices& notices, Incarnation incarnation, TimePoint now)
{
    if (incarnation > notices.incarnation || notices.isLeaving || notices.closedUntil <= now)
        return std::nullopt;
    return notices.closedUntil - now;
}

Milliseconds spreadReturn(Milliseconds reopensIn, double chance) { return reopensIn * (1 + returnSpread * chance); }

} // namespace Limits
