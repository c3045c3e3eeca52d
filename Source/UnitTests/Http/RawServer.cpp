#include "Http/RawServer.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace HttpTest {

namespace {

    constexpr size_t readSize = 4'096;
    constexpr std::chrono::milliseconds laterTime { 50 };

    // Content-Length of the request, or 0.
    size_t bodyLength(const std::string& head)
    {
        auto at = head.find("Content-Length: ");
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
    }

    // Removes one request from the buffer, reading more as needed. Returns its header, or "" at the end of the stream.
    std::string readRequest(int fd, std::string& buf, RawServer::Answer answer)
    {
        char bytes[readSize];
        for (;;) {
            auto end = buf.find("\r\n\r\n");
            if (end != std::string::npos && answer == RawServer::Answer::AtHead)
                return buf.substr(0, end);
            if (end != std::string::npos && buf.size() >= end + 4 + bodyLength(buf.substr(0, end))) {
                std::string head = buf.substr(0, end);
                buf.erase(0, end + 4 + bodyLength(head));
                return head;
            }
            ssize_t n = ::read(fd, bytes, sizeof bytes);
            if (n <= 0)
                return {};
            buf.append(bytes, static_cast<size_t>(n));
        }
    }

} // namespace

std::string okReply(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

RawServer::RawServer(Script script, Answer answer)
    : m_script(std::move(script))
    , m_answer(answer)
{
    m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(::listen(m_listener, 64), 0);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

RawServer::~RawServer()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        std::lock_guard lock(m_mutex);
        m_isEnding = true;
        for (int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
    }
    m_ending.notify_all();
    for (auto& thread : m_threads)
        thread.join();
}

Common::Address RawServer::address() const { return Common::Address("127.0.0.1:" + std::to_string(m_port)); }

int RawServer::count(const std::string& start) const
{
    std::lock_guard lock(m_mutex);
    auto matches = [&](const std::string& head) { return head.rfind(start, 0) == 0; };
    return static_cast<int>(std::count_if(m_heads.begin(), m_heads.end(), matches));
}

size_t RawServer::openConnections() const
{
    std::lock_guard lock(m_mutex);
    return m_open.size();
}

void RawServer::accept()
{
    for (;;) {
        int fd = ::accept(m_listener, nullptr, nullptr);
        if (fd < 0)
            return;
        int connection = m_connections++;
        std::lock_guard lock(m_mutex);
        m_open.push_back(fd);
        m_threads.emplace_back([this, fd, connection] { serve(fd, connection); });
    }
}

void RawServer::serve(int fd, int connection)
{
    std::string buf;
    for (int request = 0;; ++request) {
        std::string head = readRequest(fd, buf, m_answer);
        if (head.empty())
            break;
        {
            std::lock_guard lock(m_mutex);
            m_heads.push_back(head);
        }
        Reply reply = m_script(connection, request, head);
        if (!reply.bytes.empty() && ::write(fd, reply.bytes.data(), reply.bytes.size()) < 0)
            break;
        if (!reply.later.empty()) {
            std::this_thread::sleep_for(laterTime);
            if (::write(fd, reply.later.data(), reply.later.size()) < 0)
                break;
        }
        while (!reply.endless.empty()) {
            if (::send(fd, reply.endless.data(), reply.endless.size(), MSG_NOSIGNAL) < 0)
                reply = { "", After::Close, "", "" };
        }
        if (reply.after == After::Close)
            break;
        if (m_answer == Answer::AtHead) {
            std::unique_lock lock(m_mutex);
            m_ending.wait(lock, [this] { return m_isEnding; });
            break;
        }
    }
    std::lock_guard lock(m_mutex);
    m_open.erase(std::remove(m_open.begin(), m_open.end(), fd), m_open.end());
    ::shutdown(fd, SHUT_RDWR);
    ::close(fd);
}

} // namespace HttpTest
