#include "Roster/Validation.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace Roster {

namespace {

    constexpr size_t maximumName = 255;
    constexpr size_t maximumHost = 45; // An IPv6 address with an embedded IPv4 address.
    constexpr int maximumPort = 65'535;
    // Whole numbers up to here are exact in JSON.
    constexpr uint64_t maximumSequence = uint64_t { 1 } << 53;
    constexpr Common::Milliseconds longestWarmup { 3'600'000 };
    // Clocks of machines differ, but not by a day.
    constexpr Common::Milliseconds clockTolerance { 86'400'000 };

    bool isText(const std::string& text)
    {
        return text.size() <= maximumName
            && std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    }

    bool isName(const std::string& text) { return !text.empty() && isText(text); }

    bool isAddress(const std::string& text)
    {
        size_t colon = text.rfind(':');
        if (colon == std::string::npos || !colon || colon > maximumHost)
            return false;
        bool isHost = text.find_first_not_of("0123456789abcdefABCDEF.:[]") >= colon;
        int port = 0;
        const char* end = text.data() + text.size();
        auto read = std::from_chars(text.data() + colon + 1, end, port);
        return isHost && read.ec == std::errc() && read.ptr == end && port >= 1 && port <= maximumPort;
    }

} // namespace

Common::Incarnation latestIncarnation(Common::Milliseconds wallClock)
{
    return Common::Incarnation(static_cast<uint64_t>((wallClock + clockTolerance).value()));
}

bool isValid(const Report& report)
{
    if (!isName(report.server.value()) || report.sequence > maximumSequence)
        return false;
    if (report.status != ServerStatus::Serving)
        return true;
    // Written so that a warm-up that is no number fails.
    bool isWarmup = report.warmupLeft >= Common::Milliseconds(0) && report.warmupLeft <= longestWarmup;
    return isName(report.group.value()) && isText(report.domain.value()) && isAddress(report.address.value())
        && report.slots > Common::Slots(0) && isWarmup;
}

bool isValid(const Report& report, Common::Incarnation latest)
{
    return isValid(report) && report.incarnation <= latest;
}

} // namespace Roster
