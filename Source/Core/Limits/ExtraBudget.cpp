#include "Limits/ExtraBudget.h"

#include "Common/Assert.h"

#include <algorithm>

namespace Limits {

void countFirstSend(ExtraBudget& budget)
{
    ++budget.firstSends;
    budget.saved = std::min(budget.saved + 1, maximumSavedExtras * firstSendsAnExtra);
}

bool tryTakeExtra(ExtraBudget& budget)
{
    if (budget.saved < firstSendsAnExtra)
        return false;
    budget.saved -= firstSendsAnExtra;
    ++budget.extras;
    CORIANDERLOCK_INVARIANT(
        (budget.extras - initialExtras) * firstSendsAnExtra <= budget.firstSends, "extra load above its budget");
    return true;
}

void returnExtra(ExtraBudget& budget)
{
    CORIANDERLOCK_INVARIANT(budget.extras > 0, "an extra given back that was not taken");
    --budget.extras;
    budget.saved = std::min(budget.saved + firstSendsAnExtra, maximumSavedExtras * firstSendsAnExtra);
}

} // namespace Limits
