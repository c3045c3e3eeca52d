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

    // It has not run only if no bundle has, and none is under way.
    Refusal mergeRefusals(const Assembly& assembly)
    {
        if (assembly.refusals.empty())
            return { Common::makeError(Common::Reason::DeadlineExceeded, "gather", "too few groups answered"), false, {} };
        Refusal refusal = assembly.refusals.front();
        refusal.hasNotRun = !included(assembly) && !assembly.awaited
            && std::all_of(assembly.refusals.begin(), assembly.refusals.end(),
                [](const Refusal& r) { return r.hasNotRun; });
        if (!refusal.hasNotRun)
            refusal.retryAfter = Common::Milliseconds(0);
        return refusal;
    }

    // Takes the missing groups that may run once more. False if they would not be enough.
    bool takeAskable(Assembly& assembly, Step& step)
    {
        assembly.askedAgain = true;
        auto mayRun = [&](const MissingGroup& group) { return group.ran < assembly.maximumAttempts; };
        step.needed = assembly.missing.size() - mayMiss(*assembly.fan);
        std::copy_if(assembly.missing.begin(), assembly.missing.end(), std::back_inserter(step.askAgain), mayRun);
        if (step.askAgain.size() < step.needed) {
            step.askAgain.clear();
            return false;
        }
        std::erase_if(assembly.missing, mayRun);
        assembly.awaited = 1;
        return true;
    }

    void note(Assembly& assembly, const std::vector<size_t>& groups, Answer answer)
    {
        if (auto merged = std::get_if<Merged>(&answer)) {
            for (const MissingGroup& group : merged->missing)
                assembly.missing.push_back({ groups.at(group.place), group.ran });
            assembly.parts.push_back(std::move(*merged));
            return;
        }
        for (size_t place : groups)
            assembly.missing.push_back({ place, 0 });
        auto refusal = std::get_if<Refusal>(&answer);
        if (refusal)
            assembly.refusals.push_back(std::move(*refusal));
        else
            assembly.refusals.push_back(
                { Common::makeError(Common::Reason::Cancelled, "gather", "the caller left"), false, {} });
    }

} // namespace

Assembly makeAssembly(const Routes::Fan& fan, int maximumAttempts, size_t bundles)
{
    Assembly assembly;
    assembly.maximumAttempts = maximumAttempts;
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
    if (!isEnough && !isRefused && !assembly.askedAgain && takeAskable(assembly, step))
        return step;
    assembly.finished = true;
    if (isEnough)
        step.answer = mergeParts(assembly);
    else
        step.answer = mergeRefusals(assembly);
    return step;
}

} // namespace Relay
