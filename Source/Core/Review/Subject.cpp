#include "Review/Subject.h"

#include <charconv>

namespace Review {

std::string textOf(double value)
{
    char text[32];
    auto end = std::to_chars(std::begin(text), std::end(text), value);
    return { std::begin(text), end.ptr };
}

} // namespace Review
