#pragma once

#include "Observe/Log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Observe {

// The kinds of logged events. docs/OPERATIONS.md explains each of them and how to investigate it.
enum class Event {
    Refused,
    Gathered,
    Ended,
    Overdue,
    SentAgain,
    NotSent,
    ServerFailed,
    SendFailed,
    RequestSuspected,
    StrikeAnswered,
    GathererPassedBy,
    ServerNotice,
    RateChanged,
    KeeperSilent,
    ServerPaced,
    ServerPaceEnded,
    QuotaRefused,
    QuotaKeeperSilent,
    ServerChanged,
    ServerLearned,
    DepartureIgnored,
    DepartureNotHeld,
    DeparturesRecovered,
    DeparturesNotStored,
    ControlFound,
    ControlLost,
    ControlBehind,
    SourceIgnored,
    RoutesAccepted,
    RoutesApplied,
    RoutesNotAccepted,
    RoutesInForce,
    RoutesNotRead,
    EvacuationAccepted,
    EvacuationNotAccepted,
    EvacuationsInForce,
    Started,
    Stopping,
    Stopped,
    Reloaded,
    ReloadRefused,
    Count,
};

// The name in the log line, such as "refused".
const char* eventName(Event);

struct EventField {
    std::string_view name;
    std::string_view value;
};

// Formats an event as one line: "event=refused request=4f1c why=\"no route matches\"". Values with characters other
// than letters, digits and -_.:/ are quoted.
std::string formatEvent(Event, std::initializer_list<EventField>);

// Logs the formatted event at the level Info.
void logEvent(Part, Event, std::initializer_list<EventField>);

} // namespace Observe
