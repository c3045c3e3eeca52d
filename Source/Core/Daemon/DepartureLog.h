#pragma once

#include "Common/Clock.h"
#include "Roster/Departures.h"
#include "Storage/Files.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Daemon {

// Keeps departures of backend servers on the disk of a control instance, so that acknowledged ones survive the loss of
// all control processes. Has a thread of its own for the disk; departures that arrive during a write share the next
// one.
class DepartureLog {
public:
    using Done = std::function<void(bool isDurable)>;

    // Reads what an earlier process recorded in this folder, which must exist. A departure is kept for the retention at
    // least. A disk that can't be read or written is logged; nothing is durable then.
    DepartureLog(const Storage::Files&, const std::string& folder, Common::Milliseconds retention);
    ~DepartureLog();
    DepartureLog(const DepartureLog&) = delete;
    DepartureLog& operator=(const DepartureLog&) = delete;

    // The departures of the earlier process.
    const std::vector<Roster::Departure>& recovered() const;
    // Calls done, if it is set, on the thread of the log. After a failure the departure can be recorded again.
    void record(const Roster::Departure&, Done done = nullptr);
    // Waits for the write in progress. Departures that are not written yet get no further answer. Must not be called
    // from the thread of the log.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Daemon
