#pragma once

#include "Control/Command.h"
#include "Wire/Control.capnp.h"

// Commands, what they carry, and their outcomes as parts of messages. Reading throws kj::Exception on parts that make
// no sense.
namespace Wire {

void write(ControlSchema::LiveInstance::Builder, const Control::LiveInstance&);
Control::LiveInstance read(ControlSchema::LiveInstance::Reader);

void write(ControlSchema::Command::Builder, const Control::Command&);
Control::Command read(ControlSchema::Command::Reader);

void write(ControlSchema::CommandOutcome::Builder, const Control::CommandOutcome&);
Control::CommandOutcome read(ControlSchema::CommandOutcome::Reader);

} // namespace Wire
