#pragma once

#include <cstdint>

namespace Limits {

inline constexpr int64_t firstSendsPerRetry = 20; // So 5% of the first sends, after the initial retries.
inline constexpr int64_t maximumSavedRetries = 50;
inline constexpr int64_t initialRetries = 20;

// A token bucket for retries; a hedge counts as a retry. It starts with `initialRetries` and earns one retry for each
// `firstSendsPerRetry` first sends. Only first sends refill it, neither time nor successes, so the bound also holds
// when all servers are slow.
struct TokenRetryBudget {
    int64_t tokens { initialRetries * firstSendsPerRetry }; // One for each first send that no retry has used.
    int64_t firstSends { 0 };
    int64_t retries { 0 };
};

void countFirstSend(TokenRetryBudget&);
// Takes a retry out of the budget. False if the budget is used up.
bool tryTakeRetry(TokenRetryBudget&);
// Returns a retry that was taken but not sent.
void returnRetry(TokenRetryBudget&);

} // namespace Limits
