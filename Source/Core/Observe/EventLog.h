#pragma once

#include "Observe/Log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Observe {

struct EventField {
    std::string_view name;
    std::string_view value;
};

// One line for one decision: "event=refused request=4f1c why=\"no route matches\"". Values with other characters than
// letters, digits and -_.:/ stand in quotes.
std::string formatEvent(std::string_view event, std::initializer_list<EventField>);

// Writes it at the level Info.
void logEvent(Part, std::string_view event, std::initializer_list<EventField>);

} // namespace Observe
