#include "Http/serverconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <cstdio>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t readChunkBytes = 65536;
//! Upper bound for input that is buffered while a request is in progress. If it is exceeded, the
//! input is discarded and the connection is closed after the response. If reading paused instead,
//! the bytes would wait in the kernel, where they count against the memory of the machine too.
constexpr std::size_t maxBufferedInputBytes = 65536;
//! Buffers for output that are larger than this are freed when they are written.
constexpr std::size_t maxKeptOutputBytes = 16384;
//! What an open connection holds without any bytes of a request: the objects in this process.
constexpr std::size_t connectionBytes = 2048;
//! What a head holds in the parser, as a multiple of its bytes.
constexpr std::size_t headBytesFactor = 2;
//! Time after which a client may repeat a request that was cut because memory was short.
constexpr const char *retryAfterCut = "1";
//! How long the connection stays half-closed (no more output, input is discarded) after its last
//! response. If it were closed at once while input is unread, the kernel would reset the
//! connection, and the client could lose the response.
constexpr auto lingerTimeout = 1000ms;

constexpr unsigned badRequest = 400;
constexpr unsigned requestTimeout = 408;
constexpr unsigned contentTooLarge = 413;
constexpr unsigned headerTooLarge = 431;
constexpr unsigned internalError = 500;
constexpr unsigned unavailable = 503;
constexpr std::string_view noMemoryText = "no memory for this request";

} // namespace

ServerConnection::ServerConnection(Tcp::socket socket, std::shared_ptr<ListenerState> state)
    : m_socket(std::move(socket)), m_state(std::move(state)), m_timer(m_socket.get_executor())
{
    ++m_state->connections;
}

ServerConnection::~ServerConnection()
{
    --m_state->connections;
    if (m_state->memory)
        m_state->memory->remove(m_holder);
}

void ServerConnection::start()
{
    boost::system::error_code ignored; // The option affects only the latency.
    m_socket.set_option(Tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_progressAt = Clock::now();
    if (m_state->memory)
        m_holder = m_state->memory->add(weak_from_this());
    enterPhase(Phase::Idle);
    updateCharge();
    readMore();
}

void ServerConnection::readMore()
{
    if (m_reading || m_phase == Phase::Closed)
        return;
    m_reading = true;
    m_socket.async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &ec) {
                            self->onReadable(ec);
                        });
}

void ServerConnection::onReadable(const boost::system::error_code &ec)
{
    m_reading = false;
    if (m_phase == Phase::Closed)
        return;
    std::vector<char> &buffer = m_state->readBuffer;
    buffer.resize(readChunkBytes);
    boost::system::error_code readError = ec;
    const std::size_t n = ec ? 0 : m_socket.read_some(asio::buffer(buffer), readError);
    if (readError == asio::error::would_block || readError == asio::error::interrupted) {
        readMore();
        return;
    }
    if (readError) {
        onClientDisconnected();
        return;
    }
    addInput({buffer.data(), n});
    updateCharge();
    readMore();
}

void ServerConnection::addInput(std::string_view bytes)
{
    if (m_phase == Phase::Lingering)
        return;
    if (isRequestOpen()
        && (m_discardsInput || m_input.size() + bytes.size() > maxBufferedInputBytes)) {
        m_discardsInput = true;
        m_closeAfterResponse = true;
        m_input.clear();
        m_input.shrink_to_fit();
        return;
    }
    m_progressAt = Clock::now();
    asio::buffer_copy(m_input.prepare(bytes.size()), asio::buffer(bytes));
    m_input.commit(bytes.size());
    if (!isRequestOpen())
        parseInput();
    if (m_input.size() == 0)
        m_input.shrink_to_fit();
}

