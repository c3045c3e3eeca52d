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

    constexpr std::string_view timePattern = "0000-00-00 00:00:00.000"; // 0 is any digit.
    constexpr std::string_view eventStart = "event=";

    bool isTimeAt(std::string_view text, size_t at)
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
            if (isTimeAt(text, at))
                return at;
        }
        return std::string_view::npos;
    }

    // The last word before the time.
    std::string processBefore(std::string_view text)
    {
        while (!text.empty() && text.back() == ' ')
            text.remove_suffix(1);
        auto space = text.rfind(' ');
        return std::string(space == std::string_view::npos ? text : text.substr(space + 1));
    }

    // Takes a value off the front; false if a quote does not end.
    bool takeValue(std::string_view& text, std::string& value)
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

    bool takeFields(std::string_view text, std::vector<std::pair<std::string, std::string>>& fields)
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
            if (!takeValue(text, value))
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

    bool isFailureOfServer(const LogLine& line) { return is(line, Event::ServerFailed) || is(line, Event::SendFailed); }

    // Beliefs by process and by what they are about.
    using Subject = std::pair<std::string, std::string>;

    Subject subjectOf(const LogLine& stateChange)
    {
        const std::string& server = stateChange.field("server");
        return { stateChange.process, server.empty() ? stateChange.event : server };
    }

    // Places in the list of state changes, each list in the order of time.
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
    std::string_view rest = text.substr(bracket + 2 + eventStart.size());
    if (!takeValue(rest, line.event) || line.event.empty() || !takeFields(rest, line.fields))
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
    std::set<size_t> used;
    // Uses the last state change before the time, or the next one after it.
    auto use = [&](const Subject& subject, const std::string& time, bool isAfter) {
        auto it = index.find(subject);
        if (it == index.end())
            return;
        auto isLater = [&](const std::string& t, size_t i) { return t < report.stateChanges[i].time; };
        auto next = std::upper_bound(it->second.begin(), it->second.end(), time, isLater);
        if (isAfter && next != it->second.end())
            used.insert(*next);
        if (!isAfter && next != it->second.begin())
            used.insert(*std::prev(next));
    };
    for (const LogLine& line : report.lines) {
        use({ line.process, eventName(Event::RoutesInForce) }, line.time, false);
        const std::string& server = line.field("server");
        if (server.empty())
            continue;
        use({ line.process, server }, line.time, false);
        if (isFailureOfServer(line))
            use({ line.process, server }, line.time, true);
    }
    std::vector<LogLine> told = report.lines;
    for (size_t i : used)
        told.push_back(report.stateChanges[i]);
    std::stable_sort(told.begin(), told.end(), [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
    return told;
}

std::string summarizeOutcome(const std::vector<LogLine>& lines)
{
    const LogLine* end = nullptr;
    std::map<std::string, size_t> troubles;
    for (const LogLine& line : lines) {
        // The whole call ends after its parts, and says more.
        bool isEnd = is(line, Event::Refused) || is(line, Event::Gathered) || is(line, Event::Ended);
        if (isEnd && (!end || !is(*end, Event::Gathered)))
            end = &line;
        if (is(line, Event::NotSent) || is(line, Event::SendFailed) || is(line, Event::GathererPassedBy))
            ++troubles[line.event + ": " + line.field("why")];
        if (is(line, Event::ServerFailed))
            ++troubles[line.event + ": status " + line.field("status")];
    }
    if (!end)
        return {};
    if (is(*end, Event::Refused))
        return "Refused by " + end->process + ", nothing was sent: " + end->field("why") + ".";
    std::string text = end->field("outcome") + " by " + end->process + " after " + end->field("took_ms") + " ms (aim "
        + end->field("aim_ms") + " ms): " + end->field("detail") + ".";
    text.front() = static_cast<char>(std::toupper(static_cast<unsigned char>(text.front())));
    for (auto& [what, count] : troubles)
        text += " " + std::to_string(count) + " x " + what + ".";
    return text;
}

} // namespace Observe
