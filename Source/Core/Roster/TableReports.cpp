#include "Roster/TableReports.h"

#include <algorithm>

namespace Roster {

std::vector<TableReport> newerTables(const WatchReply& reply, const Common::Address& replier, Common::TableNumber known)
{
    std::vector<TableReport> newer;
    if (reply.table > known)
        newer.push_back({ reply.table, replier });
    for (const SourceState& state : reply.sources) {
        if (state.table > known && state.source != replier)
            newer.push_back({ state.table, state.source });
    }
    std::stable_sort(
        newer.begin(), newer.end(), [](const TableReport& a, const TableReport& b) { return a.number > b.number; });
    return newer;
}

} // namespace Roster
