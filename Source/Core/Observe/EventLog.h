#pragma once

#include "Observe/Log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Observe {

// What a line tells. docs/OPERATIONS.md says for each what it means and where to look next.
enum class Event {
    Refused,
    Gathered,
    Ended,
    SentAgain,
    NotSent,
    ServerFailed,
    SendFailed,
    GathererPassedBy,
    ServerChanged,
    ServerLearned,
    ControlFound,
    ControlLost,
    RoutesAccepted,
    RoutesNotAccepted,
    RoutesInForce,
    RoutesNotRead,
    Started,
    Stopping,
    Stopped,
    Reloaded,
    ReloadRefused,
    Count,
};

// "refused".
const char* eventName(Event);

struct EventField {
    std::string_view name;
    std::string_view value;
};

// One line for one decision: "event=refused request=4f1c why=\"no route matches\"". Values with other characters than
// letters, digits and -_.:/ stand in quotes.
std::string formatEvent(Event, std::initializer_list<EventField>);

// Writes it at the level Info.
void logEvent(Part, Event, std::initializer_list<EventField>);

} // namespace Observe
