#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <string>

namespace HttpTest {

// A TCP connection on which a test writes what it likes.
class RawClient {
public:
    explicit RawClient(const Common::Address&);
    ~RawClient();
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    // Returns false if the connection is closed.
    bool send(const std::string& bytes);
    // Says that nothing more will be sent; answers can still be read.
    void finishSending();
    // Reads one answer and returns its status line and body with a space between, or "" if none came whole in time.
    std::string readAnswer(Common::Milliseconds bound);
    // Whether the peer closes within the bound; what comes before is thrown away.
    bool isClosed(Common::Milliseconds bound);

private:
    bool readMore(Common::TimePoint until);

    int m_fd { -1 };
    std::string m_buf;
};

} // namespace HttpTest
