#pragma once

#include "Http/Loops.h"
#include "Http/Server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>

// Private to this library.
namespace Http {

class ServerConnection;

// What the connections of one server share.
struct ServerState {
    Handler handler;
    std::atomic<bool> closing { false };

    // Calls the handler, unless the server has been closed.
    void handle(Request, Responder);
    // Returns once no handler runs; none is called from then on.
    void close();
    CallerLimits limitsNow() const;
    void setLimits(const CallerLimits&);
    void requestBegun();
    void requestEnded();
    size_t inFlight() const;
    size_t waitUntilIdle(Common::Milliseconds bound);
    void add(const std::shared_ptr<ServerConnection>&);
    void remove(const std::shared_ptr<ServerConnection>&);
    std::set<std::shared_ptr<ServerConnection>> connections() const;

private:
    std::shared_mutex m_handling; // Held shared while a handler runs.
    bool m_closed { false }; // Under m_handling.
    mutable std::mutex m_mutex; // Guards what follows.
    std::condition_variable m_idle;
    CallerLimits m_limits;
    size_t m_inFlight { 0 };
    std::set<std::shared_ptr<ServerConnection>> m_connections;
};

// One caller's connection. Lives on one loop's thread; only close(), closeIfIdle() and a Responder come from others.
class ServerConnection : public Caller, public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(boost::asio::ip::tcp::socket, std::shared_ptr<ServerState>);

    void start();
    void close();
    void closeIfIdle();
    void onDisconnect(std::function<void()> fn) override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void newParser();
    void read();
    void arrived(const boost::system::error_code&, size_t bytes);
    void parse();
    void parserFailed(const boost::system::error_code&);
    void headArrived();
    void dispatch();
    void refuse(int status, const char* message);
    void answer(const Response&);
    void write(const Response&, bool close);
    void written(bool close);
    void linger();
    void callerGone();
    void shut();
    void setDeadline(Common::Milliseconds);
    void waitForDeadline();
    void deadlineOver();

    enum class State {
        Reading, // No request, or a part of one.
        Answering, // The handler has it.
        Writing,
        Lingering, // What still arrives is thrown away, so that the caller's system does not drop the answer.
        Closed,
    };

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ServerState> m_server;
    CallerLimits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    State m_state { State::Reading };
    bool m_isReading { false };
    bool m_gone { false };
    bool m_headDone { false };
    bool m_isHead { false }; // The request under way is a HEAD.
    bool m_keepAlive { true }; // Of the request under way.
    std::string m_out;
    Common::TimePoint m_deadline;
    std::optional<Common::TimePoint> m_timerAt;

    std::mutex m_goneMutex; // Guards what follows.
    bool m_goneNoted { false };
    std::vector<std::function<void()>> m_onGone;
};

} // namespace Http
