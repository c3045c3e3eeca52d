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

// A scripted TCP server on an ephemeral port, with one thread per connection. Reads requests and sends the bytes that
// the test returns for each.
class RawServer {
public:
    enum class After {
        KeepOpen,
        Close,
        Silence, // Keeps the connection open but sends nothing more on it.
    };
    struct Reply {
        std::string bytes;
        After after { After::KeepOpen };
        std::string later; // Sent 50 ms after bytes.
        std::string endless; // Sent after that, again and again, until the client closes the connection.
    };
    // connection and request count from 0, request within its connection.
    using Script = std::function<Reply(int connection, int request, const std::string& head)>;

    // When the script is called for a request.
    enum class Answer {
        AtEnd,
        AtHead, // After the header. Reads neither the body nor further requests on the connection.
    };

    explicit RawServer(Script, Answer = Answer::AtEnd);
    ~RawServer();

    Common::Address address() const;
    // Number of requests so far whose header begins with the text.
    int count(const std::string& start) const;
    int connections() const { return m_connections; }
    // Number of connections that are open now.
    size_t openConnections() const;

private:
    void accept();
    void serve(int fd, int connection);

    Script m_script;
    const Answer m_answer;
    int m_listener { -1 };
    int m_port { 0 };
    std::atomic<int> m_connections { 0 };
    mutable std::mutex m_mutex; // Guards the members below.
    std::vector<std::string> m_heads;
    std::vector<int> m_open;
    bool m_isEnding { false };
    std::condition_variable m_ending;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// Returns a 200 response with a JSON body.
std::string okReply(const std::string& body = "{}");

} // namespace HttpTest
