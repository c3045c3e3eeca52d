#pragma once

#include "Common/Error.h"
#include "StandIn/Faults.h"
#include "StandIn/Messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace StandIn {

// The JSON of docs/BACKEND-PROTOCOL.md. Decoders fail with Reason::InvalidInput and say which field is at fault.
Common::Result<SearchRequest> decodeSearch(const std::string& body);
std::string encodeAnswer(const SearchAnswer&);
// Whether it is JSON at all.
bool isJson(const std::string& body);
std::string encodeRunReply(const Common::RequestId&);
std::string encodeError(std::string_view reason, std::string_view message);
std::string encodeLoad(const LoadSample&);
std::string encodeHealth(const LoadSample&);
std::string encodeAnnouncement(const Announcement&);

// What POST /admin/fault asks for.
struct FaultChange {
    Faults faults;
    bool silenceConnections { false }; // Those open now.
    bool closeConnections { false }; // Those open now.
};

// The fields that the body names replace those of current.
Common::Result<FaultChange> decodeFaults(const std::string& body, const Faults& current);
std::string encodeFaults(const Faults&);

// "V", "V:0,1,2" or "V:0,1,2/16": version, shards (all if none are named) and shard count (else defaultShardCount).
Common::Result<ReplicaSet> parseReplicaSet(std::string_view, uint32_t defaultShardCount);
// {"versions": ["7:0,1/16", ...]}.
Common::Result<std::vector<ReplicaSet>> decodeVersions(const std::string& body, uint32_t defaultShardCount);

} // namespace StandIn
