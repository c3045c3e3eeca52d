#pragma once

#include "Relay/Call.h"
#include "Routes/Table.h"

#include <optional>
#include <vector>

namespace Relay {

// The answer to a call whose groups are asked in several bundles. Plain data: the caller keeps it under a lock.
//
// Bundles are delivered at the aim with whatever is in. If they lack too much together, those that may still get
// answers are resumed.
struct Assembly {
    struct Part {
        std::vector<size_t> groups; // Places in the fan's list.
        bool isAwaited { true };
        std::vector<MissingGroup> missing;
    };

    const Routes::FanOut* fanOut { nullptr };
    std::vector<Part> parts; // One for each bundle.
    std::vector<Merged> merged;
    std::vector<Refusal> refusals;
    bool isResumed { false };
    bool finished { false };
};

Assembly makeAssembly(const Routes::FanOut&, const std::vector<std::vector<size_t>>& bundles);

// A bundle to wait for longer, and for how many groups.
struct ResumePart {
    size_t bundle { 0 };
    size_t needed { 0 };

    friend bool operator==(const ResumePart&, const ResumePart&) = default;
};

// What follows from a bundle's answer: nothing yet, the whole answer, or bundles to resume.
struct AssemblyStep {
    std::optional<Answer> answer;
    std::vector<ResumePart> resume;
};

AssemblyStep takeBundle(Assembly&, size_t bundle, Answer);

} // namespace Relay
