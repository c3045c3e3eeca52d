#pragma once

#include "Common/Error.h"
#include "Peer/Peer.capnp.h"

#include <string>

namespace Peer {

// Converts call results to and from Cap'n Proto. Internal to this library.
void writeResult(const Common::Result<std::string>&, Schema::Endpoint::CallResults::Builder);
// peer is set in errors that name no peer.
Common::Result<std::string> readResult(Schema::Endpoint::CallResults::Reader, const std::string& peer);

} // namespace Peer
