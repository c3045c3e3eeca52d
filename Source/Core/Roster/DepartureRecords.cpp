#include "Roster/DepartureRecords.h"

namespace Roster {

bool add(DepartureRecords& records, const Departure& departure, Common::TimePoint now)
{
    auto [it, isNew] = records.entries.try_emplace(departure.server, DepartureRecords::Entry { departure, now });
    if (isNew)
        return true;
    const Departure& known = it->second.departure;
    bool isCovered = known.incarnation > departure.incarnation
        || (known.incarnation == departure.incarnation && (known.isNamed || !departure.isNamed));
    if (!isCovered)
        it->second = { departure, now };
    return !isCovered;
}

void forgetBefore(DepartureRecords& records, Common::TimePoint time)
{
    std::erase_if(records.entries, [&](const auto& pair) { return pair.second.addedAt < time; });
}

} // namespace Roster
