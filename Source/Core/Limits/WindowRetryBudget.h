#pragma once

#include "Common/Clock.h"
#include "Common/Units.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Limits {

// Bounds the retries that all instances together send to one group in any window of time. A hedge counts as a retry.
struct RetryBudgetRule {
    Common::Ratio ratio { 0.2 }; // Retries for each first send.
    double minimum { 0 }; // Retries allowed besides the ratio, over all instances.
    Common::Milliseconds window { 10'000 };
};

// One instance's part of the budget: the ratio of its own first sends and its part of the minimum.
struct WindowRetryBudget {
    struct Slice {
        Common::TimePoint begin;
        int64_t firstSends { 0 };
        int64_t retries { 0 };
    };

    std::deque<Slice> slices; // Oldest first.
};

void countFirstSend(WindowRetryBudget&, const RetryBudgetRule&, Common::TimePoint now);
// Takes a retry out of the budget. False if the budget is used up. The minimum is divided among `senders`; there is
// none if that is unknown. `part` is the part of the budget that this kind of retry may use: below 1 for hedges, which
// are optional.
bool tryTakeRetry(
    WindowRetryBudget&, const RetryBudgetRule&, std::optional<size_t> senders, double part, Common::TimePoint now);

} // namespace Limits
