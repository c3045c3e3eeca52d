#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Observe {

// Lamport time: an event that could have caused another has the lower one.
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

// "query-admitted".
const char* eventKindName(EventKind);

struct TimelineEvent {
    Common::InstanceId instance;
    Common::Incarnation incarnation;
    uint64_t sequence { 0 }; // Rises by one with each event of the process.
    LogicalTime time;
    Common::Milliseconds wallClock; // Since 1970, by the process's own clock; for people only.
    EventKind kind { EventKind::ProcessStarted };
    std::string subject; // The request id, change id, backend server or revision that the event is about.
    std::string detail;

    friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};

// The latest events of one process, in shards by subject with a lock each. Bounded: half of the capacity is for events
// about requests, half for all others.
class Timeline {
public:
    static constexpr size_t defaultCapacity = 65'536;

    Timeline(Common::InstanceId, Common::Incarnation, size_t capacity = defaultCapacity);
    ~Timeline();
    Timeline(const Timeline&) = delete;
    Timeline& operator=(const Timeline&) = delete;

    void record(EventKind, std::string subject, std::string detail = {});
    // The logical time to send along with a message.
    LogicalTime stamp();
    // Takes in the logical time that came with a message, before anything that the message causes.
    void observe(LogicalTime);
    // The latest events in order, at most limit; an empty subject means all.
    std::vector<TimelineEvent> recent(const std::string& subject, size_t limit) const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

// One causal order over all processes: by logical time, then instance, incarnation and sequence; wall clocks, which
// may be wrong, play no part. An event that is in several lists comes once.
std::vector<TimelineEvent> mergeTimelines(std::vector<std::vector<TimelineEvent>>);

} // namespace Observe
