#include "Daemon/Evacuations.h"

#include "Common/Hash.h"
#include "Control/StateMachine.h"
#include "Daemon/ChangeOutcome.h"
#include "Daemon/OrderReceipt.h"
#include "Model/Validation.h"
#include "Observe/EventLog.h"

#include <algorithm>
#include <atomic>
#include <string>

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;
using Control::configurationShard;

namespace Daemon {

namespace {

    constexpr const char* step = "evacuate";
    // Operators resend a command for 6 s. This leaves time for a second send after an election.
    constexpr Milliseconds setTimeout { 2'500 };
    // An operator takes a second without a reply for a failure, and may send other commands from then on.
    constexpr Milliseconds callerPatience { 800 };

    Result<void> checkKnown(const std::vector<Common::FailureDomain>& known, const Common::FailureDomain& domain)
    {
        if (known.empty() || std::find(known.begin(), known.end(), domain) != known.end())
            return Common::success();
        std::string names;
        for (const Common::FailureDomain& name : known)
            names += (names.empty() ? "" : ", ") + name.value();
        return Common::makeError(
            Reason::NotFound, step, "no failure domain '" + domain.value() + "', expected one of " + names);
    }

    // The command itself was found valid, so no failure to commit it is the operator's.
    Result<void> asUnavailable(Result<void> outcome)
    {
        if (outcome)
            return outcome;
        auto reason = outcome.error().reason == Reason::Conflict ? Reason::Conflict : Reason::Unavailable;
        return Common::makeError(reason, step, Common::describe(outcome.error()));
    }

    // Returns the stored version that a command lost against; nullopt if it was accepted or failed for another reason.
    std::optional<Common::Revision> winningVersion(const Result<Control::Reply>& result)
    {
        auto reply = result ? std::get_if<Control::ProposeReply>(&result.value()) : nullptr;
        auto outcome = reply ? std::get_if<Control::CommandOutcome>(&reply->result) : nullptr;
        auto changed = outcome ? std::get_if<Control::ChangeOutcome>(outcome) : nullptr;
        auto rejected = changed ? std::get_if<Control::Rejected>(changed) : nullptr;
        return rejected && rejected->winner ? std::optional(rejected->winner->version) : std::nullopt;
    }

    struct Command {
        Model::DomainEvacuation wanted;
        std::shared_ptr<Http::Caller> caller;
        Common::TimePoint receivedAt; // On the boot clock, which goes on while the machine is suspended.
        Common::TimePoint deadline;
        std::function<void(Result<void>)> done;
    };

    using CommandPtr = std::shared_ptr<const Command>;

    void finish(const Command& command, const Result<void>& outcome)
    {
        Observe::logEvent(Observe::Part::Control,
            outcome ? Observe::Event::EvacuationAccepted : Observe::Event::EvacuationNotAccepted,
            { { "domain", command.wanted.domain.value() },
                { "evacuated", command.wanted.isEvacuated ? "true" : "false" },
                { "why", outcome ? std::string() : Common::describe(outcome.error()) } });
        command.done(outcome);
    }

} // namespace

struct Evacuations::Private : std::enable_shared_from_this<Evacuations::Private> {
    explicit Private(EvacuationsDependencies d)
        : dependencies(std::move(d))
    {
    }

    void propose(const CommandPtr&, Common::Revision madeFrom);
    void handleReply(const CommandPtr&, const Result<Control::Reply>&);

    const EvacuationsDependencies dependencies;
    std::atomic<uint64_t> proposals { 0 };
};

// The version must have been read before the caller was last seen to wait.
void Evacuations::Private::propose(const CommandPtr& command, Common::Revision madeFrom)
{
    // Unique for each proposal: a command that is sent again after the opposite one must take effect again.
    Control::Change change;
    change.id = Common::ChangeId("evacuation-" + std::to_string(Common::hash64(dependencies.settings.instance.value()))
        + "-" + std::to_string(dependencies.incarnation.value()) + "-" + std::to_string(++proposals));
    change.action = Control::Action::AssignFrom;
    change.key = Model::keyOf(command->wanted);
    change.resource = command->wanted;
    change.madeFrom = madeFrom;
    dependencies.control.call(configurationShard, Control::ProposeRequest { configurationShard, change },
        command->deadline, [weak = weak_from_this(), command](const Result<Control::Reply>& result) {
            if (auto self = weak.lock())
                self->handleReply(command, result);
        });
}

// A command that lost against another one is proposed again as long as its caller waits: either it was made from an
// outdated copy, or both commands were sent at the same time.
void Evacuations::Private::handleReply(const CommandPtr& command, const Result<Control::Reply>& result)
{
    auto outcome = asUnavailable(changeOutcomeOf(result, step));
    auto winner = winningVersion(result);
    if (!winner || Clock::sinceBoot() - command->receivedAt > callerPatience) {
        finish(*command, outcome);
        return;
    }
    command->caller->checkOpen([weak = weak_from_this(), command, outcome, version = *winner](bool isOpen) {
        auto self = weak.lock();
        if (self && isOpen)
            self->propose(command, version);
        else
            finish(*command, outcome);
    });
}

Evacuations::Evacuations(EvacuationsDependencies dependencies)
    : m_private(std::make_shared<Private>(std::move(dependencies)))
{
}

Evacuations::~Evacuations() = default;

void Evacuations::set(const Common::FailureDomain& domain, bool isEvacuated,
    const std::shared_ptr<Http::Caller>& caller, std::function<void(Common::Result<void>)> done)
{
    Model::DomainEvacuation wanted { domain, isEvacuated };
    auto known = checkKnown(m_private->dependencies.settings.failureDomains, domain);
    auto valid = known ? Model::validate(wanted) : known;
    if (!valid) {
        done(valid);
        return;
    }
    CommandPtr command(new Command { wanted, caller, Clock::sinceBoot(), Clock::now() + setTimeout, std::move(done) });
    auto madeFrom = m_private->dependencies.storedVersion(domain);
    whenReceived(m_private->dependencies.timers, caller,
        [weak = std::weak_ptr<Private>(m_private), command, madeFrom](bool isAwaited) {
            auto self = weak.lock();
            if (self && isAwaited)
                self->propose(command, madeFrom);
            else
                finish(*command,
                    Common::makeError(
                        Reason::Unavailable, step, "the caller has given up, or this instance is stopping"));
        });
}

} // namespace Daemon
