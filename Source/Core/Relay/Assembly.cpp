#include "Relay/Assembly.h"

#include "Relay/Merge.h"
#include "Relay/Query.h"

#include <algorithm>

namespace Relay {

namespace {

    bool hasNotAnswered(const Assembly::Part& part) { return part.isAwaited && part.missing.empty(); }

    size_t missingGroups(const Assembly& assembly)
    {
        size_t n = 0;
        for (const Assembly::Part& part : assembly.parts)
            n += part.missing.size();
        return n;
    }

    size_t awaitedGroups(const Assembly& assembly)
    {
        size_t n = 0;
        for (const Assembly::Part& part : assembly.parts)
            n += hasNotAnswered(part) ? part.groups.size() : 0;
        return n;
    }

    size_t pendingGroups(const Assembly::Part& part)
    {
        return static_cast<size_t>(std::count_if(
            part.missing.begin(), part.missing.end(), [](const MissingGroup& group) { return group.isPending; }));
    }

    bool isAwaited(const Assembly& assembly)
    {
        return std::any_of(
            assembly.parts.begin(), assembly.parts.end(), [](const Assembly::Part& part) { return part.isAwaited; });
    }

    Merged mergeAll(Assembly& assembly)
    {
        Merged all;
        std::vector<const std::string*> bodies;
        for (Merged& merged : assembly.merged) {
            bodies.push_back(&merged.body);
            std::move(merged.signatures.begin(), merged.signatures.end(), std::back_inserter(all.signatures));
        }
        for (const Assembly::Part& part : assembly.parts) {
            for (const MissingGroup& group : part.missing)
                all.missing.push_back({ part.groups.at(group.place), false });
            for (size_t place : hasNotAnswered(part) ? part.groups : std::vector<size_t>())
                all.missing.push_back({ place, false });
        }
        all.body = greatestRecords(bodies, assembly.fanOut->topRecords);
        return all;
    }

    // hasNotRun holds only if no bundle has run and none is pending.
    Refusal mergeRefusals(const Assembly& assembly)
    {
        if (assembly.refusals.empty())
            return { Common::makeError(Common::Reason::DeadlineExceeded, "gather", "too few groups answered"), false,
                {} };
        Refusal refusal = assembly.refusals.front();
        refusal.hasNotRun = assembly.merged.empty() && !isAwaited(assembly)
            && std::all_of(
                assembly.refusals.begin(), assembly.refusals.end(), [](const Refusal& r) { return r.hasNotRun; });
        if (!refusal.hasNotRun)
            refusal.retryAfter = Common::Milliseconds(0);
        return refusal;
    }

    void recordAnswer(Assembly& assembly, Assembly::Part& part, Answer answer)
    {
        part.isAwaited = false;
        if (auto merged = std::get_if<Merged>(&answer)) {
            part.missing = std::move(merged->missing);
            assembly.merged.push_back(std::move(*merged));
            return;
        }
        // After a delivery, a refusal means only that no further groups answered.
        if (part.missing.empty()) {
            for (size_t i = 0; i < part.groups.size(); ++i)
                part.missing.push_back({ i, false });
        }
        for (MissingGroup& group : part.missing)
            group.isPending = false;
        auto refusal = std::get_if<Refusal>(&answer);
        assembly.refusals.push_back(refusal
                ? std::move(*refusal)
                : Refusal { Common::makeError(Common::Reason::Cancelled, "gather", "the caller left"), false, {} });
    }

    // Returns the bundles whose pending groups can cover the shortfall, or none if they are too few.
    std::vector<ResumePart> resumableBundles(Assembly& assembly, size_t shortfall)
    {
        std::vector<ResumePart> found;
        size_t pending = 0;
        for (size_t i = 0; i < assembly.parts.size(); ++i) {
            size_t here = pendingGroups(assembly.parts[i]);
            pending += here;
            if (here)
                found.push_back({ i, std::min(here, shortfall) });
        }
        return pending < shortfall ? std::vector<ResumePart>() : found;
    }

} // namespace

Assembly makeAssembly(const Routes::FanOut& fanOut, const std::vector<std::vector<size_t>>& bundles)
{
    Assembly assembly;
    assembly.fanOut = &fanOut;
    for (const std::vector<size_t>& groups : bundles)
        assembly.parts.push_back({ groups, true, {} });
    return assembly;
}

AssemblyStep addBundleAnswer(Assembly& assembly, size_t bundle, Answer answer)
{
    AssemblyStep step;
    if (assembly.finished)
        return step;
    recordAnswer(assembly, assembly.parts.at(bundle), std::move(answer));
    size_t allowed = allowedMissing(*assembly.fanOut, assembly.fanOut->groups.size());
    bool isEnough = missingGroups(assembly) <= allowed;
    bool cannotSucceed = !isEnough && !assembly.refusals.empty() && !assembly.isResumed;
    bool isEnoughNow = missingGroups(assembly) + awaitedGroups(assembly) <= allowed;
    // An answer that is late already is returned as soon as it is sufficient.
    bool isLate = assembly.isDue || assembly.isResumed;
    bool mayWait = isAwaited(assembly) && !(isEnoughNow && isLate) && !cannotSucceed;
    if (mayWait)
        return step;
    if (!isEnough && !cannotSucceed && !assembly.isResumed) {
        step.resume = resumableBundles(assembly, missingGroups(assembly) - allowed);
        assembly.isResumed = true;
        for (const ResumePart& part : step.resume)
            assembly.parts[part.bundle].isAwaited = true;
        if (!step.resume.empty())
            return step;
    }
    assembly.finished = true;
    if (isEnough)
        step.answer = mergeAll(assembly);
    else
        step.answer = mergeRefusals(assembly);
    return step;
}

AssemblyStep objectivePassed(Assembly& assembly)
{
    AssemblyStep step;
    assembly.isDue = true;
    size_t allowed = allowedMissing(*assembly.fanOut, assembly.fanOut->groups.size());
    if (assembly.finished || missingGroups(assembly) + awaitedGroups(assembly) > allowed)
        return step;
    assembly.finished = true;
    step.answer = mergeAll(assembly);
    return step;
}

std::vector<size_t> bundlesToCancel(const Assembly& assembly, const Answer& answer)
{
    // Of an answered call, the bundles that were not awaited are delivered at about the same time.
    bool isAnswered = std::holds_alternative<Merged>(answer);
    std::vector<size_t> bundles;
    for (size_t i = 0; i < assembly.parts.size(); ++i) {
        if (assembly.parts[i].isAwaited && (assembly.isResumed || !isAnswered))
            bundles.push_back(i);
    }
    return bundles;
}

} // namespace Relay
