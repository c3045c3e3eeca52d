#pragma once

// Boost.Asio 1.74 needs <utility> under C++20 but does not include it.
#include <utility>

#include <boost/asio/io_context.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>

// Event loops shared by all HTTP servers and clients of the process, one thread each. Internal to this library.
namespace Http::Loops {

// Returns the loops in round-robin order. The first call starts the threads.
boost::asio::io_context& next();
// Returns the calling thread's loop, or next() on any other thread.
boost::asio::io_context& currentOrNext();

// Parses "IP:PORT". Empty if the text has another form.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string&);

} // namespace Http::Loops
