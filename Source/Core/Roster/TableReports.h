#pragma once

#include "Roster/Messages.h"

namespace Roster {

// A control instance that has applied a route table.
struct TableReport {
    Common::TableNumber number;
    Common::Address source;

    friend bool operator==(const TableReport&, const TableReport&) = default;
};

// The control instances that have a later route table than the known one, the latest tables first. `replier` sent the
// reply; it comes before the others with the same table.
std::vector<TableReport> newerTables(const WatchReply&, const Common::Address& replier, Common::TableNumber known);

} // namespace Roster
