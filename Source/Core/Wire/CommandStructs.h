#pragma once

#include "Control/Command.h"
#include "Wire/Control.capnp.h"

// Converts commands, their contents and their outcomes to and from Cap'n Proto structs. Reading throws kj::Exception
// on invalid values.
namespace Wire {

void write(ControlSchema::LiveInstance::Builder, const Control::LiveInstance&);
Control::LiveInstance read(ControlSchema::LiveInstance::Reader);

void write(ControlSchema::Command::Builder, const Control::Command&);
Control::Command read(ControlSchema::Command::Reader);

void write(ControlSchema::CommandOutcome::Builder, const Control::CommandOutcome&);
Control::CommandOutcome read(ControlSchema::CommandOutcome::Reader);

} // namespace Wire