void ServerConnection::parseInput()
{
    while (m_input.size() > 0 && m_phase != Phase::Closed) {
        if (!m_parser)
            createParser();
        boost::system::error_code ec;
        const std::size_t n = m_parser->put(m_input.data(), ec);
        m_input.consume(n);
        if (ec && ec != beast::http::error::need_more) {
            rejectInput(ec);
            return;
        }
        const bool hasHead = (*m_parser)->is_header_done();
        if (hasHead && hasUnsupportedTransferCoding((*m_parser)->get())) {
            reject(badRequest, "unsupported transfer coding");
            return;
        }
        if (hasHead && m_phase == Phase::Head && !(*m_parser)->is_done()) {
            m_headBytes = std::min(n, m_state->limits.headerBytes);
            enterPhase(Phase::Body);
            sendContinue();
        }
        if (ec == beast::http::error::need_more)
            return;
        if ((*m_parser)->is_done()) {
            dispatch();
            return;
        }
        if (n == 0)
            return;
    }
}

/*!
    Tells a client that waits for it to send the body of its request.
*/
void ServerConnection::sendContinue()
{
    const auto &head = (*m_parser)->get();
    if (head.version() < 11 || !beast::iequals(head[beast::http::field::expect], "100-continue"))
        return;
    m_queued.append("HTTP/1.1 100 Continue\r\n\r\n");
    flush();
}

void ServerConnection::createParser()
{
    Parser &parser = *m_parser.emplace();
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(m_state->limits.headerBytes));
    parser.body_limit(m_state->limits.bodyBytes);
    m_headBytes = 0;
    enterPhase(Phase::Head);
}

void ServerConnection::rejectInput(const boost::system::error_code &ec)
{
    unsigned status = badRequest;
    if (ec == beast::http::error::header_limit)
        status = headerTooLarge;
    else if (ec == beast::http::error::body_limit)
        status = contentTooLarge;
    reject(status, ec.message());
}

/*!
    Rejects the request that is being received, and closes the connection after the response: it is
    not known where the next request would begin.
*/
void ServerConnection::reject(unsigned status, std::string_view reason)
{
    if (m_state->rejectionHandler)
        m_state->rejectionHandler(status, reason);
    endInput(status, {}, reason);
}

/*!
    Answers the request that is being received, and closes the connection after the response.
*/
void ServerConnection::endInput(unsigned status, const HttpFields &fields, std::string_view reason)
{
    m_parser.reset();
    m_closeAfterResponse = true;
    m_discardsInput = true;
    m_isHead = false;
    m_responseComplete = false;
    enterPhase(Phase::Handling);
    ++m_state->openRequests;
    sendResponse(status, fields, std::string(reason) + "\n");
}

/*!
    Answers a request that is not handled because memory is short. The client may repeat it.
*/
void ServerConnection::refuseForMemory(CutReason reason)
{
    m_isCut = true;
    m_state->memory->recordCut(reason);
    HttpFields fields;
    fields.set("Retry-After", retryAfterCut);
    endInput(unavailable, fields, noMemoryText);
}

void ServerConnection::dispatch()
{
    auto message = (*m_parser)->release();
    m_parser.reset();
    RequestMessage request(std::move(message.base()), std::move(message.body()));
    m_hasServed = true;
    enterPhase(Phase::Handling);
    if (!setHandlerBytes(m_state->handlerBytes + m_state->bodyCopies * request.body().capacity())) {
        refuseForMemory(CutReason::NoRoom);
        return;
    }
    m_closeAfterResponse = !request.keep_alive();
    m_isHead = request.method() == beast::http::verb::head;
    m_responseComplete = false;
    ++m_state->openRequests;
    try {
        m_state->handler(shared_from_this(), std::move(request));
    } catch (const std::exception &error) {
        m_closeAfterResponse = true;
        if (m_state->rejectionHandler)
            m_state->rejectionHandler(internalError, error.what());
        sendResponse(internalError, {}, "internal error\n");
    }
}

void ServerConnection::appendHead(unsigned status, const HttpFields &fields)
{
    const beast::string_view reason = beast::http::obsolete_reason(
            static_cast<beast::http::status>(status));
    m_queued.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    m_queued.append(toStd(reason)).append("\r\n");
    for (const auto &field : fields) {
        m_queued.append(toStd(field.name_string())).append(": ");
        m_queued.append(toStd(field.value())).append("\r\n");
    }
    m_closeAfterResponse = m_closeAfterResponse || m_state->closing;
    if (m_closeAfterResponse)
        m_queued.append("Connection: close\r\n");
}

