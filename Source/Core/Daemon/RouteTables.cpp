#include "Daemon/RouteTables.h"

#include "Common/Hash.h"
#include "Control/StateMachine.h"
#include "Daemon/ChangeOutcome.h"
#include "Observe/EventLog.h"

using Common::Clock;
using Common::Milliseconds;
using Common::Reason;
using Common::Result;
using Control::configurationShard;

namespace Daemon {

namespace {

    // Operators' clients wait one second for an answer, and longer for large tables.
    constexpr Milliseconds raiseTimeout { 2'500 };
    constexpr Milliseconds readTimeout { 1'500 };

    // A resend has the same id, so that it gets the outcome of the first send.
    Common::ChangeId changeIdOf(const Model::RouteTable& table)
    {
        return Common::ChangeId(
            "routes-" + std::to_string(table.number.value()) + "-" + std::to_string(Common::hash64(table.document)));
    }

    Result<Model::RouteTable> tableOf(
        const Result<Control::Reply>& result, const std::optional<Control::StoredResource>& copy)
    {
        if (!result)
            return result.error();
        auto reply = std::get_if<Control::ReadReply>(&result.value());
        if (!reply)
            return Common::makeError(Reason::Corrupt, "read-routes", "control sent a reply of an unexpected type");
        if (auto error = std::get_if<Common::Error>(&reply->result))
            return *error;
        auto& found = std::get<Control::ReadFound>(reply->result);
        if (found.isUnchanged && copy)
            return std::get<Model::RouteTable>(copy->resource);
        if (found.resources.empty())
            return Common::makeError(Reason::NotFound, "read-routes", "no route table was declared");
        return std::get<Model::RouteTable>(found.resources.front().resource);
    }

} // namespace

RouteTables::RouteTables(Entry::ControlClient& control, Stored stored)
    : m_control(control)
    , m_stored(std::move(stored))
{
}

void RouteTables::raise(const Model::RouteTable& table, std::function<void(Result<void>)> done)
{
    Control::Change change;
    change.id = changeIdOf(table);
    change.action = Control::Action::Raise;
    change.key = Model::keyOf(table);
    change.resource = table;
    m_control.call(configurationShard, Control::ProposeRequest { configurationShard, change },
        Clock::now() + raiseTimeout,
        [done = std::move(done), number = table.number](const Result<Control::Reply>& result) {
            auto outcome = changeOutcomeOf(result, "raise-routes");
            Observe::logEvent(Observe::Part::Control,
                outcome ? Observe::Event::RoutesAccepted : Observe::Event::RoutesNotAccepted,
                { { "table", std::to_string(number.value()) },
                    { "why", outcome ? std::string() : Common::describe(outcome.error()) } });
            done(outcome);
        });
}

void RouteTables::read(std::function<void(Result<Model::RouteTable>)> done)
{
    auto copy = m_stored();
    Control::ReadRequest request { Model::Kind::RouteTable, Model::routeTableName, {} };
    if (copy)
        request.knownVersion = copy->version;
    m_control.call(configurationShard, request, Clock::now() + readTimeout,
        [done = std::move(done), copy = std::move(copy)](
            const Result<Control::Reply>& result) { done(tableOf(result, copy)); });
}

} // namespace Daemon
