#pragma once

#include <cstdint>

namespace Limits {

inline constexpr int64_t firstSendsAnExtra = 20; // 5%.
inline constexpr int64_t maximumSavedExtras = 50;
inline constexpr int64_t initialExtras = 20;

// One budget for hedges and retries together: `initialExtras`, and then at most one extra request for each
// `firstSendsAnExtra` first sends, counted from the start, whatever happens. Nothing but first sends fills it, so it
// holds when all servers are slow.
struct ExtraBudget {
    int64_t saved { initialExtras * firstSendsAnExtra }; // First sends not yet spent on an extra.
    int64_t firstSends { 0 };
    int64_t extras { 0 };
};

void countFirstSend(ExtraBudget&);
// Takes an extra out of the budget, if it has one.
bool tryTakeExtra(ExtraBudget&);
// Gives back an extra that was taken and not sent.
void returnExtra(ExtraBudget&);

} // namespace Limits
