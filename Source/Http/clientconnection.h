#pragma once

#include "Http/appendedbody.h"
#include "Http/httptypes.h"
#include "Http/messageparser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <string>

namespace sesame {

//! Reason why an exchange on a client connection ended without a complete response.
enum class ExchangeFailure {
    Closed, //!< The connection was closed or reset before the end of the response.
    Malformed, //!< The received bytes are not a valid HTTP response.
    Oversized //!< Bytes that belong to no body exceed their limit, so they may have no end.
};

/*!
    Returns the text that describes \a failure in logs.
*/
std::string_view describe(ExchangeFailure failure);

/*!
    Callbacks that receive the response to one request. Each of them may close the connection.
*/
struct ResponseSink
{
    enum class Verdict { Take, Skip };

    //! Called with the response header; informational (1xx) responses are skipped without a call.
    //! Returns Verdict::Take if the response belongs to the request. A skipped response is read and
    //! discarded, and the next response on the connection is examined.
    std::function<Verdict(const ResponseHead &)> head;
    std::function<void(std::string_view)> body; //!< Called with each received part of the body.
    std::function<void()> done; //!< Called once when the response is complete.
    std::function<void(ExchangeFailure)> failed; //!< Called once instead of done after a failure.
};

/*!
    An HTTP/1.1 connection to one server that carries one request at a time. It never repeats a
    request by itself.
*/
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    explicit ClientConnection(asio::io_context &context);
    ~ClientConnection() = default;
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /*!
        Connects to \a address and calls \a connected once with the result. If the connection is not
        established within \a timeout, the error is asio::error::timed_out.
    */
    void connect(const Tcp::endpoint &address, std::chrono::milliseconds timeout,
                 std::function<void(const boost::system::error_code &)> connected);

    /*!
        Writes the serialized \a request and reports its response to \a sink. \a isHead is true for
        a HEAD request, whose response has no body.
    */
    void send(std::string request, bool isHead, ResponseSink sink)
    {
        send(std::move(request), nullptr, isHead, std::move(sink));
    }

    /*!
        \overload
        Writes \a head and then \a body, which may be null. The body is not copied, because large
        bodies would use twice their memory.
    */
    void send(std::string head, std::shared_ptr<const std::string> body, bool isHead,
              ResponseSink sink);

    /*!
        Stops or resumes reading. The caller stops it for flow control if a response arrives faster
        than it can be forwarded.
    */
    void setPaused(bool paused);

    /*!
        Closes the connection. The sink is not called again.
    */
    void close();

    /*!
        Returns whether another request may be sent at time \a now. This requires that the last
        response was complete, that the server's idle timeout does not end soon, and that no
        unexpected bytes have arrived.
    */
    bool isReusable(Clock::time_point now) const;

    /*!
        Returns whether the request of the last send() has been written completely.
    */
    bool isRequestWritten() const { return m_writeState == WriteState::Complete; }

    /*!
        Sets the function that is called when the connection closes while no request is pending,
        either because the server closed it or because the server sent unexpected bytes.
    */
    void setIdleClosedHandler(std::function<void()> handler)
    {
        m_idleClosedHandler = std::move(handler);
    }

    /*!
        Returns the time at which the last response was complete.
    */
    Clock::time_point idleSince() const { return m_idleSince; }

private:
    using Parser = beast::http::response_parser<AppendedBody>;
    enum class WriteState { Pending, Complete, Failed };

    void readMore();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void parseInput();
    void createParser();
    bool processHead();
    void forwardBody();
    void finishResponse();
    bool wasResetDuringWrite();
    void onPeerClosed(const boost::system::error_code &ec);
    void failExchange(ExchangeFailure failure);
    void applySocketOptions();
    void updateServerIdleTimeout();

    asio::io_context &m_context;
    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    beast::flat_buffer m_input;
    std::optional<MessageParser<Parser>> m_parser;
    //! Shared, so that a callback stays valid while it closes the connection.
    std::shared_ptr<ResponseSink> m_sink;
    std::string m_output;
    std::shared_ptr<const std::string> m_outputBody; //!< Written after m_output; may be null.
    bool m_exchanging = false;
    bool m_isHead = false;
    bool m_headProcessed = false;
    bool m_skipping = false;
    std::size_t m_skippedBytes = 0; //!< Bytes of skipped responses in the current exchange.
    WriteState m_writeState = WriteState::Pending;
    bool m_reading = false;
    bool m_paused = false;
    bool m_open = false;
    bool m_keptAlive = false;
    std::chrono::milliseconds m_serverIdleTimeout;
    Clock::time_point m_idleSince;
    std::function<void()> m_idleClosedHandler;
};

} // namespace sesame
