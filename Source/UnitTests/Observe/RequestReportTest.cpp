#include "Observe/RequestReport.h"
#include "Observe/EventLog.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

using namespace Observe;

namespace {

std::string lineOf(const std::string& time, const char* part, Event event, std::initializer_list<EventField> fields)
{
    return "2026-10-15 19:30:" + time + " INFO  [" + part + "] " + formatEvent(event, fields) + "\n";
}

RequestReport reportOf(const std::string& request, std::initializer_list<std::pair<const char*, std::string>> logs)
{
    RequestReport report;
    report.request = request;
    for (auto& [process, text] : logs) {
        std::istringstream in(text);
        readLog(report, in, process);
    }
    return report;
}

std::vector<std::string> eventsOf(const std::vector<LogLine>& lines)
{
    std::vector<std::string> events;
    events.reserve(lines.size());
    for (const LogLine& line : lines)
        events.push_back(line.process + " " + line.event);
    return events;
}

} // namespace

// The parser inverts formatEvent(), with quotes, empty values and the prefix of a log collector.
TEST(RequestReport, ParsesFormattedEvents)
{
    std::string text = lineOf("04.031", "relay", Event::NotSent,
        { { "request", "4f1c" }, { "why", "a \"quoted\" \\ word" }, { "empty", "" } });
    text.pop_back();
    LogLine line;
    ASSERT_EQ(readLine(text, "relay-1", line), LineKind::Event);
    EXPECT_EQ(line.process, "relay-1");
    EXPECT_EQ(line.time, "2026-10-15 19:30:04.031");
    EXPECT_EQ(line.part, "relay");
    EXPECT_EQ(line.event, "not-sent");
    EXPECT_EQ(line.field("request"), "4f1c");
    EXPECT_EQ(line.field("why"), "a \"quoted\" \\ word");
    EXPECT_EQ(line.field("empty"), "");
    EXPECT_EQ(line.fields.size(), 3u);
    ASSERT_EQ(readLine(" -12.9 collector relay-2 " + text, "file", line), LineKind::Event);
    EXPECT_EQ(line.process, "relay-2");
}

// A log may be cut off at any byte; malformed lines are counted and skipped.
TEST(RequestReport, SkipsAndCountsMalformedLines)
{
    LogLine line;
    EXPECT_EQ(readLine("", "p", line), LineKind::Other);
    EXPECT_EQ(readLine("2026-10-15 19:30:04.031 INFO  [peer] The connection is lost.", "p", line), LineKind::Other);
    std::string whole = lineOf("04.031", "relay", Event::NotSent, { { "request", "4f1c" }, { "why", "a b" } });
    RequestReport report;
    report.request = "4f1c";
    for (size_t length = 0; length <= whole.size(); ++length) {
        std::istringstream in(whole.substr(0, length));
        readLog(report, in, "p");
    }
    std::istringstream other("[relay] event=refused request=4f1c\n2026-10-15 19:30:04.031 [relay] event=x why=\"a\n"
                             "2026-10-15 19:30:04.031 [relay] event=x a b=c\n");
    readLog(report, other, "p");
    EXPECT_GT(report.malformed, 3u);
    EXPECT_FALSE(report.lines.empty());
}

// Selects the relevant state changes only, and orders the lines of two processes by time.
TEST(RequestReport, OrdersTheLinesOfAllProcesses)
{
    std::string requester = lineOf("04.000", "control", Event::RoutesInForce, { { "table", "7" } })
        + lineOf("04.100", "relay", Event::GathererPassedBy, { { "request", "1" }, { "why", "no answer to a probe" } })
        + lineOf("04.300", "relay", Event::Gathered,
            { { "request", "1" }, { "outcome", "failed" }, { "took_ms", "200" }, { "aim_ms", "150" },
                { "detail", "too few groups" } })
        + lineOf("04.400", "control", Event::RoutesInForce, { { "table", "8" } });
    std::string gatherer
        = lineOf("01.000", "roster", Event::ServerLearned, { { "server", "s" }, { "standing", "lost" } })
        + lineOf("02.000", "roster", Event::ServerLearned, { { "server", "s" }, { "standing", "serving" } })
        + lineOf("04.150", "relay", Event::ServerFailed, { { "request", "1" }, { "server", "s" }, { "status", "503" } })
        + lineOf("04.160", "relay", Event::ServerFailed, { { "request", "2" }, { "server", "s" }, { "status", "500" } })
        + lineOf("04.250", "relay", Event::Ended,
            { { "request", "1" }, { "outcome", "answered" }, { "detail", "1 groups missing" } })
        + lineOf("05.000", "roster", Event::ServerLearned, { { "server", "s" }, { "standing", "leaving" } })
        + lineOf("06.000", "roster", Event::ServerLearned, { { "server", "s" }, { "standing", "lost" } });
    auto lines = relevantLines(reportOf("1", { { "b", gatherer }, { "a", requester } }));
    EXPECT_EQ(eventsOf(lines),
        (std::vector<std::string> { "b server-learned", "a routes-in-force", "a gatherer-passed-by", "b server-failed",
            "b ended", "a gathered", "b server-learned" }));
    EXPECT_EQ(lines.front().field("standing"), "serving") << "the last change before the failure";
    EXPECT_EQ(lines.back().field("standing"), "leaving") << "the first change after the failure";
    EXPECT_EQ(summarizeOutcome(lines),
        "Failed by a after 200 ms (aim 150 ms): too few groups. 1 x gatherer-passed-by: no answer to a probe. 1 x "
        "server-failed: status 503.");
}

TEST(RequestReport, ExplainsARefusal)
{
    std::string log = lineOf("04.000", "relay", Event::Refused, { { "request", "1" }, { "why", "no route matches" } });
    EXPECT_EQ(summarizeOutcome(relevantLines(reportOf("1", { { "a", log } }))),
        "Refused by a, nothing was sent: no route matches.");
    EXPECT_EQ(summarizeOutcome(relevantLines(reportOf("2", { { "a", log } }))), "");
}

// The table in docs/OPERATIONS.md must list exactly the events of the code. The first cell of each of its rows holds
// the names of events in backquotes.
TEST(Events, AreAllDocumented)
{
    std::ifstream page(OPERATIONS_PAGE);
    ASSERT_TRUE(page);
    std::string text((std::istreambuf_iterator<char>(page)), std::istreambuf_iterator<char>());
    auto begin = text.find("| event | part |");
    ASSERT_NE(begin, std::string::npos);
    std::istringstream table(text.substr(begin, text.find("\n\n", begin) - begin));
    std::set<std::string> documented;
    std::string row;
    while (std::getline(table, row)) {
        std::string cell = row.substr(0, row.find('|', 1));
        for (size_t open = cell.find('`'); open != std::string::npos; open = cell.find('`', open + 1)) {
            size_t close = cell.find('`', open + 1);
            documented.insert(cell.substr(open + 1, close - open - 1));
            open = close;
        }
    }
    std::set<std::string> known;
    for (int i = 0; i < static_cast<int>(Event::Count); ++i)
        known.insert(eventName(static_cast<Event>(i)));
    EXPECT_EQ(documented, known);
    EXPECT_EQ(known.count("unknown"), 0u);
}