void ServerConnection::sendResponse(unsigned status, const HttpFields &fields,
                                    std::string_view body)
{
    if (!isRequestOpen() || m_responseComplete)
        return;
    constexpr std::size_t typicalHeadBytes = 1024;
    m_queued.reserve(m_queued.size() + typicalHeadBytes + body.size());
    appendHead(status, fields);
    m_queued.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    if (!m_isHead)
        m_queued.append(body);
    finishResponse();
}

void ServerConnection::beginStream(unsigned status, const HttpFields &fields)
{
    if (!isRequestOpen() || m_responseComplete)
        return;
    appendHead(status, fields);
    m_queued.append("Transfer-Encoding: chunked\r\n\r\n");
    flush();
}

void ServerConnection::sendChunk(std::string_view piece)
{
    if (!isRequestOpen() || m_responseComplete || piece.empty())
        return;
    char size[24];
    const int n = std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
    m_queued.append(size, static_cast<std::size_t>(n)).append(piece).append("\r\n");
    flush();
}

void ServerConnection::endStream()
{
    if (!isRequestOpen() || m_responseComplete)
        return;
    m_queued.append("0\r\n\r\n");
    finishResponse();
}

void ServerConnection::finishResponse()
{
    m_responseComplete = true;
    m_closedHandler = nullptr;
    m_drainedHandler = nullptr;
    m_handlerBytes = 0;
    flush();
}

void ServerConnection::flush()
{
    if (m_phase == Phase::Closed || !m_writing.empty() || m_queued.empty())
        return;
    m_writing.swap(m_queued);
    m_written = 0;
    m_progressAt = Clock::now();
    if (isRequestOpen())
        startWriteTimer();
    writeMore();
    updateCharge();
}

void ServerConnection::writeMore()
{
    m_socket.async_write_some(
            asio::buffer(m_writing) + m_written,
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                self->onWritten(ec, n);
            });
}

void ServerConnection::onWritten(const boost::system::error_code &ec, std::size_t n)
{
    m_written += n;
    m_sentBytes += n;
    m_progressAt = Clock::now();
    if (m_phase != Phase::Closed && !ec && m_written < m_writing.size()) {
        writeMore();
        updateCharge();
        return;
    }
    m_writing.clear();
    m_written = 0;
    if (m_writing.capacity() > maxKeptOutputBytes)
        m_writing.shrink_to_fit();
    if (m_phase == Phase::Closed)
        return;
    if (ec) {
        onClientDisconnected();
        return;
    }
    if (!m_queued.empty()) {
        flush();
        return;
    }
    onOutputWritten();
    updateCharge();
}

void ServerConnection::onOutputWritten()
{
    if (!m_responseComplete) {
        // The handler is copied because it may close the connection, which resets the member.
        const std::function<void()> handler = m_drainedHandler;
        if (handler)
            handler();
        return;
    }
    if (!isRequestOpen())
        return;
    --m_state->openRequests;
    m_responseComplete = false;
    if (m_closeAfterResponse) {
        boost::system::error_code ignored; // The client may have closed the connection already.
        m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
        enterPhase(Phase::Lingering);
    } else {
        enterPhase(Phase::Idle);
        parseInput();
        if (m_input.size() == 0)
            m_input.shrink_to_fit();
    }
    readMore();
}

/*!
    Closes the connection if the client reads nothing of its answer for the idle timeout. A client
    that reads slowly keeps it.
*/
void ServerConnection::startWriteTimer()
{
    if (m_isWriteTimerRunning)
        return;
    m_isWriteTimerRunning = true;
    m_acknowledgedBytes = acknowledgedBytes();
    m_timer.expires_after(m_state->limits.idleTimeout);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (ec || !self || !self->isRequestOpen())
            return;
        self->m_isWriteTimerRunning = false;
        if (self->pendingBytes() == 0)
            return;
        if (self->acknowledgedBytes() > self->m_acknowledgedBytes) {
            self->startWriteTimer();
            return;
        }
        if (self->m_state->memory)
            self->m_state->memory->recordCut(CutReason::StoppedReading);
        self->onClientDisconnected();
    });
}

