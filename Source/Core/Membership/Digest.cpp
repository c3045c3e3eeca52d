#include "Membership/Digest.h"

#include "Common/Hash.h"

#include <string_view>
#include <unordered_map>

namespace Membership {

namespace {

    // Calls fn(summary, record) on each advertised record. Old tombstones are not advertised: instances drop them at
    // different times and would otherwise keep sending them to each other for ever.
    template <typename Function>
    void forEachAdvertised(const Directory& directory, const QuarantineState& quarantine,
        const DirectorySettings& settings, Common::TimePoint now, Function&& fn)
    {
        auto isAdvertised = [&](const auto& entry) {
            return entry.record.liveness != Liveness::Gone || now - entry.changedAt < settings.advertiseTombstones;
        };
        for (const auto& [id, entry] : directory.servers) {
            if (isAdvertised(entry))
                fn(entry.summary, entry.record);
        }
        for (const auto& [id, entry] : directory.instances) {
            if (isAdvertised(entry))
                fn(entry.summary, entry.record);
        }
        for (const auto& [fingerprint, entry] : quarantine.entries) {
            if (now < entry.expiresAt)
                fn(entry.summary, withRemaining(entry, now));
        }
    }

    uint32_t mix(const Summary& summary)
    {
        uint64_t folded = summary.key * 0x9e3779b97f4a7c15 + summary.version * 0xc2b2ae3d27d4eb4f;
        return static_cast<uint32_t>(folded >> 32);
    }

    uint64_t rootOf(const std::array<uint32_t, digestBuckets>& buckets)
    {
        std::string_view bytes(reinterpret_cast<const char*>(buckets.data()), sizeof(buckets));
        return Common::hash64(bytes);
    }

} // namespace

uint32_t bucketOf(uint64_t key) { return static_cast<uint32_t>(key % digestBuckets); }

Digest makeDigest(const Directory& directory, const QuarantineState& quarantine, const DirectorySettings& settings,
    Common::TimePoint now)
{
    Digest digest;
    forEachAdvertised(directory, quarantine, settings, now,
        [&](const Summary& summary, const auto&) { digest.buckets[bucketOf(summary.key)] += mix(summary); });
    digest.root = rootOf(digest.buckets);
    digest.directoryGeneration = directory.generation;
    digest.quarantineGeneration = quarantine.generation;
    digest.madeAt = now;
    return digest;
}

std::vector<BucketSummaries> summariesOf(const Directory& directory, const QuarantineState& quarantine,
    const DirectorySettings& settings, const std::vector<uint32_t>& buckets, Common::TimePoint now)
{
    std::vector<BucketSummaries> result;
    std::unordered_map<uint32_t, size_t> positions;
    for (uint32_t bucket : buckets) {
        if (positions.emplace(bucket, result.size()).second)
            result.push_back({ bucket, {} });
    }
    forEachAdvertised(directory, quarantine, settings, now, [&](const Summary& summary, const auto&) {
        auto it = positions.find(bucketOf(summary.key));
        if (it != positions.end())
            result[it->second].summaries.push_back(summary);
    });
    return result;
}

std::vector<Record> recordsOf(const Directory& directory, const QuarantineState& quarantine,
    const DirectorySettings& settings, const std::unordered_set<uint64_t>& keys, size_t limit, Common::TimePoint now)
{
    std::vector<Record> records;
    forEachAdvertised(directory, quarantine, settings, now, [&](const Summary& summary, const auto& record) {
        if (records.size() < limit && keys.count(summary.key))
            records.emplace_back(record);
    });
    return records;
}

Difference compare(const std::vector<BucketSummaries>& own, const std::vector<BucketSummaries>& others)
{
    std::unordered_map<uint64_t, uint32_t> ownVersions;
    for (const auto& bucket : own) {
        for (const Summary& summary : bucket.summaries)
            ownVersions.emplace(summary.key, summary.version);
    }
    Difference difference;
    for (const auto& bucket : others) {
        for (const Summary& summary : bucket.summaries) {
            auto it = ownVersions.find(summary.key);
            bool isSame = it != ownVersions.end() && it->second == summary.version;
            if (!isSame)
                difference.wanted.push_back(summary.key);
            if (isSame)
                ownVersions.erase(it);
        }
    }
    for (const auto& [key, version] : ownVersions)
        difference.toSend.insert(key);
    return difference;
}

} // namespace Membership
