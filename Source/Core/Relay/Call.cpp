#include "Relay/Call.h"

namespace Relay {

Common::ContentDigest contentOf(const Call& call)
{
    return Common::digestOf({ call.identity, call.method, call.host, call.target, call.body });
}

} // namespace Relay
