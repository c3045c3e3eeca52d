#include "Roster/Evacuations.h"

#include <algorithm>

namespace Roster {

bool isEvacuated(const Evacuations& evacuations, const Common::FailureDomain& domain)
{
    return std::find(evacuations.domains.begin(), evacuations.domains.end(), domain) != evacuations.domains.end();
}

} // namespace Roster
