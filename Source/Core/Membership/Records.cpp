#include "Membership/Records.h"

#include "Common/Hash.h"

#include <string_view>
#include <tuple>

namespace Membership {

namespace {

    // Within an incarnation the state only advances: present, leaving, gone.
    int finality(const ServerRecord& record)
    {
        if (record.liveness == Liveness::Gone)
            return 2;
        return record.announcement.state == ServerState::Leaving ? 1 : 0;
    }

    int finality(const InstanceRecord& record)
    {
        if (record.liveness == Liveness::Gone)
            return 2;
        return record.state == InstanceState::Leaving ? 1 : 0;
    }

    auto rank(const ServerRecord& record)
    {
        const Announcement& announcement = record.announcement;
        return std::make_tuple(announcement.incarnation, finality(record), announcement.sequence, record.liveness);
    }

    auto rank(const InstanceRecord& record)
    {
        return std::make_tuple(record.incarnation, finality(record), record.sequence, record.liveness);
    }

    class Hasher {
    public:
        explicit Hasher(uint64_t seed)
            : m_hash(seed)
        {
        }

        Hasher& add(const std::string& text)
        {
            m_hash = Common::hash64(text, m_hash);
            return *this;
        }

        Hasher& add(uint64_t number)
        {
            char bytes[sizeof(number)];
            for (char& byte : bytes) {
                byte = static_cast<char>(number & 0xff);
                number >>= 8;
            }
            m_hash = Common::hash64(std::string_view(bytes, sizeof(bytes)), m_hash);
            return *this;
        }

        uint64_t hash() const { return m_hash; }
        uint32_t shortHash() const { return static_cast<uint32_t>(m_hash ^ (m_hash >> 32)); }

    private:
        uint64_t m_hash;
    };

    // A seed per kind of record avoids key collisions between equal names.
    constexpr uint64_t serverSeed = 1;
    constexpr uint64_t instanceSeed = 2;
    constexpr uint64_t fingerprintSeed = 3;

} // namespace

bool supersedes(const ServerRecord& a, const ServerRecord& b)
{
    auto rankA = rank(a);
    auto rankB = rank(b);
    return rankA != rankB ? rankA > rankB : a > b;
}

bool supersedes(const InstanceRecord& a, const InstanceRecord& b)
{
    auto rankA = rank(a);
    auto rankB = rank(b);
    return rankA != rankB ? rankA > rankB : a > b;
}

Summary summarize(const ServerRecord& record)
{
    const Announcement& announcement = record.announcement;
    Hasher key(serverSeed);
    key.add(announcement.server.value());
    Hasher version = key;
    version.add(announcement.address.value()).add(announcement.domain.value()).add(announcement.group.value());
    version.add(announcement.incarnation.value()).add(announcement.sequence);
    version.add(static_cast<uint64_t>(announcement.state));
    for (const Replica& replica : announcement.replicas)
        version.add(replica.version.value()).add(replica.shard.value());
    version.add(record.owner.value()).add(static_cast<uint64_t>(record.liveness));
    return { key.hash(), version.shortHash() };
}

Summary summarize(const InstanceRecord& record)
{
    Hasher key(instanceSeed);
    key.add(record.id.value());
    Hasher version = key;
    version.add(record.incarnation.value()).add(record.address.value()).add(record.domain.value());
    version.add(static_cast<uint64_t>(record.state)).add(record.sequence).add(static_cast<uint64_t>(record.liveness));
    return { key.hash(), version.shortHash() };
}

Summary summarize(const FingerprintRecord& record)
{
    Hasher key(fingerprintSeed);
    key.add(record.fingerprint.value());
    Hasher version = key;
    version.add(record.round);
    for (const Loss& loss : record.losses)
        version.add(loss.server.value()).add(loss.incarnation.value());
    return { key.hash(), version.shortHash() };
}

Summary summarize(const Record& record)
{
    return std::visit([](const auto& it) { return summarize(it); }, record);
}

} // namespace Membership
