#pragma once

#include "Http/appendedbody.h"
#include "Http/httptypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <string>

namespace sesame {

//! Why an exchange on a client connection ended without a complete answer.
enum class ExchangeFailure {
    Closed, //!< The connection ended or was reset before the end of the answer.
    Malformed //!< The bytes received are no HTTP answer.
};

/*!
    Receives the answer to one request. Each function may close the connection.
*/
struct ResponseSink
{
    enum class Verdict { Take, Skip };

    //! Decides whether this answer belongs to the request; a skipped one is read and dropped.
    std::function<Verdict(const ResponseHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
    std::function<void(ExchangeFailure)> failed;
};

/*!
    A connection to one server that carries one request at a time and never sends a request
    again by itself.
*/
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    explicit ClientConnection(asio::io_context &context);
    ~ClientConnection() = default;
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    void connect(const Tcp::endpoint &address, std::chrono::milliseconds timeout,
                 std::function<void(const boost::system::error_code &)> connected);

    /*!
        Writes \a request and reports its answer to \a sink. \a isHead tells that the answer has
        no body.
    */
    void send(std::string request, bool isHead, ResponseSink sink);

    /*!
        Stops or resumes reading, for an answer that is received faster than it is passed on.
    */
    void setPaused(bool paused);

    /*!
        Closes the connection; the sink is not called again.
    */
    void close();

    /*!
        Returns whether another request may be sent at \a now: the last answer was complete, the
        server keeps the connection open that long, and nothing unexpected has arrived.
    */
    bool isReusable(Clock::time_point now) const;

    /*!
        Returns whether the request of the last send() was written completely.
    */
    bool isRequestWritten() const { return m_requestWritten; }

    /*!
        Sets the function that is called when the server closes the idle connection.
    */
    void setIdleClosedHandler(std::function<void()> handler)
    {
        m_idleClosedHandler = std::move(handler);
    }

    Clock::time_point idleSince() const { return m_idleSince; }

private:
    using Parser = beast::http::response_parser<AppendedBody>;

    void readMore();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void parseInput();
    bool processHead();
    void forwardBody();
    void finishResponse();
    void onPeerClosed(const boost::system::error_code &ec);
    void failExchange(ExchangeFailure failure);
    void applySocketOptions();
    void updateServerIdleTimeout();

    asio::io_context &m_context;
    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    beast::flat_buffer m_input;
    std::optional<Parser> m_parser;
    std::shared_ptr<ResponseSink>
            m_sink; //!< Shared, because a call into it may close the connection.
    std::string m_output;
    bool m_exchanging = false;
    bool m_isHead = false;
    bool m_headProcessed = false;
    bool m_skipping = false;
    bool m_requestWritten = false;
    bool m_reading = false;
    bool m_paused = false;
    bool m_open = false;
    bool m_keptAlive = false;
    std::chrono::milliseconds m_serverIdleTimeout;
    Clock::time_point m_idleSince;
    std::function<void()> m_idleClosedHandler;
};

} // namespace sesame
