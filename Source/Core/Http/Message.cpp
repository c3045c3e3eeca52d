#include "Http/Message.h"

#include <algorithm>
#include <cctype>

namespace Http {

std::vector<std::string> splitPath(const std::string& path)
{
    std::vector<std::string> parts;
    std::string part;
    for (char c : path) {
        if (c != '/') {
            part += c;
            continue;
        }
        if (!part.empty())
            parts.push_back(std::move(part));
        part.clear();
    }
    if (!part.empty())
        parts.push_back(std::move(part));
    return parts;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string headerOf(const Headers& headers, const std::string& name)
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

} // namespace Http
