#pragma once

#include "Control/Command.h"
#include "Wire/Control.capnp.h"

// Commands and their outcomes as parts of messages. Reading throws kj::Exception on parts that make no sense.
namespace Wire {

void write(ControlSchema::Command::Builder, const Control::Command&);
Control::Command read(ControlSchema::Command::Reader);

void write(ControlSchema::CommandOutcome::Builder, const Control::CommandOutcome&);
Control::CommandOutcome read(ControlSchema::CommandOutcome::Reader);

} // namespace Wire
