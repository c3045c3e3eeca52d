#include "Http/ProcessMemory.h"

#include <fstream>
#include <unistd.h>

namespace HttpTest {

size_t residentBytes()
{
    std::ifstream in("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace HttpTest
