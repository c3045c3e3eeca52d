#include "Observe/Timeline.h"

#include <array>

namespace Observe {

namespace {

    constexpr std::array<const char*, static_cast<size_t>(EventKind::Count)> names {
        "process-started",
        "process-draining",
        "process-stopped",
        "query-admitted",
        "query-answered",
        "query-refused",
        "sub-request-sent",
        "sub-request-retried",
        "sub-request-hedged",
        "sub-request-cancelled",
        "answer-dropped",
        "request-claimed",
        "request-dispatched",
        "request-finished",
        "request-replayed",
        "change-accepted",
        "change-refused",
        "revision-applied",
        "revision-in-force",
        "lease-granted",
        "lease-lost",
        "leader-elected",
        "leader-stepped-down",
        "server-joined",
        "server-changed",
        "server-leaving",
        "server-suspected",
        "server-removed",
        "instance-joined",
        "instance-leaving",
        "instance-suspected",
        "instance-removed",
        "fingerprint-suspected",
        "fingerprint-quarantined",
        "fingerprint-released",
        "connections-replaced",
    };

} // namespace

const char* eventKindName(EventKind kind)
{
    return kind < EventKind::Count ? names[static_cast<size_t>(kind)] : "unknown";
}

} // namespace Observe
