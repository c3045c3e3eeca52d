#include "Observe/MetricNames.h"

#include <array>

namespace Observe {

namespace {

    constexpr std::array<MetricText, static_cast<size_t>(Counter::Count)> counters { {
        { "corianderlock_queries_total", "Queries that ended, by outcome.", "outcome" },
        { "corianderlock_bookings_total", "Requests that run at most once, by outcome.", "outcome" },
        { "corianderlock_first_sends_total", "Sub-requests sent for the first time.", "group" },
        { "corianderlock_retries_total", "Sub-requests sent again after an error.", "group" },
        { "corianderlock_hedges_total", "Sub-requests sent to a second replica before the first answered.", "group" },
        { "corianderlock_cancellations_total", "Sub-requests cancelled.", "group" },
        { "corianderlock_late_answers_total", "Answers that arrived after their query had ended.", "group" },
        { "corianderlock_refusals_total", "Requests refused as not run, by reason.", "reason" },
        { "corianderlock_connections_replaced_total", "Connections replaced because one went silent.", "server" },
        { "corianderlock_quarantines_total", "Fingerprints placed in quarantine.", "" },
        { "corianderlock_departures_total", "Departures reported by backend servers.", "outcome" },
        { "corianderlock_overdue_calls_total", "Calls that outlived their deadline, which is a fault.", "what" },
        { "corianderlock_stopped_calls_total", "Calls and bundles that ended because the process stopped.", "outcome" },
        { "corianderlock_limited_sends_total", "Requests to servers that name a limit.", "purpose" },
        { "corianderlock_unusable_limits_total", "Answers with a limit that can't be read.", "group" },
        { "corianderlock_tenant_admitted_total", "Calls admitted by the quotas of tenants.", "tenant" },
        { "corianderlock_tenant_refused_total", "Calls refused for the quotas of tenants.", "tenant" },
        { "corianderlock_gossip_sent_bytes_total", "Bytes of gossip sent.", "" },
        { "corianderlock_gossip_received_bytes_total", "Bytes of gossip received.", "" },
        { "corianderlock_gossip_messages_total", "Gossip messages, sent and received.", "direction" },
    } };

    constexpr std::array<MetricText, static_cast<size_t>(Gauge::Count)> gauges { {
        { "corianderlock_revision_in_force", "Revision that every instance with a lease has applied.", "" },
        { "corianderlock_revision_applied", "Revision that this process has applied.", "" },
        { "corianderlock_connections", "Open connections to a backend server.", "server" },
        { "corianderlock_in_flight", "Sub-requests in flight on a backend server.", "server" },
        { "corianderlock_queries_in_flight", "Queries in flight.", "route" },
        { "corianderlock_relay_work",
            "Queries, gatherings, sub-requests, waiting sends, connections, slots and timers of a relay.", "kind" },
        { "corianderlock_paced_servers", "Backend servers that get requests at a reduced pace.", "" },
        { "corianderlock_claims", "Claims of requests that run at most once.", "state" },
        { "corianderlock_leader", "1 while this process leads the log shard.", "log_shard" },
        { "corianderlock_log_behind_milliseconds",
            "Time since this process last held all committed entries; +Inf if it has not since its start.",
            "log_shard" },
        { "corianderlock_write_pending_milliseconds", "Age of the oldest write that the disk has not confirmed.",
            "log_shard" },
        { "corianderlock_voter", "1 while this process has a vote in the group of the log shard.", "log_shard" },
        { "corianderlock_servers_known", "Backend servers in the directory.", "state" },
        { "corianderlock_instances_known", "Instances in the directory.", "state" },
        { "corianderlock_draining", "1 while this process accepts no new work.", "" },
        { "corianderlock_domains_evacuated", "Failure domains whose backend servers get no requests.", "" },
    } };

    constexpr std::array<MetricText, static_cast<size_t>(Latency::Count)> latencies { {
        { "corianderlock_query_milliseconds", "Time from a query's arrival to its answer.", "route" },
        { "corianderlock_booking_milliseconds", "Time from a run-once request's arrival to its answer.", "route" },
        { "corianderlock_sub_request_milliseconds", "Time from a sub-request's sending to its answer.", "group" },
        { "corianderlock_commit_milliseconds", "Time from a proposal to its commit.", "log_shard" },
        { "corianderlock_accepted_to_in_force_milliseconds", "Time from a change's acceptance until in force.", "" },
        { "corianderlock_departure_milliseconds", "Time from a departure's report to its reply.", "" },
    } };

    constexpr std::array<MetricText, static_cast<size_t>(Share::Count)> shares { {
        { "corianderlock_coverage_ratio", "Share of the key space that an answer covers.", "route" },
    } };

} // namespace

const MetricText& textOf(Counter counter) { return counters[static_cast<size_t>(counter)]; }
const MetricText& textOf(Gauge gauge) { return gauges[static_cast<size_t>(gauge)]; }
const MetricText& textOf(Latency latency) { return latencies[static_cast<size_t>(latency)]; }
const MetricText& textOf(Share share) { return shares[static_cast<size_t>(share)]; }

} // namespace Observe
