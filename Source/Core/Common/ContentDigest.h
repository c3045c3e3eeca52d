#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Common {

// The first 128 bits of a SHA-256 hash, so that nobody can construct other content with the same digest.
struct ContentDigest {
    uint64_t high { 0 };
    uint64_t low { 0 };

    friend auto operator<=>(const ContentDigest&, const ContentDigest&) = default;
};

// The digest of the texts in this order. Different lists of texts have different digests, also if their concatenations
// are equal.
ContentDigest digestOf(std::initializer_list<std::string_view>);

// 32 hexadecimal digits.
std::string toHex(const ContentDigest&);

} // namespace Common

template <> struct std::hash<Common::ContentDigest> {
    size_t operator()(const Common::ContentDigest& digest) const noexcept { return digest.low; }
};
