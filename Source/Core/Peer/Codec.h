#pragma once

#include "Common/Error.h"
#include "Peer/Peer.capnp.h"

#include <string>

namespace Peer {

// Between Result and the wire. Part of the private side of this library.
void writeResult(const Common::Result<std::string>&, Schema::Endpoint::CallResults::Builder);
// peer is named in errors that name none.
Common::Result<std::string> readResult(Schema::Endpoint::CallResults::Reader, const std::string& peer);

} // namespace Peer
