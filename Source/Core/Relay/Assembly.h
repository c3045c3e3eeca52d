#pragma once

#include "Relay/Call.h"
#include "Routes/Table.h"

#include <optional>
#include <vector>

namespace Relay {

// The answer to a call whose groups are asked in several bundles. Plain data: the caller keeps it under a lock.
//
// Each bundle may miss as many groups as the whole answer may. If the bundles miss too many together, those groups are
// asked once more, as far as they may run once more.
struct Assembly {
    const Routes::Fan* fan { nullptr };
    int maximumAttempts { 1 }; // Servers of one group on which the call may run.
    size_t awaited { 0 }; // Bundles that are not answered.
    std::vector<Merged> parts;
    std::vector<MissingGroup> missing; // By their places in the fan's list.
    std::vector<Refusal> refusals;
    bool askedAgain { false };
    bool finished { false };
};

Assembly makeAssembly(const Routes::Fan&, int maximumAttempts, size_t bundles);

// Groups that may be missing from an answer.
size_t mayMiss(const Routes::Fan&);

// What follows from a bundle's answer: nothing yet, the whole answer, or a last bundle to ask.
struct Step {
    std::optional<Answer> answer;
    std::vector<MissingGroup> askAgain;
    size_t needed { 0 }; // Of these.
};

Step takeBundle(Assembly&, const std::vector<size_t>& groups, Answer);

} // namespace Relay
