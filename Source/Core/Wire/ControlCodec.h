#pragma once

#include "Common/Error.h"
#include "Control/Command.h"
#include "Control/Configuration.h"

#include <string>
#include <string_view>

// Encodes log commands, their outcomes and snapshots of the configuration. Decoding validates its input: malformed
// bytes or an unknown format version give an error with step "decode" and Reason::Corrupt.
namespace Wire {

std::string encode(const Control::Command&);
Common::Result<Control::Command> decodeCommand(std::string_view);

std::string encode(const Control::CommandOutcome&);
Common::Result<Control::CommandOutcome> decodeCommandOutcome(std::string_view);

// The complete replicated state: limits, resources, history, remembered change ids with their outcomes, lease holders.
std::string encodeSnapshot(const Control::Configuration&);
Common::Result<Control::Configuration> decodeConfiguration(std::string_view);

} // namespace Wire
