#pragma once

namespace Common {

// Reports a broken invariant on standard error and aborts: continuing could break a guarantee given to a caller.
[[noreturn]] void invariantFailed(const char* condition, const char* what, const char* file, int line);

} // namespace Common

// Checks an invariant, in release builds too.
#define CORIANDERLOCK_INVARIANT(condition, what)                                                                       \
    do {                                                                                                               \
        if (!(condition))                                                                                              \
            ::Common::invariantFailed(#condition, what, __FILE__, __LINE__);                                           \
    } while (false)
