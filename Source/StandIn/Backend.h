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
    size_t queueLimit { 0 }; // Pieces of work that may wait for a slot.
    Common::Milliseconds searchTime { 2 };
    Common::Milliseconds runTime { 5 };
    uint64_t seed { 1 }; // Of the faults.
    Faults faults;
    std::function<void()> crash; // Ends the process, unless a test says otherwise.
};

struct BackendCounters {
    uint64_t searches { 0 }; // Started.
    uint64_t runs { 0 }; // Started.
    uint64_t refused { 0 };
    uint64_t cancelled { 0 };
    uint64_t peakRequests { 0 }; // Running or waiting at once.
    uint64_t lateAfterLeaving { 0 }; // Came in more than leavingGrace after leave().
};

// A server that has left for so long should get no new work.
inline constexpr Common::Milliseconds leavingGrace { 3000 };

// One backend server without its sockets: slots, faults, versions, searches and bookings. Work takes its time on
// timers. Callbacks run on a timer thread, or on the caller's if the work ends at once.
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
    // Whether such a search was running or waiting.
    bool cancel(const CallerQueryId&, Common::ShardId);

    // As of some time ago, or untrue, as the faults say.
    LoadSample reportedLoad();
    // Work that is running or waiting.
    uint64_t pending() const;

    Faults faults() const;
    void setFaults(Faults);
    std::vector<ReplicaSet> replicas() const;
    void setReplicas(std::vector<ReplicaSet>);
    // From now on the server is known to leave; it goes on serving.
    void leave();
    bool isLeaving() const;
    BackendCounters counters() const;
    const BackendOptions& options() const;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace StandIn
