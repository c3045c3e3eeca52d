#pragma once

#include "Common/Error.h"
#include "Consensus/Message.h"

#include <string>
#include <string_view>

namespace Wire {

std::string encode(const Consensus::Message&);
// Error: Corrupt, if the bytes are not a whole message. Its peer is empty.
Common::Result<Consensus::Message> decodeConsensusMessage(std::string_view);

// Records of the log's storage. Errors as above.
std::string encode(const Consensus::Entry&);
Common::Result<Consensus::EntryRef> decodeEntry(std::string_view);
std::string encode(const Consensus::HardState&);
Common::Result<Consensus::HardState> decodeHardState(std::string_view);
std::string encode(const Consensus::SnapshotMeta&);
Common::Result<Consensus::SnapshotMeta> decodeSnapshotMeta(std::string_view);

} // namespace Wire
