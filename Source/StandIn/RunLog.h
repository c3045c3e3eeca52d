#pragma once

#include "Common/Error.h"
#include "Common/Ids.h"

#include <memory>
#include <string>
#include <string_view>

namespace StandIn {

// A file with a line "request-id body-hash" for each started booking. Several processes may append to the same file.
class RunLog {
public:
    // With an empty path, the log discards all lines.
    static Common::Result<std::unique_ptr<RunLog>> open(const std::string& path);
    ~RunLog();
    RunLog(const RunLog&) = delete;
    RunLog& operator=(const RunLog&) = delete;

    // Passes the line to the kernel before it returns, so that the line survives kill -9 of this process.
    void append(const Common::RequestId&, std::string_view body);

private:
    explicit RunLog(int fd);

    int m_fd;
};

} // namespace StandIn
