#include "Limits/RepeatBudget.h"

#include <algorithm>

namespace Limits {

using Common::Milliseconds;
using Common::TimePoint;

namespace {

    constexpr Milliseconds sliceLength { 250 };
    // Sends reach a server later than they are counted here, and windows slide: so much of the budget is left unused.
    constexpr double usedPart = 0.8;

    RepeatBudget::Slice& sliceOf(RepeatBudget& budget, const RepeatRule& rule, TimePoint now)
    {
        // Repeats are remembered a little longer than the window, since they are counted when they are sent.
        while (!budget.slices.empty() && now - budget.slices.front().begin > rule.window + sliceLength * 2)
            budget.slices.pop_front();
        if (budget.slices.empty() || now - budget.slices.back().begin >= sliceLength)
            budget.slices.push_back({ now, 0, 0 });
        return budget.slices.back();
    }

} // namespace

void countFirstSend(RepeatBudget& budget, const RepeatRule& rule, TimePoint now)
{
    ++sliceOf(budget, rule, now).firstSends;
}

bool tryTakeRepeat(RepeatBudget& budget, const RepeatRule& rule, size_t instances, double part, TimePoint now)
{
    RepeatBudget::Slice& slice = sliceOf(budget, rule, now);
    int64_t firstSends = 0;
    int64_t repeats = 0;
    for (const RepeatBudget::Slice& s : budget.slices) {
        firstSends += s.firstSends;
        repeats += s.repeats;
    }
    double minimum = rule.minimum / static_cast<double>(std::max<size_t>(instances, 1));
    double allowed = usedPart * part * (rule.ratio.value() * static_cast<double>(firstSends) + minimum);
    if (static_cast<double>(repeats + 1) > allowed)
        return false;
    ++slice.repeats;
    return true;
}

} // namespace Limits
