#include "Limits/TokenRetryBudget.h"

#include "Common/Assert.h"

#include <algorithm>

namespace Limits {

void countFirstSend(TokenRetryBudget& budget)
{
    ++budget.firstSends;
    budget.saved = std::min(budget.saved + 1, maximumSavedRetries * firstSendsPerRetry);
}

bool tryTakeRetry(TokenRetryBudget& budget)
{
    if (budget.saved < firstSendsPerRetry)
        return false;
    budget.saved -= firstSendsPerRetry;
    ++budget.retries;
    CORIANDERLOCK_INVARIANT(
        (budget.retries - initialRetries) * firstSendsPerRetry <= budget.firstSends, "extra load above its budget");
    return true;
}

void returnRetry(TokenRetryBudget& budget)
{
    CORIANDERLOCK_INVARIANT(budget.retries > 0, "an extra given back that was not taken");
    --budget.retries;
    budget.saved = std::min(budget.saved + firstSendsPerRetry, maximumSavedRetries * firstSendsPerRetry);
}

} // namespace Limits
