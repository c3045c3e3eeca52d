#pragma once

#include "Common/Error.h"
#include "Consensus/Message.h"

#include <string>
#include <string_view>

namespace Wire {

std::string encode(const Consensus::Message&);
// Fails with Reason::Corrupt if the bytes are not a complete message. The error names no peer.
Common::Result<Consensus::Message> decodeConsensusMessage(std::string_view);

// Records of the log storage. Errors as above.
std::string encode(const Consensus::Entry&);
Common::Result<Consensus::EntryRef> decodeEntry(std::string_view);
std::string encode(const Consensus::HardState&);
Common::Result<Consensus::HardState> decodeHardState(std::string_view);
std::string encode(const Consensus::SnapshotMeta&);
Common::Result<Consensus::SnapshotMeta> decodeSnapshotMeta(std::string_view);

} // namespace Wire
