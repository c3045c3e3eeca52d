#include "StandIn/RunLog.h"

#include "Common/Assert.h"
#include "Common/Hash.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace StandIn {

RunLog::RunLog(int fd)
    : m_fd(fd)
{
}

RunLog::~RunLog()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

Common::Result<std::unique_ptr<RunLog>> RunLog::open(const std::string& path)
{
    if (path.empty())
        return std::unique_ptr<RunLog>(new RunLog(-1));
    constexpr int permissions = 0644;
    const int fd = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, permissions);
    if (fd < 0)
        return Common::makeError(Common::Reason::StorageFailed, "open-run-log", path + ": " + std::strerror(errno));
    return std::unique_ptr<RunLog>(new RunLog(fd));
}

void RunLog::append(const Common::RequestId& request, std::string_view body)
{
    if (m_fd < 0)
        return;
    // Writes each line with a single call: O_APPEND then keeps lines of concurrent threads and processes intact.
    const std::string line = request.value() + ' ' + std::to_string(Common::hash64(body)) + '\n';
    const ssize_t n = ::write(m_fd, line.data(), line.size());
    CORIANDERLOCK_INVARIANT(n == static_cast<ssize_t>(line.size()), "each start of a booking is in the run log");
}

} // namespace StandIn
