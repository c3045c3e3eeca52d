#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <string>

namespace HttpTest {

// A TCP connection on which a test writes raw bytes.
class RawClient {
public:
    explicit RawClient(const Common::Address&);
    ~RawClient();
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    // Returns false if the connection is closed.
    bool send(const std::string& bytes);
    // Half-closes the connection; answers can still be read.
    void finishSending();
    // Reads one answer. Returns its status line and body separated by a space, or "" if it is incomplete by the bound.
    std::string readAnswer(Common::Milliseconds bound);
    // Whether the peer closes within the bound. Discards the data before it.
    bool isClosed(Common::Milliseconds bound);

private:
    bool readMore(Common::TimePoint until);

    int m_fd { -1 };
    std::string m_buf;
};

} // namespace HttpTest
