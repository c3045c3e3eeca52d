#pragma once

#include <cstdint>

namespace Limits {

inline constexpr int64_t firstSendsPerRetry = 20; // 5%.
inline constexpr int64_t maximumSavedRetries = 50;
inline constexpr int64_t initialRetries = 20;

// One budget for hedges and retries together: `initialRetries`, and then at most one extra request for each
// `firstSendsPerRetry` first sends, counted from the start, whatever happens. Nothing but first sends fills it, so it
// holds when all servers are slow.
struct TokenRetryBudget {
    int64_t saved { initialRetries * firstSendsPerRetry }; // First sends not yet spent on an extra.
    int64_t firstSends { 0 };
    int64_t retries { 0 };
};

void countFirstSend(TokenRetryBudget&);
// Takes an extra out of the budget, if it has one.
bool tryTakeRetry(TokenRetryBudget&);
// Gives back an extra that was taken and not sent.
void returnRetry(TokenRetryBudget&);

} // namespace Limits
