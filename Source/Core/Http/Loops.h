#pragma once

// Boost.Asio 1.74 needs it under C++20, and does not include it.
#include <utility>

#include <boost/asio/io_context.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>

// Event loops that all HTTP servers and clients of the process share, a thread each. Private to this library.
namespace Http::Loops {

// Starts the threads at the first call.
boost::asio::io_context& next();
// The loop whose thread calls, or the next one.
boost::asio::io_context& currentOrNext();

// Of "IP:PORT"; nothing if it is something else.
std::optional<boost::asio::ip::tcp::endpoint> readEndpoint(const std::string&);

} // namespace Http::Loops
