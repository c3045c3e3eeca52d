#include "Daemon/ChangeOutcome.h"

#include "Control/StateMachine.h"

using Common::Reason;

namespace Daemon {

Common::Result<void> changeOutcomeOf(const Common::Result<Control::Reply>& result, const std::string& step)
{
    if (!result)
        return result.error();
    auto reply = std::get_if<Control::ProposeReply>(&result.value());
    if (!reply)
        return Common::makeError(Reason::Corrupt, step, "control sent a reply of an unexpected type");
    if (auto error = std::get_if<Common::Error>(&reply->result))
        return *error;
    auto changed = std::get_if<Control::ChangeOutcome>(&std::get<Control::CommandOutcome>(reply->result));
    if (!changed)
        return Common::makeError(Reason::Corrupt, step, "control returned the outcome of another command");
    if (auto rejected = std::get_if<Control::Rejected>(changed))
        return rejected->error;
    return Common::success();
}

} // namespace Daemon
