#pragma once

#include "Entry/ServerTable.h"

// A server table with one shard on two replicas of one slot each.
struct TwoReplicas {
    TwoReplicas()
    {
        set.servers.resize(2);
        for (size_t i = 0; i < set.servers.size(); ++i) {
            set.servers[i].server = Common::BackendServerId("server-" + std::to_string(i));
            set.servers[i].domain = Common::FailureDomain("domain-" + std::to_string(i));
            set.servers[i].shards = { shard };
            set.all.push_back(i);
            set.byShard[shard].push_back(i);
            table.configure(set.servers[i].server, { Common::Slots(1), Common::Ratio(1) }, now);
        }
    }

    const Common::BackendServerId& id(size_t i) const { return set.servers[i].server; }

    // Fails four requests at the server, which pauses it for seconds.
    void pause(size_t i)
    {
        for (int n = 0; n < 4; ++n) {
            now = now + Common::Milliseconds(10'000);
            if (table.acquireAt(id(i), now))
                table.release(id(i), Limits::Completion::Failed, Common::Milliseconds(1), now);
        }
    }

    Entry::PlacementResult place(const Routing::Exclusions& exclusions, const Entry::PlacementOptions& options)
    {
        return table.place(set, set.forShard(shard), exclusions, options, now);
    }

    Common::ShardId shard { 3 };
    Common::TimePoint now { Common::Milliseconds(1000) };
    Entry::CandidateSet set;
    Entry::ServerTable table;
};
