#pragma once

#include "Common/Clock.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Http {

// Header names are lower case.
using Headers = std::map<std::string, std::string>;

// Header lines as received or to be sent, with order, case and repetition preserved.
using Fields = std::vector<std::pair<std::string, std::string>>;

// The connection on which a request arrived. Thread-safe.
class Caller {
public:
    virtual ~Caller() = default;
    // Calls fn once if the caller closes its sending side before the answer, immediately if it already has. Several
    // callbacks can be registered.
    virtual void onDisconnect(std::function<void()> fn) = 0;
    // Calls fn, on any thread, with whether the sending side is still open, as far as this machine has received by now.
    // A connection that can't tell counts as open.
    virtual void checkOpen(const std::function<void(bool isOpen)>& fn) { fn(true); }
};

struct Request {
    std::string method { "GET" };
    std::string target; // Path and query as received. If empty when sending, built from path and query.
    std::string path; // Percent-decoded, without the query.
    std::map<std::string, std::string> query;
    Headers headers;
    Fields fields; // The same headers as received. When sending, both lists are written.
    std::string body;
    std::shared_ptr<Caller> caller; // Set for received requests only.
    std::string address; // The IP address that a received request came from, empty if unknown.
};

struct Response {
    int status { 200 };
    Headers headers; // When sending only.
    Fields fields; // As received. When sending, both lists are written.
    std::string body;
    std::string contentType { "application/json" };
    bool closeAfter { false }; // Close the connection after this answer.
    bool drop { false }; // Close the connection without sending an answer.
    // Received on a connection that carried earlier requests, so it may be the late answer to one of them.
    bool isOnReusedConnection { false };
};

// Splits a path at its slashes: "/v1/query/a" gives {"v1", "query", "a"}.
std::vector<std::string> splitPath(const std::string& path);

// Converts a header name to the form used as a key in Headers.
std::string lowerCase(std::string);

// Returns the header's value, or "" if it is absent.
std::string headerOf(const Headers&, const std::string& name);

// Returns the last header of this name in any case, or null if there is none.
const std::string* findField(const Fields&, std::string_view name);

// Percent-encode a path (slashes are kept) and a query's names and values.
std::string encodePath(const std::string&);
std::string encodeQueryText(const std::string&);
// Leaves invalid escapes unchanged.
std::string decodePercent(const std::string&, bool plusIsSpace);
// Splits a target into the decoded path and the decoded query.
void parseTarget(const std::string& target, std::string& path, std::map<std::string, std::string>& query);
std::string makeTarget(const std::string& path, const std::map<std::string, std::string>& query);

// Whether a header applies to one connection only and must not be forwarded. Takes a lower-case name.
bool isHopByHop(const std::string& name);

} // namespace Http
