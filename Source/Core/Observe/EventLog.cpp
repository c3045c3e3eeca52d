#include "Observe/EventLog.h"

#include <algorithm>
#include <cctype>

namespace Observe {

namespace {

    // Characters of a value; the rest is cut off. This bounds the length of a line for any input from callers.
    constexpr size_t maximumValueLength = 240;

    bool needsNoQuotes(unsigned char c)
    {
        return std::isalnum(c) || std::string_view("-_.:/").find(static_cast<char>(c)) != std::string_view::npos;
    }

    void appendValue(std::string& out, std::string_view value)
    {
        value = value.substr(0, maximumValueLength);
        if (!value.empty() && std::all_of(value.begin(), value.end(), needsNoQuotes)) {
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

const char* eventName(Event event)
{
    switch (event) {
    case Event::Refused:
        return "refused";
    case Event::Gathered:
        return "gathered";
    case Event::Ended:
        return "ended";
    case Event::Overdue:
        return "overdue";
    case Event::SentAgain:
        return "sent-again";
    case Event::NotSent:
        return "not-sent";
    case Event::ServerFailed:
        return "server-failed";
    case Event::SendFailed:
        return "send-failed";
    case Event::RequestSuspected:
        return "request-suspected";
    case Event::StrikeAnswered:
        return "strike-answered";
    case Event::ServerNotice:
        return "server-notice";
    case Event::RateChanged:
        return "rate-changed";
    case Event::KeeperSilent:
        return "keeper-silent";
    case Event::ServerPaced:
        return "server-paced";
    case Event::ServerPaceEnded:
        return "server-pace-ended";
    case Event::QuotaRefused:
        return "quota-refused";
    case Event::QuotaKeeperSilent:
        return "quota-keeper-silent";
    case Event::GathererPassedBy:
        return "gatherer-passed-by";
    case Event::ServerChanged:
        return "server-changed";
    case Event::ServerLearned:
        return "server-learned";
    case Event::DepartureIgnored:
        return "departure-ignored";
    case Event::DepartureNotHeld:
        return "departure-not-held";
    case Event::DeparturesRecovered:
        return "departures-recovered";
    case Event::DeparturesNotStored:
        return "departures-not-stored";
    case Event::ControlFound:
        return "control-found";
    case Event::ControlLost:
        return "control-lost";
    case Event::ControlBehind:
        return "control-behind";
    case Event::SourceIgnored:
        return "source-ignored";
    case Event::RoutesAccepted:
        return "routes-accepted";
    case Event::RoutesApplied:
        return "routes-applied";
    case Event::RoutesNotAccepted:
        return "routes-not-accepted";
    case Event::RoutesInForce:
        return "routes-in-force";
    case Event::RoutesNotRead:
        return "routes-not-read";
    case Event::EvacuationAccepted:
        return "evacuation-accepted";
    case Event::EvacuationNotAccepted:
        return "evacuation-not-accepted";
    case Event::EvacuationsInForce:
        return "evacuations-in-force";
    case Event::Started:
        return "started";
    case Event::Stopping:
        return "stopping";
    case Event::Stopped:
        return "stopped";
    case Event::Reloaded:
        return "reloaded";
    case Event::ReloadRefused:
        return "reload-refused";
    case Event::Count:
        break;
    }
    return "unknown";
}

std::string formatEvent(Event event, std::initializer_list<EventField> fields)
{
    std::string line = "event=";
    line += eventName(event);
    for (const EventField& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(Part part, Event event, std::initializer_list<EventField> fields)
{
    if (isLogged(LogLevel::Info))
        writeLog(part, LogLevel::Info, formatEvent(event, fields));
}

} // namespace Observe
