#pragma once

#include "Http/Server.h"

#include <memory>

namespace HttpTest {

// Opens a server on the first free port of a range, since Http::Server does not report an ephemeral port. Stores the
// address in the options. Null if no port is free.
std::unique_ptr<Http::Server> openServer(Http::ServerOptions&, const Http::Handler&);

} // namespace HttpTest
