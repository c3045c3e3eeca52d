#pragma once

#include "Common/Error.h"
#include "Roster/Messages.h"

#include <string>
#include <string_view>

namespace Wire {

std::string encode(const Roster::Request&);
Common::Result<Roster::Request> decodeRosterRequest(std::string_view);
std::string encode(const Roster::WatchReply&);
Common::Result<Roster::WatchReply> decodeWatchReply(std::string_view);
std::string encode(const Roster::TableReply&);
Common::Result<Roster::TableReply> decodeTableReply(std::string_view);
std::string encode(const Roster::DepartureReply&);
Common::Result<Roster::DepartureReply> decodeDepartureReply(std::string_view);

} // namespace Wire
