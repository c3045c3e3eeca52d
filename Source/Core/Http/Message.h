#pragma once

#include "Common/Clock.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Http {

// Header names are lower case.
using Headers = std::map<std::string, std::string>;

// Header lines as they came or are to be sent: order, case and repetition kept.
using Fields = std::vector<std::pair<std::string, std::string>>;

// The caller's end of the connection on which a request came. Safe to use from any thread.
class Caller {
public:
    virtual ~Caller() = default;
    // Calls fn once if the caller closes its sending side before the answer; at once if it has done so already. May be
    // called several times.
    virtual void onDisconnect(std::function<void()> fn) = 0;
};

struct Request {
    std::string method { "GET" };
    std::string target; // Path and query, byte by byte as received. To be sent: made from path and query if empty.
    std::string path; // Decoded, without the query.
    std::map<std::string, std::string> query;
    Headers headers;
    Fields fields; // The same headers as they came; what is sent has both.
    std::string body;
    std::shared_ptr<Caller> caller; // Of a received request.
};

struct Response {
    int status { 200 };
    Headers headers;
    Fields fields; // As in Request.
    std::string body;
    std::string contentType { "application/json" };
    bool closeAfter { false }; // The connection ends after this answer.
    bool drop { false }; // To be sent: nothing is, and the connection is closed.
};

// The path's parts between slashes: "/v1/query/a" gives {"v1", "query", "a"}.
std::vector<std::string> splitPath(const std::string& path);

// Header names as Headers keeps them.
std::string lowerCase(std::string);

// The header's value or "".
std::string headerOf(const Headers&, const std::string& name);

// Percent-encoding of a path (slashes stay) and of a query's names and values.
std::string encodePath(const std::string&);
std::string encodeQueryText(const std::string&);
// Invalid escapes stay as they are.
std::string decodePercent(const std::string&, bool plusIsSpace);
// Splits a target into the decoded path and the decoded query.
void readTarget(const std::string& target, std::string& path, std::map<std::string, std::string>& query);
std::string makeTarget(const std::string& path, const std::map<std::string, std::string>& query);

// Whether a header belongs to one connection and is not forwarded. Takes a lower-case name.
bool isHopByHop(const std::string& name);

} // namespace Http
