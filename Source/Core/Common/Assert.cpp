#include "Common/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace Common {

void invariantFailed(const char* condition, const char* what, const char* file, int line)
{
    std::fprintf(stderr, "invariant failed: %s (%s) at %s:%d\n", what, condition, file, line);
    std::abort();
}

} // namespace Common
