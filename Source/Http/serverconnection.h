#pragma once

#include "Http/httptypes.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstddef>

namespace sesame {

/*!
    What a client may send and how long it may take. Shared by all connections of a listener and
    changed at once by a new configuration.
*/
struct ClientLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout {3000};
    std::chrono::milliseconds idleTimeout {15000};
};

class ServerConnection;
using RequestHandler
        = std::function<void(const std::shared_ptr<ServerConnection> &, RequestMessage &&)>;

/*!
    State that a listener shares with its connections.
*/
struct ListenerState
{
    ClientLimits limits;
    RequestHandler handler;
    bool closing = false; //!< Each answer carries "Connection: close".
    std::size_t connections = 0;
    std::size_t openRequests = 0;
};

/*!
    One accepted connection: reads one request at a time, passes it to the handler and writes the
    answer. Keeps reading while a request is open, so that a client's close is noticed at once.
*/
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Tcp::socket socket, std::shared_ptr<ListenerState> state);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();

    /*!
        Sets the function that is called once if the client closes its connection while the
        request is open.
    */
    void setClosedHandler(std::function<void()> handler) { m_closedHandler = std::move(handler); }

    /*!
        Sets the function that is called each time all queued output has been written.
    */
    void setDrainedHandler(std::function<void()> handler) { m_drainedHandler = std::move(handler); }

    void sendResponse(unsigned status, const HttpFields &fields, std::string_view body);

    /*!
        Begins an answer of unknown length; sendChunk() and endStream() follow.
    */
    void beginStream(unsigned status, const HttpFields &fields);
    void sendChunk(std::string_view piece);
    void endStream();

    /*!
        Closes the connection, so that an unfinished answer does not look complete.
    */
    void abort();

    /*!
        Closes the connection if no request is open on it; otherwise it closes after the answer.
    */
    void closeWhenIdle();

    std::size_t pendingBytes() const { return m_queued.size() + m_writing.size(); }

private:
    enum class Phase { Idle, Head, Body, Handling, Lingering, Closed };
    using Parser = beast::http::request_parser<beast::http::string_body>;

    void readMore();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void parseInput();
    void rejectInput(const boost::system::error_code &ec);
    void dispatch();
    void appendHead(unsigned status, const HttpFields &fields);
    void finishResponse();
    void flush();
    void onWritten(const boost::system::error_code &ec);
    void enterPhase(Phase phase);
    void onTimeout();
    void onClientDisconnected();
    void closeNow();
    bool isRequestOpen() const { return m_phase == Phase::Handling; }

    Tcp::socket m_socket;
    std::shared_ptr<ListenerState> m_state;
    asio::steady_timer m_timer;
    beast::flat_buffer m_input;
    std::optional<Parser> m_parser;
    Phase m_phase = Phase::Idle;
    bool m_reading = false;
    bool m_responseComplete = false;
    bool m_closeAfterResponse = false;
    bool m_isHead = false; //!< The request's method is HEAD: the answer has no body.
    std::string m_writing;
    std::string m_queued;
    std::function<void()> m_closedHandler;
    std::function<void()> m_drainedHandler;
};

} // namespace sesame
