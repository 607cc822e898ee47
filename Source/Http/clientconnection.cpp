#include "Http/clientconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <charconv>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t readChunkBytes = 16384;
constexpr std::uint32_t responseHeaderLimitBytes = 65536;
//! Bytes of informational responses, and of responses to other requests, that may come before the
//! awaited response.
constexpr std::size_t maxSkippedBytes = 1U << 20U;
//! Idle timeout that is assumed for a server that sends no Keep-Alive field with a timeout.
constexpr auto defaultServerIdleTimeout = 4000ms;
//! A persistent connection is not reused when less than this is left of the server's idle timeout.
//! Otherwise the server could close the connection while a request is on its way, and it would be
//! unknown whether that request was run.
constexpr auto idleSafetyMargin = 800ms;
//! Value of TCP_USER_TIMEOUT: if sent data stays unacknowledged for this long, the network path or
//! the server is considered to have failed and the connection is closed.
constexpr int tcpUserTimeoutMs = 3000;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

/*!
    Returns whether HTTP defines the class of \a status (RFC 9110, section 15).
*/
bool isValidStatus(unsigned status)
{
    constexpr unsigned firstStatus = 100;
    constexpr unsigned lastStatus = 599;
    return status >= firstStatus && status <= lastStatus;
}

bool isSizeLimit(const boost::system::error_code &ec)
{
    return ec == beast::http::error::header_limit || ec == beast::http::error::buffer_overflow;
}

} // namespace

std::string_view describe(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::Closed:
        return "connection closed";
    case ExchangeFailure::Malformed:
        return "malformed answer";
    case ExchangeFailure::Oversized:
        return "bytes without end outside of a body";
    }
    return "unknown failure";
}

ClientConnection::ClientConnection(asio::io_context &context)
    : m_context(context), m_socket(context), m_timer(context),
      m_serverIdleTimeout(defaultServerIdleTimeout)
{
}

void ClientConnection::connect(const Tcp::endpoint &address, std::chrono::milliseconds timeout,
                               std::function<void(const boost::system::error_code &)> connected)
{
    boost::system::error_code ec;
    m_socket.open(address.protocol(), ec);
    if (ec) {
        asio::post(m_context, [connected = std::move(connected), ec] {
            connected(ec);
        });
        return;
    }
    applySocketOptions();
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &waitError) {
        const auto self = weak.lock();
        // The error is ignored because the pending connect operation reports the closed socket.
        boost::system::error_code ignored;
        if (!waitError && self && !self->m_open)
            self->m_socket.close(ignored);
    });
    m_socket.async_connect(address,
                           [self = shared_from_this(), connected = std::move(connected)](
                                   const boost::system::error_code &connectError) {
                               self->m_timer.cancel();
                               self->m_open = !connectError && self->m_socket.is_open();
                               connected(self->m_open || connectError
                                                 ? connectError
                                                 : make_error_code(asio::error::timed_out));
                           });
}

void ClientConnection::applySocketOptions()
{
    // Errors are ignored: without TCP_NODELAY the latency is higher, and the other options only
    // shorten the time until a failed server is detected.
    boost::system::error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    m_socket.set_option(Tcp::socket::keep_alive(true), ignored);
    const auto set = [this](int name, int value) {
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value));
    };
    set(TCP_USER_TIMEOUT, tcpUserTimeoutMs);
    set(TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(TCP_KEEPCNT, keepAliveProbes);
}

void ClientConnection::send(std::string head, std::shared_ptr<const std::string> body, bool isHead,
                            ResponseSink sink)
{
    m_sink = std::make_shared<ResponseSink>(std::move(sink));
    m_output = std::move(head);
    m_outputBody = std::move(body);
    m_isHead = isHead;
    m_exchanging = true;
    m_writeState = WriteState::Pending;
    m_keptAlive = false;
    m_skipping = false;
    m_skippedBytes = 0;
    m_parser.reset();
    const std::array<asio::const_buffer, 2> buffers {asio::buffer(m_output),
                                                     m_outputBody ? asio::buffer(*m_outputBody)
                                                                  : asio::const_buffer()};
    asio::async_write(
            m_socket, buffers,
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t /*n*/) {
                // The read that is pending during the whole exchange reports the end of the
                // connection too.
                self->m_writeState = ec ? WriteState::Failed : WriteState::Complete;
                self->m_output.clear();
                self->m_outputBody.reset();
            });
    readMore();
}

void ClientConnection::setPaused(bool paused)
{
    m_paused = paused;
    if (!paused)
        readMore();
}

void ClientConnection::readMore()
{
    if (m_reading || m_paused || !m_open)
        return;
    m_reading = true;
    m_socket.async_read_some(
            m_input.prepare(readChunkBytes),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                self->onRead(ec, n);
            });
}

void ClientConnection::onRead(const boost::system::error_code &ec, std::size_t n)
{
    m_reading = false;
    if (!m_open)
        return;
    if (ec) {
        onPeerClosed(ec);
        return;
    }
    m_input.commit(n);
    if (!m_exchanging) {
        // The server sent bytes although no request is pending, so the connection is unusable.
        close();
        if (m_idleClosedHandler)
            m_idleClosedHandler();
        return;
    }
    parseInput();
    readMore();
}

