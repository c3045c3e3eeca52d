#include "Control/Change.h"

#include "Common/Hash.h"

#include <bit>
#include <string_view>

namespace Control {

namespace {

    // Concatenates the fields and hashes the result. Each text is preceded by its length, so that neighbouring texts
    // can't be confused.
    class Hasher {
    public:
        void add(uint64_t n)
        {
            for (int shift = 0; shift < 64; shift += 8)
                m_bytes.push_back(static_cast<char>((n >> shift) & 0xff));
        }
        void add(double n) { add(std::bit_cast<uint64_t>(n)); }
        void add(std::string_view text)
        {
            add(uint64_t { text.size() });
            m_bytes += text;
        }
        uint64_t result() const { return Common::hash64(m_bytes); }

    private:
        std::string m_bytes;
    };

    struct ResourceHasher {
        Hasher& hasher;

        void operator()(const Model::QueryRoute& route) const
        {
            hasher.add(route.name.value());
            hasher.add(route.group.value());
            hasher.add(static_cast<uint64_t>(route.kind));
            hasher.add(route.version.value());
            hasher.add(route.deadline.value());
            hasher.add(route.minimumCoverage.value());
        }
        void operator()(const Model::BackendGroup& group) const
        {
            hasher.add(group.name.value());
            hasher.add(static_cast<uint64_t>(group.slots.value()));
            hasher.add(static_cast<uint64_t>(group.connectionLimit.value()));
            hasher.add(group.connectTime.value());
        }
        void operator()(const Model::IndexVersionMap& map) const
        {
            hasher.add(map.group.value());
            hasher.add(map.version.value());
            for (const Model::Shard& shard : map.shards) {
                hasher.add(uint64_t { shard.id.value() });
                hasher.add(shard.range.begin);
                hasher.add(shard.range.end);
            }
        }
        void operator()(const Model::Instance& instance) const
        {
            hasher.add(instance.id.value());
            hasher.add(instance.domain.value());
            hasher.add(instance.address.value());
            hasher.add(uint64_t { instance.draining });
        }
        void operator()(const Model::RouteTable& table) const
        {
            hasher.add(table.number.value());
            hasher.add(table.document);
        }
        void operator()(const Model::DomainEvacuation& evacuation) const
        {
            hasher.add(evacuation.domain.value());
            hasher.add(uint64_t { evacuation.isEvacuated });
        }
    };

} // namespace

const char* actionName(Action action)
{
    switch (action) {
    case Action::Create:
        return "create";
    case Action::Replace:
        return "replace";
    case Action::Delete:
        return "delete";
    case Action::Raise:
        return "raise";
    case Action::Assign:
        return "assign";
    case Action::AssignFrom:
        return "assign-from";
    }
    return "";
}

Common::Fingerprint fingerprintOf(const Change& change)
{
    Hasher hasher;
    hasher.add(static_cast<uint64_t>(change.action));
    hasher.add(static_cast<uint64_t>(change.key.kind));
    hasher.add(change.key.name);
    hasher.add(change.madeFrom.value());
    hasher.add(uint64_t { change.resource ? change.resource->index() + 1 : 0 });
    if (change.resource)
        std::visit(ResourceHasher { hasher }, *change.resource);
    return Common::Fingerprint(hasher.result());
}

} // namespace Control
