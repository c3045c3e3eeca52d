#pragma once

#include "Http/BufferBudget.h"
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

// Internal to this library.
namespace Http {

class ServerConnection;

// State shared by the connections of one server.
struct ServerState {
    Handler handler;
    std::atomic<bool> closing { false };

    // Calls the handler unless the server has been closed.
    void handle(Request, Responder);
    // Blocks until no handler is running; none is called afterwards.
    void close();
    CallerLimits limits() const;
    void setLimits(const CallerLimits&);
    void requestStarted();
    void requestFinished();
    size_t inFlight() const;
    size_t waitUntilIdle(Common::Milliseconds bound);
    void add(const std::shared_ptr<ServerConnection>&);
    void remove(const std::shared_ptr<ServerConnection>&);
    std::set<std::shared_ptr<ServerConnection>> connections() const;

private:
    std::shared_mutex m_handlerMutex; // Held shared while a handler runs.
    bool m_closed { false }; // Guarded by m_handlerMutex.
    mutable std::mutex m_mutex; // Guards the members below.
    std::condition_variable m_idle;
    CallerLimits m_limits;
    size_t m_inFlight { 0 };
    std::set<std::shared_ptr<ServerConnection>> m_connections;
};

// One caller's connection. Runs on one event loop thread; only close(), closeIfIdle(), endRequest(), onDisconnect(),
// checkOpen() and a Responder may be called from other threads.
class ServerConnection : public Caller, public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(boost::asio::ip::tcp::socket, std::shared_ptr<ServerState>);

    void start();
    void close();
    void closeIfIdle();
    void endRequest();
    void onDisconnect(std::function<void()> fn) override;
    void checkOpen(const std::function<void(bool isOpen)>& fn) override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void resetParser();
    void read();
    void onRead(const boost::system::error_code&, size_t bytes);
    void parse();
    void onParseError(const boost::system::error_code&);
    void onHeaderComplete();
    void dispatch();
    void sendError(int status, const char* message, const char* reason = "invalid-input");
    void respond(uint64_t turn, const Response&, BufferReservation);
    void write(const Response&, bool close);
    void onWritten(bool close);
    void linger();
    void handleDisconnect();
    void closeNow();
    void setDeadline(Common::Milliseconds);
    void armTimer();
    void onDeadline();

    enum class State {
        Reading, // Idle, or part of a request has arrived.
        Handling, // The handler is preparing the answer.
        Writing,
        Lingering, // Discards further input. Closing with unread input sends an RST, which can discard the answer.
        Closed,
    };

    boost::asio::ip::tcp::socket m_socket;
    std::string m_address; // Of the peer, without the port.
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ServerState> m_server;
    CallerLimits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    BufferReservation m_requestBytes; // Until the current request is answered.
    BufferReservation m_answerBytes; // From the handler's answer until it is written.
    State m_state { State::Reading };
    bool m_answered { false }; // The current request has received its answer from the handler.
    uint64_t m_turn { 0 }; // Counts the requests of this connection.
    bool m_isReading { false };
    bool m_disconnected { false };
    bool m_headerDone { false };
    bool m_isHead { false }; // The current request is a HEAD.
    bool m_keepAlive { true }; // Of the current request.
    std::string m_outgoing;
    Common::TimePoint m_deadline;
    std::optional<Common::TimePoint> m_timerExpiry;

    std::mutex m_disconnectMutex; // Guards the members below.
    bool m_disconnectReported { false };
    std::vector<std::function<void()>> m_disconnectHandlers;
};

} // namespace Http
