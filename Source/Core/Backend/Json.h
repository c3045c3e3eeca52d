#pragma once

#include "Backend/Messages.h"
#include "Membership/Records.h"

#include <string>

// The JSON of the backend servers' protocol.
namespace Backend {

std::string encodeSearch(const SearchRequest&);

// Errors: Corrupt, naming the field.
Common::Result<SearchAnswer> decodeSearchAnswer(const std::string& body);

// The reason within an error body, or "".
std::string decodeErrorReason(const std::string& body);

// Errors: InvalidInput, naming the field.
Common::Result<Membership::Announcement> decodeAnnouncement(const std::string& body);

} // namespace Backend
