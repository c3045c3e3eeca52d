#pragma once

#include "Relay/Call.h"
#include "Routes/Table.h"

#include <optional>
#include <vector>

namespace Relay {

// Merges the bundle answers of one call. Plain data: the caller keeps it under a lock.
//
// Each bundle is delivered at the latency objective with the groups that have answered by then. A bundle that is late
// does not hold back the others: once the objective has passed, the call is answered as soon as enough groups are in.
// If the call as a whole is missing too many groups, the bundles that still have pending groups are resumed.
struct Assembly {
    struct Part {
        std::vector<size_t> groups; // Indexes in fanOut->groups.
        bool isAwaited { true };
        std::vector<MissingGroup> missing;
    };

    const Routes::FanOut* fanOut { nullptr };
    std::vector<Part> parts; // One per bundle.
    std::vector<Merged> merged;
    std::vector<Refusal> refusals;
    bool isResumed { false };
    bool isDue { false }; // The objective has passed.
    bool finished { false };
};

Assembly makeAssembly(const Routes::FanOut&, const std::vector<std::vector<size_t>>& bundles);

// A bundle to wait for longer, and the number of further groups needed from it.
struct ResumePart {
    size_t bundle { 0 };
    size_t needed { 0 };

    friend bool operator==(const ResumePart&, const ResumePart&) = default;
};

// The next step after a bundle's answer: wait (both empty), answer the call, or resume bundles.
struct AssemblyStep {
    std::optional<Answer> answer;
    std::vector<ResumePart> resume;
};

AssemblyStep addBundleAnswer(Assembly&, size_t bundle, Answer);

// Returns the answer if enough groups are in.
AssemblyStep objectivePassed(Assembly&);

// The bundles on which work goes on for long after the call has ended with this answer: those not delivered yet, and
// resumed ones. Bundles that were delivered and not resumed end by themselves shortly after.
std::vector<size_t> bundlesToCancel(const Assembly&, const Answer&);

} // namespace Relay
