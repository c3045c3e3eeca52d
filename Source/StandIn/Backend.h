#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Timers.h"
#include "Common/Units.h"
#include "StandIn/DataSet.h"
#include "StandIn/Faults.h"
#include "StandIn/Messages.h"
#include "StandIn/RunLog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace StandIn {

struct BackendOptions {
    Common::BackendServerId id;
    std::vector<ReplicaSet> replicas;
    Common::Slots slots { 2 };
    size_t queueLimit { 0 }; // Maximum number of requests that wait for a slot.
    Common::Milliseconds searchTime { 2 };
    Common::Milliseconds runTime { 5 };
    uint64_t seed { 1 }; // Of the random faults.
    Faults faults;
    std::function<void()> crash; // Exits the process if unset; tests replace it.
};

struct BackendCounters {
    uint64_t searches { 0 }; // Started.
    uint64_t runs { 0 }; // Started.
    uint64_t refused { 0 };
    uint64_t cancelled { 0 };
    uint64_t peakRequests { 0 }; // Peak number of running and queued requests.
    uint64_t lateAfterLeaving { 0 }; // Arrived more than leavingGrace after leave().
};

// Callers should send no new work to a server that started to leave longer ago than this.
inline constexpr Common::Milliseconds leavingGrace { 3000 };

// A simulated backend server without its network side: slots, faults, index versions, searches and bookings. Timers
// simulate the service time. Callbacks run on a timer thread, or on the calling thread if the work is refused.
class Backend {
public:
    using SearchDone = std::function<void(SearchResult)>;
    using RunDone = std::function<void(WorkStatus)>;

    // The references must outlive the Backend and all its work.
    Backend(BackendOptions, const DataSet&, Common::Timers&, RunLog&);
    ~Backend();
    Backend(const Backend&) = delete;
    Backend& operator=(const Backend&) = delete;

    void search(const SearchRequest&, const SearchDone&);
    void run(const RunRequest&, const RunDone&);
    // Returns whether the search was running or queued.
    bool cancel(const CallerQueryId&, Common::ShardId);

    // Returns the load for health checks, which the faults can make outdated or wrong.
    LoadSample reportedLoad();
    // Returns the number of running and queued requests.
    uint64_t pending() const;

    Faults faults() const;
    void setFaults(Faults);
    std::vector<ReplicaSet> replicas() const;
    void setReplicas(std::vector<ReplicaSet>);
    // Marks the server as leaving. It continues to serve requests.
    void leave();
    bool isLeaving() const;
    BackendCounters counters() const;
    const BackendOptions& options() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace StandIn
