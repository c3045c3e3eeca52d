#include "Roster/Records.h"

namespace Roster {

const char* standingName(Standing standing)
{
    switch (standing) {
    case Standing::Serving:
        return "serving";
    case Standing::Leaving:
        return "leaving";
    case Standing::Lost:
        return "lost";
    }
    return "";
}

} // namespace Roster
