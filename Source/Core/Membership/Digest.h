#pragma once

#include "Membership/Directory.h"
#include "Membership/Quarantine.h"

#include <array>
#include <unordered_set>
#include <vector>

namespace Membership {

inline constexpr size_t digestBuckets = 128;

// Hashes over all advertised records. The digests of two instances are equal only if both hold the same records.
struct Digest {
    std::array<uint32_t, digestBuckets> buckets {};
    uint64_t root { 0 };
    // The state from which the digest was computed.
    uint64_t directoryGeneration { 0 };
    uint64_t quarantineGeneration { 0 };
    Common::TimePoint madeAt;
};

struct BucketSummaries {
    uint32_t bucket { 0 };
    std::vector<Summary> summaries;

    friend bool operator==(const BucketSummaries&, const BucketSummaries&) = default;
};

Digest makeDigest(const Directory&, const QuarantineState&, const DirectorySettings&, Common::TimePoint now);

uint32_t bucketOf(uint64_t key);

// The summaries of the local records in each of the buckets, in the order of the buckets.
std::vector<BucketSummaries> summariesOf(const Directory&, const QuarantineState&, const DirectorySettings&,
    const std::vector<uint32_t>& buckets, Common::TimePoint now);

// The advertised records with these keys, at most limit.
std::vector<Record> recordsOf(const Directory&, const QuarantineState&, const DirectorySettings&,
    const std::unordered_set<uint64_t>& keys, size_t limit, Common::TimePoint now);

// How two instances differ in some buckets. toSend holds the keys that the other instance lacks or has in another
// version, wanted those that this one lacks or has in another version.
struct Difference {
    std::unordered_set<uint64_t> toSend;
    std::vector<uint64_t> wanted;
};

Difference compare(const std::vector<BucketSummaries>& own, const std::vector<BucketSummaries>& others);

} // namespace Membership
