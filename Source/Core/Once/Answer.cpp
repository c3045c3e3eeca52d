#include "Once/Answer.h"

namespace Once {

namespace {

    constexpr int statusNotRun = 503;
    constexpr int statusOutcomeUnknown = 504;
    constexpr int statusIdReused = 422;

} // namespace

int statusOf(const Answer& answer)
{
    struct Visitor {
        int operator()(const Completed& it) const { return it.status; }
        int operator()(const RefusedByBackend& it) const { return it.status; }
        int operator()(const NotRunRefusal&) const { return statusNotRun; }
        int operator()(const OutcomeUnknownRefusal&) const { return statusOutcomeUnknown; }
        int operator()(const IdReusedRefusal&) const { return statusIdReused; }
    };
    return std::visit(Visitor {}, answer);
}

const char* answerCode(const Answer& answer)
{
    struct Visitor {
        const char* operator()(const Completed&) const { return "completed"; }
        const char* operator()(const RefusedByBackend&) const { return "refused-by-backend"; }
        const char* operator()(const NotRunRefusal&) const { return "not-run"; }
        const char* operator()(const OutcomeUnknownRefusal&) const { return "outcome-unknown"; }
        const char* operator()(const IdReusedRefusal&) const { return "id-reused"; }
    };
    return std::visit(Visitor {}, answer);
}

std::optional<Common::Milliseconds> retryAfterOf(const Answer& answer)
{
    if (const auto* refusal = std::get_if<NotRunRefusal>(&answer))
        return refusal->retryAfter;
    if (const auto* refusal = std::get_if<OutcomeUnknownRefusal>(&answer))
        return refusal->retryAfter;
    return std::nullopt;
}

const Common::Error* errorOf(const Answer& answer)
{
    if (const auto* refusal = std::get_if<NotRunRefusal>(&answer))
        return &refusal->error;
    if (const auto* refusal = std::get_if<OutcomeUnknownRefusal>(&answer))
        return &refusal->error;
    if (const auto* refusal = std::get_if<IdReusedRefusal>(&answer))
        return &refusal->error;
    return nullptr;
}

} // namespace Once
