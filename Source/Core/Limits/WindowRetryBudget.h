#pragma once

#include "Common/Clock.h"
#include "Common/Units.h"

#include <cstdint>
#include <deque>

namespace Limits {

// What all instances together may send to one group beyond the first send of each request, in any window of time.
struct RetryBudgetRule {
    Common::Ratio ratio { 0.2 }; // Of the first sends.
    double minimum { 0 }; // Repeats that are allowed whatever was sent, over all instances.
    Common::Milliseconds window { 10'000 };
};

// One instance's part in it. Each instance counts on its own first sends, and takes its part of the minimum.
struct WindowRetryBudget {
    struct Slice {
        Common::TimePoint begin;
        int64_t firstSends { 0 };
        int64_t retries { 0 };
    };

    std::deque<Slice> slices; // Oldest first.
};

void countFirstSend(WindowRetryBudget&, const RetryBudgetRule&, Common::TimePoint now);
// Takes a repeat out of the budget, if it has one. `part` is the part of the budget that may be used for it: less for
// what can be done without.
bool tryTakeRetry(WindowRetryBudget&, const RetryBudgetRule&, size_t instances, double part, Common::TimePoint now);

} // namespace Limits
