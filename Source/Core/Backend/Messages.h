#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/KeySpace.h"
#include "Gather/Answer.h"

#include <string>
#include <vector>

// Messages exchanged with backend servers. See docs/BACKEND-PROTOCOL.md.
namespace Backend {

struct SearchRequest {
    std::string queryId; // Unique across all instances.
    Common::IndexVersion version;
    Common::ShardId shard;
    Common::KeyRange range;
    std::string text; // Alternatives separated by "|".
    Common::Milliseconds timeLeft;
    Common::Fingerprint fingerprint;
};

struct SearchAnswer {
    Common::IndexVersion version;
    Common::ShardId shard;
    Common::KeyRange range;
    std::vector<Gather::Item> items;
    bool truncated { false };
};

struct RunRequest {
    Common::RequestId id;
    std::string body;
    std::string contentType { "application/json" };
    Common::Milliseconds timeLeft;
};

struct RunAnswer {
    int status { 200 };
    std::string contentType;
    std::string body;
};

} // namespace Backend
