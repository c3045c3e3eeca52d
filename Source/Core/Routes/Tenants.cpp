#include "Routes/Tenants.h"

#include "Routes/Table.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Routes {

using Common::Reason;
using Common::Result;

namespace {

    Common::Error tenantError(const Tenant& tenant, const std::string& field, const std::string& problem)
    {
        return Common::makeError(
            Reason::InvalidInput, "validate-tenants", "tenant '" + tenant.name.value() + "': " + field + " " + problem);
    }

    Common::Error unauthenticated(const char* why)
    {
        return Common::makeError(Reason::Unauthenticated, "identify", why);
    }

    // The name is sent in a header.
    bool isPrintable(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
    }

    bool isAmount(double value) { return std::isfinite(value) && value >= 0; }

} // namespace

KeyDigest digestOfKey(std::string_view key) { return Common::digestOf({ "api-key", key }); }

Result<const Tenant*> identify(const Table& table, const Route& route, const Credentials& credentials)
{
    const Tenant* none = nullptr;
    if (!table.tenants)
        return none;
    switch (credentials.form) {
    case Credentials::Form::Missing:
        if (route.allowsAnonymous)
            return none;
        return unauthenticated("missing-key");
    case Credentials::Form::Malformed:
        return unauthenticated("malformed-key");
    case Credentials::Form::Repeated:
        return unauthenticated("repeated-key");
    case Credentials::Form::Key:
        break;
    }
    auto it = table.tenantOfKey.find(credentials.key);
    if (it == table.tenantOfKey.end())
        return unauthenticated("unknown-key");
    return &(*table.tenants)[it->second];
}

bool isIdentified(const Table& table, const Route& route, const std::optional<Common::TenantName>& tenant)
{
    if (!table.tenants)
        return !tenant;
    return tenant ? findTenant(table, *tenant) != nullptr : route.allowsAnonymous;
}

const Tenant* findTenant(const Table& table, const Common::TenantName& name)
{
    auto it = table.tenantAt.find(name);
    return it == table.tenantAt.end() ? nullptr : &(*table.tenants)[it->second];
}

int priorityOf(const Route& route, const Tenant* tenant)
{
    return tenant && tenant->priority ? *tenant->priority : route.priority;
}

Result<void> validateTenants(const Table& table)
{
    if (!table.tenants)
        return Common::success();
    static const KeyDigest emptyKey = digestOfKey("");
    std::set<Common::TenantName> names;
    std::set<KeyDigest> keys;
    for (const Tenant& tenant : *table.tenants) {
        if (tenant.name.value().empty() || !isPrintable(tenant.name.value()))
            return tenantError(tenant, "name", "must consist of printable characters without spaces");
        if (!names.insert(tenant.name).second)
            return tenantError(tenant, "name", "duplicates that of another tenant");
        std::set<KeyDigest> own(tenant.keys.begin(), tenant.keys.end());
        for (const KeyDigest& key : own) {
            if (key == emptyKey)
                return tenantError(tenant, "key", "must not be empty");
            if (!keys.insert(key).second)
                return tenantError(tenant, "key", "duplicates that of another tenant");
        }
        if (tenant.quota && (!isAmount(tenant.quota->rate.value()) || !isAmount(tenant.quota->burst)))
            return tenantError(tenant, "quota", "must be finite and not negative");
    }
    return Common::success();
}

} // namespace Routes
