#include "Suspects/Keys.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Suspects {

namespace {

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return lower;
    }

    // Decodes percent escapes; those that are not valid stay as they are.
    std::string decodeEscapes(std::string_view text)
    {
        constexpr size_t escapeLength = 3;
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            unsigned value = 0;
            const char* digits = text.data() + i + 1;
            bool isEscape = text[i] == '%' && i + escapeLength <= text.size()
                && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
            decoded.push_back(isEscape ? static_cast<char>(value) : text[i]);
            i += isEscape ? escapeLength - 1 : 0;
        }
        return decoded;
    }

} // namespace

const char* breadthName(Breadth breadth)
{
    switch (breadth) {
    case Breadth::Request:
        return "request";
    case Breadth::Content:
        return "content";
    case Breadth::Pattern:
        return "pattern";
    }
    return "";
}

const Common::ContentDigest& keyOf(const Keys& keys, Breadth breadth)
{
    switch (breadth) {
    case Breadth::Content:
        return keys.content;
    case Breadth::Pattern:
        return keys.pattern;
    case Breadth::Request:
        break;
    }
    return keys.request;
}

Keys keysOf(const RequestText& text)
{
    std::string host = lowerCase(text.host);
    std::string_view path = text.target.substr(0, text.target.find('?'));
    std::string_view query = text.target.substr(path.size());
    std::string decodedPath = decodeEscapes(path);
    // A body can be large, so it is hashed once.
    std::string body = Common::toHex(Common::digestOf({ text.body }));
    Keys keys;
    keys.content = Common::digestOf({ text.identity, text.method, host, decodedPath, query, body });
    std::string content = Common::toHex(keys.content);
    keys.request = Common::digestOf({ "request", text.address, content });
    keys.pattern = Common::digestOf({ "pattern", text.address, text.identity, host, decodedPath, body });
    return keys;
}

} // namespace Suspects
