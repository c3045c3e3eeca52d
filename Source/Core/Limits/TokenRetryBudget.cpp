#include "Limits/TokenRetryBudget.h"

#include "Common/Assert.h"

#include <algorithm>

namespace Limits {

void countFirstSend(TokenRetryBudget& budget)
{
    ++budget.firstSends;
    budget.tokens = std::min(budget.tokens + 1, maximumSavedRetries * firstSendsPerRetry);
}

bool tryTakeRetry(TokenRetryBudget& budget)
{
    if (budget.tokens < firstSendsPerRetry)
        return false;
    budget.tokens -= firstSendsPerRetry;
    ++budget.retries;
    CORIANDERLOCK_INVARIANT(
        (budget.retries - initialRetries) * firstSendsPerRetry <= budget.firstSends, "retries above their budget");
    return true;
}

void returnRetry(TokenRetryBudget& budget)
{
    CORIANDERLOCK_INVARIANT(budget.retries > 0, "a retry was returned that was not taken");
    --budget.retries;
    budget.tokens = std::min(budget.tokens + firstSendsPerRetry, maximumSavedRetries * firstSendsPerRetry);
}

} // namespace Limits
