#include "CommandLine/Print.h"

#include "Json/Reader.h"

#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

using Json::Value;

namespace CommandLine {

namespace {

    constexpr size_t maximumShownResults = 20;
    constexpr int64_t millisecondsInSecond = 1'000;

    Value parse(const std::string& body)
    {
        auto value = Json::parseObject(body, Common::Reason::Corrupt, "read-answer");
        return value ? value.value() : Value::object();
    }

    std::string clockText(double wallClockMs)
    {
        auto ms = static_cast<int64_t>(wallClockMs);
        std::time_t seconds = ms / millisecondsInSecond;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::ostringstream out;
        out << std::put_time(&parts, "%H:%M:%S") << "." << std::setw(3) << std::setfill('0')
            << ms % millisecondsInSecond;
        return out.str();
    }

    void printRow(
        const std::string& clock, const std::string& process, const std::string& event, const std::string& text)
    {
        std::cout << clock << "  " << std::left << std::setw(16) << process << " " << std::setw(20) << event
                  << std::right << " " << text << "\n";
    }

} // namespace

std::string encodeQueryBody(const std::string& text, Common::Milliseconds deadline)
{
    Value value = Value::object();
    value["q"] = Value(text);
    if (deadline > Common::Milliseconds(0))
        value["deadline_ms"] = Value(deadline.value());
    return value.serialize();
}

bool isComplete(const std::string& body)
{
    Value value = parse(body);
    Json::Problem problem;
    return Json::Reader(value, "", problem).flag("complete", false);
}

void printPlain(const std::string& body) { std::cout << body << "\n"; }

void printList(const std::string& body)
{
    Value value = parse(body);
    for (const Value& item : value.at("resources").as_array()) {
        std::cout << "version " << item.at("version").serialize() << "  " << item.at("resource").serialize() << "\n";
    }
}

void printStatus(const std::string& body)
{
    Value value = parse(body);
    std::cout << "revision " << value.at("revision").serialize() << ": " << value.at("state").as_string();
    for (const Value& id : value.at("missing").as_array())
        std::cout << " " << id.as_string();
    std::cout << (value.at("new_leader").as_bool() ? " (the leader is new and may not know all instances yet)\n"
                                                   : "\n");
    // Instances of earlier versions don't send the field.
    if (!value.has_field("evacuated_domains") || !value.at("evacuated_domains").size())
        return;
    std::cout << "evacuated:";
    for (const Value& domain : value.at("evacuated_domains").as_array())
        std::cout << " " << domain.as_string();
    std::cout << "\n";
}

void printAnswer(const std::string& body)
{
    Value value = parse(body);
    std::cout << (value.at("complete").as_bool() ? "complete" : "PARTIAL") << ", coverage "
              << value.at("coverage").serialize() << ", snapshot version "
              << value.at("snapshot").at("index_version").serialize() << ", " << value.at("results").size()
              << " results\n";
    size_t n = 0;
    for (const Value& item : value.at("results").as_array()) {
        if (++n > maximumShownResults)
            break;
        std::cout << "  " << item.at("key").as_string() << "  " << item.at("value").as_string() << "\n";
    }
    if (n > maximumShownResults)
        std::cout << "  ...\n";
    for (const Value& part : value.at("missing").as_array())
        std::cout << "  missing: shard " << part.at("shard").serialize() << " " << part.at("reason").as_string() << " "
                  << part.at("detail").as_string() << "\n";
}

void printTimeline(const std::string& body)
{
    Value value = parse(body);
    for (const Value& event : value.at("events").as_array()) {
        std::cout << std::setw(8) << event.at("time").serialize() << "  ";
        printRow(clockText(event.at("wall_clock_ms").as_double()), event.at("instance").as_string(),
            event.at("event").as_string(), event.at("subject").as_string() + "  " + event.at("detail").as_string());
    }
    for (const Value& address : value.at("silent").as_array())
        std::cout << "no answer from " << address.as_string() << "\n";
}

void printReport(const std::vector<Observe::LogLine>& lines)
{
    constexpr size_t dateLength = 11; // Of "2026-10-15 ".
    for (const Observe::LogLine& line : lines) {
        std::string text;
        for (auto& [name, value] : line.fields) {
            if (name != "request")
                text.append(name).append("=").append(value).append("  ");
        }
        printRow(line.time.substr(dateLength), line.process, line.event, text);
    }
    std::string cause = Observe::summarizeOutcome(lines);
    std::cout << (cause.empty()
            ? "No line records the outcome: the request succeeded and was not sampled, or is in progress."
            : cause)
              << "\n";
}

} // namespace CommandLine
