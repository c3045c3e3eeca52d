#pragma once

#include "Common/ContentDigest.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <optional>
#include <string_view>
#include <vector>

// The tenants of a route table, and who a caller is according to its key. Keys are kept as digests only.
namespace Routes {

struct Route;
struct Table;

using KeyDigest = Common::ContentDigest;

KeyDigest digestOfKey(std::string_view key);

// The requests that all instances together accept from a tenant.
struct Quota {
    Common::RequestRate rate;
    double burst { 0 }; // Requests beyond the rate, at any time.

    friend bool operator==(const Quota&, const Quota&) = default;
};

// An organisation whose callers share a quota.
struct Tenant {
    Common::TenantName name;
    std::vector<KeyDigest> keys;
    std::optional<int> priority; // 0 is the most urgent. Takes precedence over the route's priority.
    std::optional<Quota> quota; // Empty: unlimited.
};

// The key that came with a request.
struct Credentials {
    enum class Form {
        Missing,
        Key,
        Malformed, // Not a single key of the expected scheme.
        Repeated, // More than one.
    };

    Form form { Form::Missing };
    KeyDigest key; // Of the form Key only.
};

// The tenant that holds the caller's key; null for an anonymous request, and for each request if the table has no
// tenants. Unauthenticated: the message is "unknown-key", "missing-key", "malformed-key" or "repeated-key".
Common::Result<const Tenant*> identify(const Table&, const Route&, const Credentials&);

// Whether a call with this tenant can have passed identify().
bool isIdentified(const Table&, const Route&, const std::optional<Common::TenantName>&);

const Tenant* findTenant(const Table&, const Common::TenantName&);

// The tenant may be null.
int priorityOf(const Route&, const Tenant*);

// Returns InvalidInput with the tenant's name and the first invalid field. The message never contains a key.
Common::Result<void> validateTenants(const Table&);

} // namespace Routes
