#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

// Plays calls of several kinds at one set of servers in virtual time: load shedding, admission, the wait queue and one
// retry per caller, with the decisions of Limits.
namespace PlayedLoad {

struct Kind {
    std::string route;
    int priority { 0 };
    double serviceTime { 5 }; // Milliseconds, here and below.
    double objective { 50 };
    double deadline { 300 };
};

struct Source {
    size_t kind { 0 };
    std::string tenant; // Empty: none.
    double ratePerSecond { 1 };
    double from { 0 };
    double until { 20'000 };
};

struct Counts {
    int calls { 0 };
    int inTime { 0 };
    int late { 0 };
    int refusedAtOnce { 0 }; // Both attempts, within a quarter of the objective.
    int refusedLate { 0 };
    int unanswered { 0 };

    double served() const { return calls ? double(inTime + late) / calls : 1; }
    double servedInTime() const { return calls ? double(inTime) / calls : 1; }
};

// Former: without priorities and tenants, and late waiters are dropped without an answer, as before both were known.
enum class Order { Former, ByPriority };

struct Outcome {
    std::map<std::string, Counts> byRoute;
    std::map<std::string, Counts> byTenant;
    Counts all;
    std::vector<size_t> queueLengths; // Each 10 ms.
};

// The servers accept nothing while they stall.
struct Stall {
    double from { 0 };
    double until { 0 };
};

Outcome play(const std::vector<Kind>&, const std::vector<Source>&, Order, uint64_t seed, const Stall& = {});

std::ostream& operator<<(std::ostream&, const Counts&);

} // namespace PlayedLoad
