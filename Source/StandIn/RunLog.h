#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"

#include <memory>
#include <string>
#include <string_view>

namespace StandIn {

// A file with one line "request-id body-hash" for each start of a booking. Several processes may share the file.
class RunLog {
public:
    // An empty path gives a log that keeps nothing.
    static Common::Result<std::unique_ptr<RunLog>> open(const std::string& path);
    ~RunLog();
    RunLog(const RunLog&) = delete;
    RunLog& operator=(const RunLog&) = delete;

    // Returns when the line is in the kernel's hands: it outlives kill -9 of this process.
    void append(const Common::RequestId&, std::string_view body);

private:
    explicit RunLog(int fd);

    int m_fd;
};

} // namespace StandIn
