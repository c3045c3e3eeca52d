#include "Roster/Records.h"

namespace Roster {

const char* statusName(ServerStatus status)
{
    switch (status) {
    case ServerStatus::Serving:
        return "serving";
    case ServerStatus::Leaving:
        return "leaving";
    case ServerStatus::Lost:
        return "lost";
    }
    return "";
}

} // namespace Roster
