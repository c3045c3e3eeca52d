#pragma once

#include "Routes/Table.h"

namespace ReviewTest {

// A correct table without findings: route 0 "single" sends to group "a" or "b", route 1 "gather" to "b" and "c", and
// the tenants are 0 "large" (quota, priority) and 1 "small".
Routes::Table makeTable();

// Indexes the table and asserts that it is valid: only valid tables are reviewed.
void indexValid(Routes::Table&);

} // namespace ReviewTest
