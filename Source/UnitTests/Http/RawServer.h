#pragma once

#include "Common/Ids.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace HttpTest {

// A TCP server on a port that the kernel gives, with a thread for each connection. It reads whole requests and leaves
// what to do to the test.
class RawServer {
public:
    enum class After {
        KeepOpen,
        Close,
        Silence, // Keeps the connection open and answers nothing more on it.
    };
    struct Reply {
        std::string bytes;
        After after { After::KeepOpen };
        std::string later; // Sent 50 ms after the rest.
    };
    // connection counts connections from 0, request the requests on it from 0.
    using Script = std::function<Reply(int connection, int request, const std::string& head)>;

    // When a request is answered.
    enum class Answer {
        AtEnd,
        AtHead, // Its body is never read, and no further request on the connection.
    };

    explicit RawServer(Script, Answer = Answer::AtEnd);
    ~RawServer();

    Common::Address address() const;
    // Heads of all requests so far that begin with the text.
    int count(const std::string& start) const;
    int connections() const { return m_connections; }

private:
    void accept();
    void serve(int fd, int connection);

    Script m_script;
    const Answer m_answer;
    int m_listener { -1 };
    int m_port { 0 };
    std::atomic<int> m_connections { 0 };
    mutable std::mutex m_mutex; // Guards what follows.
    std::vector<std::string> m_heads;
    std::vector<int> m_open;
    bool m_isEnding { false };
    std::condition_variable m_ending;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// A 200 answer with a JSON body.
std::string okReply(const std::string& body = "{}");

} // namespace HttpTest
