#include "Api/TimelineJson.h"

#include "Json/Reader.h"

using Json::Value;

namespace Api {

std::string encodeTimeline(
    const std::vector<Observe::TimelineEvent>& events, const std::vector<Common::Address>& silent)
{
    std::vector<Value> items;
    items.reserve(events.size());
    for (const Observe::TimelineEvent& event : events) {
        Value item = Value::object();
        item["time"] = Value(event.time.value());
        item["wall_clock_ms"] = Value(event.wallClock.value());
        item["instance"] = Value(event.instance.value());
        item["incarnation"] = Value(event.incarnation.value());
        item["sequence"] = Value(event.sequence);
        item["event"] = Value(std::string(Observe::eventKindName(event.kind)));
        item["subject"] = Value(event.subject);
        item["detail"] = Value(event.detail);
        items.push_back(item);
    }
    std::vector<Value> missing;
    missing.reserve(silent.size());
    for (const Common::Address& address : silent)
        missing.emplace_back(address.value());
    Value value = Value::object();
    value["events"] = Value::array(items);
    value["silent"] = Value::array(missing);
    return value.serialize();
}

} // namespace Api
