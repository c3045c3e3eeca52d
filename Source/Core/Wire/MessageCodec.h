#pragma once

#include "Common/Error.h"
#include "Control/Messages.h"

#include <string>
#include <string_view>

// Encodes the messages between entry and control instances. Malformed bytes give an error as in ControlCodec.h.
namespace Wire {

std::string encode(const Control::Request&);
Common::Result<Control::Request> decodeRequest(std::string_view);

std::string encode(const Control::Reply&);
Common::Result<Control::Reply> decodeReply(std::string_view);

} // namespace Wire