/*!
    Returns the bytes of output that the client has acknowledged. The kernel tells that a socket is
    writable only when a third of its buffer is free, which takes a slow client longer than the idle
    timeout.
*/
std::uint64_t ServerConnection::acknowledgedBytes()
{
    int unacknowledged = 0;
    ::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged);
    return m_sentBytes - static_cast<std::uint64_t>(unacknowledged);
}

bool ServerConnection::setHandlerBytes(std::size_t bytes)
{
    m_handlerBytes = bytes;
    return updateCharge();
}

/*!
    Tells the memory budget what this connection holds. Returns whether there is memory for it.
*/
bool ServerConnection::updateCharge()
{
    if (!m_state->memory || m_holder == 0 || m_phase == Phase::Closed)
        return true;
    std::size_t bytes = connectionBytes + m_handlerBytes + m_input.capacity() + m_queued.capacity()
            + m_writing.capacity();
    if (m_parser) {
        bytes += (*m_parser)->get().body().capacity();
        bytes += headBytesFactor * m_headBytes;
    }
    HolderState state = HolderState::Idle;
    if (m_phase == Phase::Head || m_phase == Phase::Body)
        state = HolderState::Incomplete;
    else if (isRequestOpen())
        state = pendingBytes() > 0 ? HolderState::Unread : HolderState::Working;
    return m_state->memory->charge(m_holder, bytes, state, m_progressAt);
}

void ServerConnection::cutForMemory()
{
    if (m_isCut || m_phase == Phase::Closed)
        return;
    if (m_phase == Phase::Head || m_phase == Phase::Body) {
        refuseForMemory(CutReason::Memory);
        return;
    }
    m_state->memory->recordCut(isRequestOpen() ? CutReason::Unread : CutReason::Memory);
    onClientDisconnected();
}

void ServerConnection::cutForDescriptors()
{
    if (m_state->memory)
        m_state->memory->recordCut(CutReason::Descriptors);
    closeNow();
}

std::optional<std::pair<int, std::chrono::steady_clock::time_point>>
ServerConnection::evictionOrder() const
{
    if (m_phase == Phase::Closed || isRequestOpen())
        return std::nullopt;
    // A client that has sent a complete request before is more likely to send another.
    const int rank = m_phase == Phase::Lingering ? 0 : (m_hasServed ? 2 : 1);
    return std::pair(rank, m_phaseSince);
}

void ServerConnection::enterPhase(Phase phase)
{
    m_phase = phase;
    m_phaseSince = Clock::now();
    m_isWriteTimerRunning = false;
    std::optional<std::chrono::milliseconds> wait;
    if (phase == Phase::Idle || phase == Phase::Body)
        wait = m_state->limits.idleTimeout;
    else if (phase == Phase::Head)
        wait = m_state->limits.headerTimeout;
    else if (phase == Phase::Lingering)
        wait = lingerTimeout;
    if (!wait) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(*wait);
    m_timer.async_wait([weak = weak_from_this(), phase](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && self->m_phase == phase)
            self->onTimeout();
    });
}

void ServerConnection::onTimeout()
{
    if (m_phase != Phase::Head && m_phase != Phase::Body) {
        closeNow();
        return;
    }
    reject(requestTimeout, "the request did not arrive in time");
}

void ServerConnection::onClientDisconnected()
{
    const std::function<void()> handler = std::move(m_closedHandler);
    closeNow();
    if (handler)
        handler();
}

void ServerConnection::abort()
{
    closeNow();
}

void ServerConnection::closeWhenIdle()
{
    if (m_phase == Phase::Idle)
        closeNow();
    else
        m_closeAfterResponse = true;
}

void ServerConnection::closeNow()
{
    if (m_phase == Phase::Closed)
        return;
    if (isRequestOpen())
        --m_state->openRequests;
    if (m_state->memory)
        m_state->memory->remove(m_holder);
    m_phase = Phase::Closed;
    m_closedHandler = nullptr;
    m_drainedHandler = nullptr;
    m_timer.cancel();
    boost::system::error_code ignored; // The socket is not used again.
    m_socket.close(ignored);
}

} // namespace sesame
