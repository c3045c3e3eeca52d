#pragma once

#include "Common/ContentDigest.h"

#include <array>
#include <string>
#include <string_view>

namespace Suspects {

// What of a request its sends may have in common, from the narrowest to the widest. A caller that sends a request again
// may change parts of it, and others may send the same text, so no single choice recognises it each time.
enum class Breadth {
    Request, // Address and identity of the caller, method, host, target, body.
    Content, // The same from any address.
    Pattern, // The same from this address with any method and query string.
};

inline constexpr std::array<Breadth, 3> allBreadths { Breadth::Request, Breadth::Content, Breadth::Pattern };

// "request", "content", "pattern".
const char* breadthName(Breadth);

// The digests of a request, one for each breadth.
struct Keys {
    Common::ContentDigest request;
    Common::ContentDigest content;
    Common::ContentDigest pattern;

    friend bool operator==(const Keys&, const Keys&) = default;
};

const Common::ContentDigest& keyOf(const Keys&, Breadth);

// The parts of a request that the keys are made of.
struct RequestText {
    std::string_view address; // The IP address that it came from, empty if unknown.
    std::string_view identity; // What its headers say of the caller.
    std::string_view method;
    std::string_view host;
    std::string_view target; // Path and query as received.
    std::string_view body;
};

// Host names in other case and paths with other escapes give the same keys.
Keys keysOf(const RequestText&);

} // namespace Suspects
