#pragma once

#include "Common/Error.h"
#include "StandIn/Faults.h"
#include "StandIn/Messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace StandIn {

// JSON encoding of docs/BACKEND-PROTOCOL.md. Decoders fail with Reason::InvalidInput and a message about the faulty
// field.
Common::Result<SearchRequest> decodeSearch(const std::string& body);
std::string encodeAnswer(const SearchAnswer&);
// Returns whether the body is well-formed JSON.
bool isJson(const std::string& body);
std::string encodeRunReply(const Common::RequestId&);
std::string encodeError(std::string_view reason, std::string_view message);
std::string encodeLoad(const LoadSample&);
std::string encodeHealth(const LoadSample&);
std::string encodeAnnouncement(const Announcement&);

// The content of a POST /admin/fault request.
struct FaultChange {
    Faults faults;
    bool silenceConnections { false }; // Applies to the currently open connections.
    bool closeConnections { false }; // Applies to the currently open connections.
};

// Fields that are absent from the body keep their current values.
Common::Result<FaultChange> decodeFaults(const std::string& body, const Faults& current);
std::string encodeFaults(const Faults&);

// Parses "V", "V:0,1,2" or "V:0,1,2/16": the version, its shards (default: all) and the shard count (default:
// defaultShardCount).
Common::Result<ReplicaSet> parseReplicaSet(std::string_view, uint32_t defaultShardCount);
// Decodes {"versions": ["7:0,1/16", ...]}.
Common::Result<std::vector<ReplicaSet>> decodeVersions(const std::string& body, uint32_t defaultShardCount);

} // namespace StandIn
