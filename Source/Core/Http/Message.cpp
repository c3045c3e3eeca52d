#include "Http/Message.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <iterator>

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

const std::string* findField(const Fields& fields, std::string_view name)
{
    auto isSame = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    auto it = std::find_if(fields.rbegin(), fields.rend(), [&](const auto& field) {
        return std::equal(field.first.begin(), field.first.end(), name.begin(), name.end(), isSame);
    });
    return it == fields.rend() ? nullptr : &it->second;
}

std::string headerOf(const Headers& headers, const std::string& name)
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

namespace {

    bool isUnreserved(unsigned char c) { return std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~'; }

    std::string encode(const std::string& text, const char* unescaped)
    {
        static const char digits[] = "0123456789ABCDEF";
        std::string out;
        for (unsigned char c : text) {
            if (isUnreserved(c) || std::strchr(unescaped, c)) {
                out += static_cast<char>(c);
                continue;
            }
            out += '%';
            out += digits[c >> 4];
            out += digits[c & 15];
        }
        return out;
    }

    int hexValue(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

} // namespace

std::string encodePath(const std::string& path) { return encode(path, "/!$&'()*+,;=:@"); }

std::string encodeQueryText(const std::string& text) { return encode(text, ""); }

std::string decodePercent(const std::string& text, bool plusIsSpace)
{
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0 && hexValue(text[i + 2]) >= 0) {
            out += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
            i += 2;
        } else {
            out += plusIsSpace && text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

void parseTarget(const std::string& target, std::string& path, std::map<std::string, std::string>& query)
{
    size_t separatorAt = target.find('?');
    path = decodePercent(target.substr(0, separatorAt), false);
    query.clear();
    while (separatorAt != std::string::npos) {
        size_t next = target.find('&', separatorAt + 1);
        std::string pair = target.substr(separatorAt + 1, next == std::string::npos ? next : next - separatorAt - 1);
        size_t equal = pair.find('=');
        if (!pair.empty())
            query[decodePercent(pair.substr(0, equal), true)]
                = equal == std::string::npos ? "" : decodePercent(pair.substr(equal + 1), true);
        separatorAt = next;
    }
}

std::string makeTarget(const std::string& path, const std::map<std::string, std::string>& query)
{
    std::string target = path.empty() ? "/" : encodePath(path);
    char separator = '?';
    for (auto& [name, value] : query) {
        target += separator + encodeQueryText(name) + "=" + encodeQueryText(value);
        separator = '&';
    }
    return target;
}

bool isHopByHop(const std::string& name)
{
    static const char* const names[] = { "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };
    return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

} // namespace Http
