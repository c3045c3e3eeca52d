#include "Once/Commands.h"

namespace Once {

const char* refusalCode(ClaimRefusal why)
{
    switch (why) {
    case ClaimRefusal::OtherBody:
        return "other-body";
    case ClaimRefusal::Orphaned:
        return "orphaned";
    case ClaimRefusal::Superseded:
        return "superseded";
    case ClaimRefusal::Expired:
        return "expired";
    case ClaimRefusal::Full:
        return "full";
    }
    return "full";
}

} // namespace Once
