#pragma once

#include "Http/Server.h"

#include <memory>

namespace HttpTest {

// The library can't let the kernel choose a port, so the first free one of a range is taken and put into the options.
// Null if none is free.
std::unique_ptr<Http::Server> openServer(Http::ServerOptions&, const Http::Handler&);

} // namespace HttpTest