void ClientConnection::parseInput()
{
    while (m_open && m_exchanging && m_input.size() > 0) {
        if (!m_parser)
            createParser();
        boost::system::error_code ec;
        const std::size_t n = m_parser->put(m_input.data(), ec);
        m_input.consume(n);
        if (ec && ec != beast::http::error::need_more) {
            failExchange(isSizeLimit(ec) ? ExchangeFailure::Oversized : ExchangeFailure::Malformed);
            return;
        }
        if ((*m_parser)->is_header_done() && !processHead())
            return;
        if (m_skipping)
            m_skippedBytes += n;
        if (m_skippedBytes > maxSkippedBytes) {
            failExchange(ExchangeFailure::Oversized);
            return;
        }
        forwardBody();
        if (!m_open || !m_exchanging)
            return;
        if ((*m_parser)->is_done())
            finishResponse();
        else if (ec == beast::http::error::need_more || n == 0)
            return;
    }
}

void ClientConnection::createParser()
{
    Parser &parser = *m_parser.emplace();
    parser.eager(true);
    parser.header_limit(responseHeaderLimitBytes);
    parser.body_limit(boost::none);
    parser.skip(m_isHead);
    m_headProcessed = false;
}

/*!
    Passes the response header to the sink the first time it is complete; later calls do nothing.
    Returns false if the exchange has ended, for example because the sink closed the connection.
*/
bool ClientConnection::processHead()
{
    if (m_headProcessed)
        return true;
    m_headProcessed = true;
    const ResponseHead &head = (*m_parser)->get();
    if (!isValidStatus(head.result_int()) || hasUnsupportedTransferCoding(head)) {
        failExchange(ExchangeFailure::Malformed);
        return false;
    }
    constexpr unsigned informational = 1;
    const std::shared_ptr<ResponseSink> sink = m_sink;
    m_skipping = head.result_int() / 100 == informational
            || sink->head(head) == ResponseSink::Verdict::Skip;
    return m_open && m_exchanging;
}

void ClientConnection::forwardBody()
{
    std::string &body = (*m_parser)->get().body();
    if (!(*m_parser)->is_header_done() || body.empty())
        return;
    const std::string piece = std::exchange(body, {});
    const std::shared_ptr<ResponseSink> sink = m_sink;
    if (!m_skipping)
        sink->body(piece);
}

void ClientConnection::finishResponse()
{
    if (m_skipping) {
        m_parser.reset();
        return;
    }
    m_keptAlive = (*m_parser)->keep_alive() && !(*m_parser)->need_eof() && isRequestWritten()
            && m_input.size() == 0;
    updateServerIdleTimeout();
    m_exchanging = false;
    m_paused = false;
    m_idleSince = Clock::now();
    const std::shared_ptr<ResponseSink> sink = std::exchange(m_sink, {});
    m_parser.reset();
    sink->done();
}

void ClientConnection::updateServerIdleTimeout()
{
    constexpr std::string_view key = "timeout=";
    const std::string_view value = fieldValue((*m_parser)->get(), "Keep-Alive");
    const std::size_t at = value.find(key);
    if (at == std::string_view::npos)
        return;
    int seconds = 0;
    const char *begin = value.data() + at + key.size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec == std::errc())
        m_serverIdleTimeout = std::chrono::seconds(seconds);
}

/*!
    Returns whether the connection was reset while the request was being written. The kernel reports
    a reset to one operation only: if that is the write, the following read reports an orderly end.
*/
bool ClientConnection::wasResetDuringWrite()
{
    if (m_writeState != WriteState::Pending)
        return m_writeState == WriteState::Failed;
    // The write may have failed without its handler having run yet. After an orderly end of the
    // response, the connection can still be written to, and poll() reports no event.
    pollfd entry {.fd = m_socket.native_handle(), .events = 0, .revents = 0};
    return ::poll(&entry, 1, 0) != 0;
}

void ClientConnection::onPeerClosed(const boost::system::error_code &ec)
{
    if (!m_exchanging) {
        close();
        if (m_idleClosedHandler)
            m_idleClosedHandler();
        return;
    }
    // A response without a length is delimited by the end of the connection. Only an orderly close
    // counts as that end; after a reset, the response may be truncated.
    if (ec == asio::error::eof && !wasResetDuringWrite() && m_parser
        && (*m_parser)->is_header_done() && (*m_parser)->need_eof() && !m_skipping) {
        boost::system::error_code putError;
        (*m_parser)->put_eof(putError);
        if (!putError && (*m_parser)->is_done()) {
            finishResponse();
            close();
            return;
        }
    }
    failExchange(ExchangeFailure::Closed);
}

void ClientConnection::failExchange(ExchangeFailure failure)
{
    const std::shared_ptr<ResponseSink> sink = std::exchange(m_sink, {});
    close();
    if (sink)
        sink->failed(failure);
}

void ClientConnection::close()
{
    m_open = false;
    m_exchanging = false;
    m_keptAlive = false;
    m_sink.reset();
    m_timer.cancel();
    boost::system::error_code ignored; // The socket is not used again.
    m_socket.close(ignored);
}

bool ClientConnection::isReusable(Clock::time_point now) const
{
    return m_open && m_keptAlive && !m_exchanging
            && now - m_idleSince + idleSafetyMargin < m_serverIdleTimeout;
}

} // namespace sesame
