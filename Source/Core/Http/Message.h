#pragma once

#include "Common/Clock.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Http {

// Header names are lower case.
using Headers = std::map<std::string, std::string>;

struct Request {
    std::string method { "GET" };
    std::string path; // Decoded, without the query.
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;
};

struct Response {
    int status { 200 };
    Headers headers;
    std::string body;
    std::string contentType { "application/json" };
};

// The path's parts between slashes: "/v1/query/a" gives {"v1", "query", "a"}.
std::vector<std::string> splitPath(const std::string& path);

// Header names as Headers keeps them.
std::string lowerCase(std::string);

// The header's value or "".
std::string headerOf(const Headers&, const std::string& name);

} // namespace Http
