#include "Limits/WindowRetryBudget.h"

#include <algorithm>

namespace Limits {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    constexpr Milliseconds sliceLength { 250 };
    // Requests reach a server later than they are counted here, so a sliding window at the server may contain more of
    // them than a window here. The rest of the budget is the margin for that.
    constexpr double usableShare = 0.8;

    WindowRetryBudget::Slice& sliceOf(WindowRetryBudget& budget, const RetryBudgetRule& rule, TimePoint now)
    {
        // Keep slices a little longer than the window: retries are counted when sent and reach the server later.
        while (!budget.slices.empty() && now - budget.slices.front().begin > rule.window + sliceLength * 2)
            budget.slices.pop_front();
        if (budget.slices.empty() || now - budget.slices.back().begin >= sliceLength)
            budget.slices.push_back({ now, 0, 0 });
        return budget.slices.back();
    }

} // namespace

void countFirstSend(WindowRetryBudget& budget, const RetryBudgetRule& rule, TimePoint now)
{
    ++sliceOf(budget, rule, now).firstSends;
}

bool tryTakeRetry(
    WindowRetryBudget& budget, const RetryBudgetRule& rule, std::optional<size_t> senders, double part, TimePoint now)
{
    WindowRetryBudget::Slice& slice = sliceOf(budget, rule, now);
    int64_t firstSends = 0;
    int64_t retries = 0;
    for (const WindowRetryBudget::Slice& s : budget.slices) {
        firstSends += s.firstSends;
        retries += s.retries;
    }
    double minimum = senders ? rule.minimum / static_cast<double>(std::max<size_t>(*senders, 1)) : 0;
    double allowed = usableShare * part * (rule.ratio.value() * static_cast<double>(firstSends) + minimum);
    if (static_cast<double>(retries + 1) > allowed)
        return false;
    ++slice.retries;
    return true;
}

} // namespace Limits
