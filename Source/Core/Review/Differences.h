#pragma once

#include "Review/Subject.h"
#include "Routes/Table.h"

#include <optional>
#include <string>
#include <vector>

// What changes when one route table replaces another.
namespace Review {

struct Difference {
    enum class Kind {
        Added,
        Removed,
        Changed,
        NotHigher, // Of the table's number: the proposed table would be acknowledged, but not replace the other one.
    };

    Kind kind { Kind::Changed };
    Subject subject;
    std::optional<Field> field; // Empty: the whole subject.
    std::string before;
    std::string after; // Of keys, only their number is shown.
};

// Routes, groups and tenants are compared by name.
std::vector<Difference> differences(const Routes::Table& inForce, const Routes::Table& proposed);

} // namespace Review
