#pragma once

#include "Review/Subject.h"
#include "Routes/Table.h"

#include <string>
#include <vector>

// Examines a valid route table for entries that have no effect or contradict each other.
namespace Review {

enum class Severity {
    Warning, // The table can be served, but this entry does not do what it seems to. Errors come from validate().
};

struct Finding {
    Severity severity { Severity::Warning };
    Subject subject;
    Field field { Field::Name };
    std::string message; // Never contains a key or its digest.
};

// Expects an indexed table that passed validate(). Findings are in the order of the table.
std::vector<Finding> review(const Routes::Table&);

} // namespace Review
