#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Observe {

// A Lamport timestamp: an event that may have caused another has a lower one.
using LogicalTime = Common::Quantity<struct LogicalTimeTag, uint64_t>;

enum class EventKind {
    ProcessStarted,
    ProcessDraining,
    ProcessStopped,
    QueryAdmitted,
    QueryAnswered,
    QueryRefused,
    SubRequestSent,
    SubRequestRetried,
    SubRequestHedged,
    SubRequestCancelled,
    AnswerDropped,
    RequestClaimed,
    RequestDispatched,
    RequestFinished,
    RequestReplayed,
    ChangeAccepted,
    ChangeRefused,
    RevisionApplied,
    RevisionInForce,
    LeaseGranted,
    LeaseLost,
    LeaderElected,
    LeaderSteppedDown,
    ServerJoined,
    ServerChanged,
    ServerLeaving,
    ServerSuspected,
    ServerRemoved,
    InstanceJoined,
    InstanceLeaving,
    InstanceSuspected,
    InstanceRemoved,
    FingerprintSuspected,
    FingerprintQuarantined,
    FingerprintReleased,
    ConnectionsReplaced,
    Count,
};

// The external name, such as "query-admitted".
const char* eventKindName(EventKind);

struct TimelineEvent {
    Common::InstanceId instance;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 }; // Increases by one with each event of the process.
    LogicalTime time;
    Common::Milliseconds wallClock; // Since 1970, by the process's own clock. For display only.
    EventKind kind { EventKind::ProcessStarted };
    std::string subject; // The request id, change id, backend server or revision that the event is about.
    std::string detail;

    friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};

// The latest events of one process, sharded by subject, each shard with its own mutex. Half of the capacity is reserved
// for events about requests, half for all others.
class Timeline {
public:
    static constexpr size_t defaultCapacity = 65'536;

    Timeline(Common::InstanceId, Common::Incarnation, size_t capacity = defaultCapacity);
    ~Timeline();
    Timeline(const Timeline&) = delete;
    Timeline& operator=(const Timeline&) = delete;

    void record(EventKind, std::string subject, std::string detail = {});
    // The logical time to send with a message.
    LogicalTime stamp();
    // Applies the logical time received with a message. Must be called before recording any event that it causes.
    void observe(LogicalTime);
    // The latest events in causal order, at most limit. An empty subject matches all events.
    std::vector<TimelineEvent> recent(const std::string& subject, size_t limit) const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

// Merges timelines into one causal order: by logical time, then instance, incarnation and sequence. Wall clocks may be
// wrong and are not used. An event that is in several lists appears once.
std::vector<TimelineEvent> mergeTimelines(std::vector<std::vector<TimelineEvent>>);

} // namespace Observe
