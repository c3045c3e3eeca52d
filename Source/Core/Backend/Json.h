#pragma once

#include "Backend/Messages.h"
#include "Membership/Records.h"

#include <string>

// JSON encoding of the backend server protocol.
namespace Backend {

std::string encodeSearch(const SearchRequest&);

// Errors: Corrupt, naming the field.
Common::Result<SearchAnswer> decodeSearchAnswer(const std::string& body);

// Returns the reason in an error body, or "" if there is none.
std::string decodeErrorReason(const std::string& body);

// Errors: InvalidInput, naming the field.
Common::Result<Membership::Announcement> decodeAnnouncement(const std::string& body);

} // namespace Backend
