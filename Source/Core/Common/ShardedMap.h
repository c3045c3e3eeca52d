#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Common {

// A hash map split into shards by the hash of the key, each with its own mutex.
// Callbacks run with the mutex of one shard held and must not call the same map.
template <typename Key, typename Value, size_t ShardCount = 32> class ShardedMap {
public:
    // Calls fn(Value&) on the value of key, default-constructed if absent, and returns its result.
    template <typename Function> auto withValue(const Key& key, Function&& fn)
    {
        Shard& shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        return std::forward<Function>(fn)(shard.values[key]);
    }

    // Calls fn(Value&) if key is present; returns whether it was.
    template <typename Function> bool ifPresent(const Key& key, Function&& fn)
    {
        Shard& shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        auto it = shard.values.find(key);
        if (it == shard.values.end())
            return false;
        std::forward<Function>(fn)(it->second);
        return true;
    }

    // Inserts the pair unless key is present; returns whether it did.
    bool insert(const Key& key, Value value)
    {
        Shard& shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        return shard.values.emplace(key, std::move(value)).second;
    }

    // Removes key and returns its value, if it was present.
    std::optional<Value> take(const Key& key)
    {
        Shard& shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        auto it = shard.values.find(key);
        if (it == shard.values.end())
            return std::nullopt;
        std::optional<Value> value(std::move(it->second));
        shard.values.erase(it);
        return value;
    }

    // Calls fn(const Key&, Value&) on each pair. Locks one shard at a time, so this is no snapshot of the whole map.
    template <typename Function> void forEach(Function&& fn)
    {
        for (Shard& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            for (auto& [key, value] : shard.values)
                fn(key, value);
        }
    }

    // Removes each pair for which fn(const Key&, Value&) is true.
    template <typename Function> void eraseIf(Function&& fn)
    {
        for (Shard& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            std::erase_if(shard.values, [&](auto& pair) { return fn(pair.first, pair.second); });
        }
    }

    size_t size()
    {
        size_t n = 0;
        for (Shard& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            n += shard.values.size();
        }
        return n;
    }

private:
    struct Shard {
        std::mutex mutex;
        std::unordered_map<Key, Value> values;
    };

    Shard& shardOf(const Key& key) { return m_shards[std::hash<Key> {}(key) % ShardCount]; }

    std::array<Shard, ShardCount> m_shards;
};

} // namespace Common
