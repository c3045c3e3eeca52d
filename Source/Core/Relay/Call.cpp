#include "Relay/Call.h"

#include <algorithm>

namespace Relay {

Suspects::Keys keysOf(const Call& call)
{
    return Suspects::keysOf({ call.address, call.identity, call.method, call.host, call.target, call.body });
}

CallPtr identified(const Call& call, const Routes::Tenant* tenant, const TenantHeaders& headers)
{
    auto out = std::make_shared<Call>(call);
    out->credentials = {};
    std::erase_if(out->fields, [&](const auto& field) {
        std::string name = Http::lowerCase(field.first);
        return name == headers.key || name == headers.tenant;
    });
    if (!tenant)
        return out;
    out->tenant = tenant->name;
    // A tenant that changes its keys remains the same caller.
    out->identity = tenant->name.value();
    out->keys = keysOf(*out);
    return out;
}

} // namespace Relay
