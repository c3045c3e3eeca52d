#include "Limits/SenderHistory.h"

#include <algorithm>

namespace Limits {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    // The budget uses four fifths of what the rule allows.
    constexpr size_t startFactor = 4;

} // namespace

void recordSenders(SenderHistory& history, size_t senders, Milliseconds window, TimePoint now)
{
    auto& entries = history.entries;
    while (entries.size() > 1 && entries[1].from <= now - window)
        entries.pop_front();
    if (entries.empty() || entries.back().senders != senders)
        entries.push_back({ now, senders });
}

std::optional<size_t> mostSenders(const SenderHistory& history, Milliseconds window, TimePoint now)
{
    if (history.entries.empty())
        return std::nullopt;
    size_t most = 0;
    for (size_t i = 0; i < history.entries.size(); ++i) {
        bool isReplaced = i + 1 < history.entries.size() && history.entries[i + 1].from <= now - window;
        if (!isReplaced)
            most = std::max(most, history.entries[i].senders);
    }
    bool hasJustStarted = history.entries.front().from > now - window;
    return hasJustStarted ? most * startFactor : most;
}

} // namespace Limits
