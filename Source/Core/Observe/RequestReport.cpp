#include "Observe/RequestReport.h"

#include "Observe/EventLog.h"

#include <algorithm>
#include <cctype>
#include <istream>
#include <map>
#include <set>
#include <tuple>

namespace Observe {

namespace {

    constexpr std::string_view timePattern = "0000-00-00 00:00:00.000"; // 0 matches any digit.
    constexpr std::string_view eventPrefix = "event=";

    bool hasTimeAt(std::string_view text, size_t at)
    {
        if (text.size() - at < timePattern.size())
            return false;
        for (size_t i = 0; i < timePattern.size(); ++i) {
            bool isDigit = std::isdigit(static_cast<unsigned char>(text[at + i])) != 0;
            if (timePattern[i] == '0' ? !isDigit : text[at + i] != timePattern[i])
                return false;
        }
        return true;
    }

    size_t findTime(std::string_view text)
    {
        for (size_t at = 0; at + timePattern.size() <= text.size(); ++at) {
            if (hasTimeAt(text, at))
                return at;
        }
        return std::string_view::npos;
    }

    // The last word before the time, which names the process.
    std::string processBefore(std::string_view text)
    {
        while (!text.empty() && text.back() == ' ')
            text.remove_suffix(1);
        auto space = text.rfind(' ');
        return std::string(space == std::string_view::npos ? text : text.substr(space + 1));
    }

    // Consumes a value at the front of the text. Returns false if a closing quote is missing.
    bool consumeValue(std::string_view& text, std::string& value)
    {
        if (text.empty() || text.front() != '"') {
            auto end = std::min(text.find(' '), text.size());
            value = text.substr(0, end);
            text.remove_prefix(end);
            return true;
        }
        for (size_t i = 1; i < text.size(); ++i) {
            if (text[i] == '"') {
                text.remove_prefix(i + 1);
                return true;
            }
            if (text[i] == '\\' && i + 1 < text.size())
                ++i;
            value += text[i];
        }
        return false;
    }

    bool consumeFields(std::string_view text, std::vector<std::pair<std::string, std::string>>& fields)
    {
        while (!text.empty()) {
            if (text.front() == ' ') {
                text.remove_prefix(1);
                continue;
            }
            auto equals = text.find('=');
            if (equals == std::string_view::npos || text.substr(0, equals).find(' ') != std::string_view::npos)
                return false;
            std::string name(text.substr(0, equals));
            text.remove_prefix(equals + 1);
            std::string value;
            if (!consumeValue(text, value))
                return false;
            fields.emplace_back(std::move(name), std::move(value));
        }
        return true;
    }

    bool is(const LogLine& line, Event event) { return line.event == eventName(event); }

    bool isStateChange(const LogLine& line)
    {
        return is(line, Event::ServerLearned) || is(line, Event::ServerChanged) || is(line, Event::RoutesInForce)
            || is(line, Event::ControlLost) || is(line, Event::ControlFound);
    }

    bool isServerFailure(const LogLine& line) { return is(line, Event::ServerFailed) || is(line, Event::SendFailed); }

    // The process that logged a state change, and the server or kind of event that it concerns.
    using Subject = std::pair<std::string, std::string>;

    Subject subjectOf(const LogLine& stateChange)
    {
        const std::string& server = stateChange.field("server");
        return { stateChange.process, server.empty() ? stateChange.event : server };
    }

