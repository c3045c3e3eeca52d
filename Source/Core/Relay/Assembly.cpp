#include "Relay/Assembly.h"

#include "Relay/Merge.h"
#include "Relay/Query.h"

#include <algorithm>

namespace Relay {

namespace {

    size_t included(const Assembly& assembly)
    {
        size_t n = 0;
        for (const Merged& part : assembly.parts)
            n += part.signatures.size();
        return n;
    }

    Merged mergeParts(Assembly& assembly)
    {
        Merged merged;
        std::vector<const std::string*> bodies;
        for (Merged& part : assembly.parts) {
            bodies.push_back(&part.body);
            std::move(part.signatures.begin(), part.signatures.end(), std::back_inserter(merged.signatures));
        }
        merged.missing = std::move(assembly.missing);
        merged.body = greatestRecords(bodies, assembly.fan->topRecords);
        return merged;
    }

    // It has not run only if no bundle has.
    Refusal mergeRefusals(const Assembly& assembly)
    {
        if (assembly.refusals.empty())
            return { Common::makeError(Common::Reason::DeadlineExceeded, "gather", "too few groups answered"), false, {} };
        Refusal refusal = assembly.refusals.front();
        refusal.hasNotRun = !included(assembly)
            && std::all_of(assembly.refusals.begin(), assembly.refusals.end(),
                [](const Refusal& r) { return r.hasNotRun; });
        if (!refusal.hasNotRun)
            refusal.retryAfter = Common::Milliseconds(0);
        return refusal;
    }

    void note(Assembly& assembly, const std::vector<size_t>& groups, Answer answer)
    {
        if (auto merged = std::get_if<Merged>(&answer)) {
            for (size_t place : merged->missing)
                assembly.missing.push_back(groups.at(place));
            assembly.parts.push_back(std::move(*merged));
            return;
        }
        assembly.missing.insert(assembly.missing.end(), groups.begin(), groups.end());
        auto refusal = std::get_if<Refusal>(&answer);
        if (refusal)
            assembly.refusals.push_back(std::move(*refusal));
        else
            assembly.refusals.push_back(
                { Common::makeError(Common::Reason::Cancelled, "gather", "the caller left"), false, {} });
    }

} // namespace

Assembly makeAssembly(const Routes::Fan& fan, size_t bundles)
{
    Assembly assembly;
    assembly.fan = &fan;
    assembly.awaited = bundles;
    return assembly;
}

size_t mayMiss(const Routes::Fan& fan) { return fan.groups.size() - neededGroups(fan, fan.groups.size()); }

Step takeBundle(Assembly& assembly, const std::vector<size_t>& groups, Answer answer)
{
    Step step;
    if (assembly.finished)
        return step;
    --assembly.awaited;
    note(assembly, groups, std::move(answer));
    bool isEnough = assembly.missing.size() <= mayMiss(*assembly.fan);
    // A refusal is final: what was refused is not asked again by the way round.
    bool isRefused = !isEnough && !assembly.refusals.empty();
    if (assembly.awaited && !isRefused)
        return step;
    if (!isEnough && !isRefused && !assembly.askedAgain) {
        assembly.askedAgain = true;
        assembly.awaited = 1;
        step.needed = assembly.missing.size() - mayMiss(*assembly.fan);
        step.askAgain.swap(assembly.missing);
        return step;
    }
    assembly.finished = true;
    if (isEnough)
        step.answer = mergeParts(assembly);
    else
        step.answer = mergeRefusals(assembly);
    return step;
}

} // namespace Relay
