#include "StandIn/DataSet.h"

#include "Common/Random.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace StandIn {

namespace {

    constexpr std::array<const char*, 12> streets { "Durbar Marg", "Darbar Marg", "Durbaar Marga", "Pulchowk Road",
        "Pulchok Road", "Mangal Bazar", "Mangal Bazaar", "Kossuth utca", "Petofi utca", "Jawalakhel Chowk",
        "Jhamsikhel Road", "Rakoczi ut" };
    constexpr uint64_t maximumHouseNumber = 200;
    constexpr size_t keyBufferSize = 32;

    std::vector<std::string_view> splitAlternatives(std::string_view text)
    {
        std::vector<std::string_view> parts;
        for (size_t begin = 0; begin <= text.size();) {
            const size_t end = std::min(text.find('|', begin), text.size());
            parts.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        return parts;
    }

    bool matches(const Record& record, const std::vector<std::string_view>& alternatives)
    {
        return std::any_of(alternatives.begin(), alternatives.end(), [&](std::string_view part) {
            return record.key.find(part) != std::string::npos || record.value.find(part) != std::string::npos;
        });
    }

} // namespace

DataSet makeDataSet(size_t count, uint64_t seed)
{
    Common::Random random(seed);
    DataSet data;
    data.records.reserve(count);
    for (size_t i = 0; i < count; ++i) {
        std::array<char, keyBufferSize> buf {};
        std::snprintf(buf.data(), buf.size(), "household-%06zu", i);
        Record record;
        record.key = buf.data();
        record.value = streets.at(random.below(streets.size()));
        record.value += ' ' + std::to_string(1 + random.below(maximumHouseNumber));
        record.point = Common::keyPoint(record.key);
        data.records.push_back(std::move(record));
    }
    std::sort(data.records.begin(), data.records.end(),
        [](const Record& a, const Record& b) { return std::tie(a.point, a.key) < std::tie(b.point, b.key); });
    return data;
}

Common::KeyRange shardRange(Common::ShardId shard, uint32_t shardCount)
{
    return { Common::keySpaceSize * shard.value() / shardCount,
        Common::keySpaceSize * (shard.value() + 1) / shardCount };
}

Common::KeyRange overlap(Common::KeyRange a, Common::KeyRange b)
{
    return { std::max(a.begin, b.begin), std::min(a.end, b.end) };
}

SearchAnswer findRecords(const DataSet& data, Common::IndexVersion version, Common::ShardId shard,
    Common::KeyRange range, std::string_view text, size_t limit)
{
    SearchAnswer answer { version, shard, range, {}, false };
    const auto alternatives = splitAlternatives(text);
    auto it = std::lower_bound(data.records.begin(), data.records.end(), range.begin,
        [](const Record& record, uint64_t point) { return record.point < point; });
    for (; it != data.records.end() && it->point < range.end; ++it) {
        if (!matches(*it, alternatives))
            continue;
        if (answer.results.size() == limit) {
            answer.truncated = true;
            break;
        }
        Record found = *it;
        found.value += ", v" + std::to_string(version.value());
        answer.results.push_back(std::move(found));
    }
    return answer;
}

} // namespace StandIn