    // Positions in the list of state changes for each subject, ordered by time.
    std::map<Subject, std::vector<size_t>> indexOf(const std::vector<LogLine>& stateChanges)
    {
        std::map<Subject, std::vector<size_t>> index;
        for (size_t i = 0; i < stateChanges.size(); ++i)
            index[subjectOf(stateChanges[i])].push_back(i);
        return index;
    }

} // namespace

const std::string& LogLine::field(std::string_view name) const
{
    static const std::string none;
    auto it = std::find_if(fields.begin(), fields.end(), [&](const auto& pair) { return pair.first == name; });
    return it == fields.end() ? none : it->second;
}

LineKind readLine(std::string_view text, const std::string& process, LogLine& line)
{
    auto bracket = text.find("] event=");
    if (bracket == std::string_view::npos)
        return LineKind::Other;
    auto time = findTime(text.substr(0, bracket));
    auto open = text.rfind('[', bracket);
    if (time == std::string_view::npos || open == std::string_view::npos || open < time)
        return LineKind::Malformed;
    line = {};
    line.time = text.substr(time, timePattern.size());
    line.part = text.substr(open + 1, bracket - open - 1);
    std::string before = processBefore(text.substr(0, time));
    line.process = before.empty() ? process : before;
    std::string_view rest = text.substr(bracket + 2 + eventPrefix.size());
    if (!consumeValue(rest, line.event) || line.event.empty() || !consumeFields(rest, line.fields))
        return LineKind::Malformed;
    return LineKind::Event;
}

void readLog(RequestReport& report, std::istream& in, const std::string& process)
{
    std::string text;
    while (std::getline(in, text)) {
        LogLine line;
        switch (readLine(text, process, line)) {
        case LineKind::Other:
            break;
        case LineKind::Malformed:
            ++report.malformed;
            break;
        case LineKind::Event:
            if (line.field("request") == report.request)
                report.lines.push_back(std::move(line));
            else if (isStateChange(line))
                report.stateChanges.push_back(std::move(line));
            break;
        }
    }
}

std::vector<LogLine> relevantLines(const RequestReport& report)
{
    auto index = indexOf(report.stateChanges);
    std::set<size_t> selected;
    // Selects the last state change of the subject before the time, or the first one after it.
    auto select = [&](const Subject& subject, const std::string& time, bool isAfter) {
        auto it = index.find(subject);
        if (it == index.end())
            return;
        auto isLater = [&](const std::string& t, size_t i) { return t < report.stateChanges[i].time; };
        auto next = std::upper_bound(it->second.begin(), it->second.end(), time, isLater);
        if (isAfter && next != it->second.end())
            selected.insert(*next);
        if (!isAfter && next != it->second.begin())
            selected.insert(*std::prev(next));
    };
    for (const LogLine& line : report.lines) {
        select({ line.process, eventName(Event::RoutesInForce) }, line.time, false);
        const std::string& server = line.field("server");
        if (server.empty())
            continue;
        select({ line.process, server }, line.time, false);
        if (isServerFailure(line))
            select({ line.process, server }, line.time, true);
    }
    std::vector<LogLine> lines = report.lines;
    for (size_t i : selected)
        lines.push_back(report.stateChanges[i]);
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
    return lines;
}

std::string summarizeOutcome(const std::vector<LogLine>& lines)
{
    const LogLine* end = nullptr;
    std::map<std::string, size_t> failures;
    for (const LogLine& line : lines) {
        // A scatter/gather request ends after its sub-requests, and its line has more details than theirs.
        bool isEnd = is(line, Event::Refused) || is(line, Event::Gathered) || is(line, Event::Ended);
        if (isEnd && (!end || !is(*end, Event::Gathered)))
            end = &line;
        if (is(line, Event::NotSent) || is(line, Event::SendFailed) || is(line, Event::GathererPassedBy))
            ++failures[line.event + ": " + line.field("why")];
        if (is(line, Event::ServerFailed))
            ++failures[line.event + ": status " + line.field("status")];
    }
    if (!end)
        return {};
    if (is(*end, Event::Refused))
        return "Refused by " + end->process + ", nothing was sent: " + end->field("why") + ".";
    std::string text = end->field("outcome") + " by " + end->process + " after " + end->field("took_ms") + " ms (aim "
        + end->field("aim_ms") + " ms): " + end->field("detail") + ".";
    text.front() = static_cast<char>(std::toupper(static_cast<unsigned char>(text.front())));
    for (auto& [what, count] : failures)
        text += " " + std::to_string(count) + " x " + what + ".";
    return text;
}

} // namespace Observe
