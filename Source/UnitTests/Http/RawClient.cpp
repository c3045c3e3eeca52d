#include "Http/RawClient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

using Common::Clock;
using Common::Milliseconds;

namespace HttpTest {

namespace {

    constexpr size_t readSize = 4'096;
    const std::string lengthHeader = "Content-Length: ";

    sockaddr_in toSocketAddress(const std::string& address)
    {
        auto colon = address.find(':');
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<uint16_t>(std::stoul(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
        return out;
    }

    size_t bodyLength(const std::string& head)
    {
        auto at = head.find(lengthHeader);
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + lengthHeader.size()));
    }

} // namespace

RawClient::RawClient(const Common::Address& address)
    : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto to = toSocketAddress(address.value());
    if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&to), sizeof to))
        perror("connect to the server under test");
}

RawClient::~RawClient() { ::close(m_fd); }

bool RawClient::send(const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

void RawClient::finishSending() { ::shutdown(m_fd, SHUT_WR); }

// Returns false at the end of the stream, on an error or on a timeout.
bool RawClient::readMore(Common::TimePoint until)
{
    auto left = (until - Clock::now()).value();
    pollfd waiting { m_fd, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left) + 1) <= 0)
        return false;
    char bytes[readSize];
    ssize_t n = ::read(m_fd, bytes, sizeof bytes);
    if (n <= 0)
        return false;
    m_buf.append(bytes, static_cast<size_t>(n));
    return true;
}

std::string RawClient::readAnswer(Milliseconds bound)
{
    auto until = Clock::now() + bound;
    for (;;) {
        auto end = m_buf.find("\r\n\r\n");
        if (end != std::string::npos) {
            std::string head = m_buf.substr(0, end);
            size_t length = bodyLength(head);
            if (m_buf.size() >= end + 4 + length) {
                std::string answer = head.substr(0, head.find("\r\n")) + " " + m_buf.substr(end + 4, length);
                m_buf.erase(0, end + 4 + length);
                return answer;
            }
        }
        if (!readMore(until))
            return {};
    }
}

bool RawClient::isClosed(Milliseconds bound)
{
    auto until = Clock::now() + bound;
    while (readMore(until))
        m_buf.clear();
    return Clock::now() < until;
}

} // namespace HttpTest
