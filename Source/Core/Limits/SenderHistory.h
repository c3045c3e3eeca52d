#pragma once

#include "Common/Clock.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace Limits {

// Among how many instances the minimum of a retry budget was divided, as this instance saw it. A part that an instance
// used may not be used again by the one that replaces it, or by those that remain, before the window has passed.
struct SenderHistory {
    struct Entry {
        Common::TimePoint from;
        size_t senders { 0 };
    };

    std::deque<Entry> entries; // Oldest first; each applies until the next one.
};

// Drops what was replaced more than the window ago.
void recordSenders(SenderHistory&, size_t senders, Common::Milliseconds window, Common::TimePoint now);

// The most senders at any time in the window; empty if there is no history. If it does not reach back so far, as after
// a start, a multiple of them: the earlier incarnation may have used its part, and the multiple leaves to this one what
// the budget keeps unused. This holds for one restart of an instance in a window.
std::optional<size_t> mostSenders(const SenderHistory&, Common::Milliseconds window, Common::TimePoint now);

} // namespace Limits
