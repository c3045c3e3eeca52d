#include "Observe/EventLog.h"

#include <algorithm>
#include <cctype>

namespace Observe {

namespace {

    // Longer values are cut: a line stays small whatever a caller sends.
    constexpr size_t longestValue = 240;

    bool isPlain(unsigned char c)
    {
        return std::isalnum(c) || std::string_view("-_.:/").find(static_cast<char>(c)) != std::string_view::npos;
    }

    void appendValue(std::string& out, std::string_view value)
    {
        value = value.substr(0, longestValue);
        if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
            out += value;
            return;
        }
        out += '"';
        for (char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += std::iscntrl(static_cast<unsigned char>(c)) ? ' ' : c;
        }
        out += '"';
    }

} // namespace

std::string formatEvent(std::string_view event, std::initializer_list<EventField> fields)
{
    std::string line = "event=";
    line += event;
    for (const EventField& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(Part part, std::string_view event, std::initializer_list<EventField> fields)
{
    if (isLogged(LogLevel::Info))
        writeLog(part, LogLevel::Info, formatEvent(event, fields));
}

} // namespace Observe
