#pragma once

#include "Http/appendedbody.h"
#include "Http/clientmemory.h"
#include "Http/httptypes.h"
#include "Http/messageparser.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace sesame {

/*!
    Limits for the requests of clients: sizes and timeouts. All connections of a listener share
    them, so that a new configuration applies to all of them at once.
*/
struct ClientLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout {3000}; //!< Time to receive a request's whole header.
    //! Time for which a connection without a request stays open, and time to receive a request's
    //! body once its header is complete.
    //! Also the time after which a client that reads nothing of its answer loses its connection.
    std::chrono::milliseconds idleTimeout {15000};
};

class ServerConnection;
//! Handles a complete request and sends the response, at once or later, on the given connection.
using RequestHandler
        = std::function<void(const std::shared_ptr<ServerConnection> &, RequestMessage &&)>;

//! Called when a request is rejected that never reaches the RequestHandler, or that it failed to
//! handle, with the status of the response and the reason.
using RejectionHandler = std::function<void(unsigned status, std::string_view reason)>;

/*!
    State that a listener shares with its connections.
*/
struct ListenerState
{
    ClientLimits limits;
    RequestHandler handler;
    RejectionHandler rejectionHandler; //!< May be empty.
    bool closing = false; //!< Each response carries "Connection: close".
    std::size_t connections = 0;
    std::size_t openRequests = 0;
    std::shared_ptr<ClientMemory> memory; //!< Null if the memory is not bounded.
    //! Memory that the handler uses for a request in addition to multiples of its body.
    std::size_t handlerBytes = 0;
    //! Number of copies of the body that exist while the handler runs, including the first.
    std::size_t bodyCopies = 1;
    std::vector<char> readBuffer; //!< Shared, because idle connections would hold one each.
};

/*!
    An accepted connection. It reads one request at a time, passes it to the handler and writes the
    response. It keeps reading while a request is in progress, so that it detects at once when the
    client closes the connection.
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
        Sets the function that is called once if the connection is lost while the request is in
        progress, usually because the client has closed it.
    */
    void setClosedHandler(std::function<void()> handler) { m_closedHandler = std::move(handler); }

    /*!
        Sets the function that is called each time all queued output of an unfinished response has
        been written.
    */
    void setDrainedHandler(std::function<void()> handler) { m_drainedHandler = std::move(handler); }

    /*!
        Sends a complete response. Has no effect if no request is in progress.
    */
    void sendResponse(unsigned status, const HttpFields &fields, std::string_view body);

    /*!
        Begins a response of unknown length with chunked transfer encoding. Calls of sendChunk() and
        one call of endStream() follow.
    */
    void beginStream(unsigned status, const HttpFields &fields);
    void sendChunk(std::string_view piece);
    void endStream();

    /*!
        Closes the connection without the final chunk, so that the client can tell that the response
        is incomplete.
    */
    void abort();

    /*!
        Closes the connection at once if it is idle, otherwise after the response to the current
        request.
    */
    void closeWhenIdle();

    /*!
        Sets how many bytes the handler holds for the request in progress. Returns whether there is
        memory for them.
    */
    bool setHandlerBytes(std::size_t bytes);

    /*!
        Ends the request that is being received with status 503, which promises that it has not run.
        Otherwise, closes the connection. Called when memory is short.
    */
    void cutForMemory();

    /*!
        Closes the connection because descriptors are short.
    */
    void cutForDescriptors();

    /*!
        Returns how the connection compares with others when one must be closed to accept a new one:
        the smallest value is closed first. Returns std::nullopt if it must not be closed.
    */
    std::optional<std::pair<int, std::chrono::steady_clock::time_point>> evictionOrder() const;

    //! Returns the number of bytes of output that are not yet written.
    std::size_t pendingBytes() const { return m_queued.size() + m_writing.size() - m_written; }

private:
    enum class Phase { Idle, Head, Body, Handling, Lingering, Closed };
    using Clock = std::chrono::steady_clock;
    using Parser = beast::http::request_parser<AppendedBody>;

    void readMore();
    void onReadable(const boost::system::error_code &ec);
    void addInput(std::string_view bytes);
    void sendContinue();
    void parseInput();
    void createParser();
    void rejectInput(const boost::system::error_code &ec);
    void reject(unsigned status, std::string_view reason);
    void endInput(unsigned status, const HttpFields &fields, std::string_view reason);
    void refuseForMemory(CutReason reason);
    void dispatch();
    void appendHead(unsigned status, const HttpFields &fields);
    void finishResponse();
    void flush();
    void writeMore();
    void onWritten(const boost::system::error_code &ec, std::size_t n);
    void onOutputWritten();
    void startWriteTimer();
    std::uint64_t acknowledgedBytes();
    bool updateCharge();
    void enterPhase(Phase phase);
    void onTimeout();
    void onClientDisconnected();
    void closeNow();
    bool isRequestOpen() const { return m_phase == Phase::Handling; }

    Tcp::socket m_socket;
    std::shared_ptr<ListenerState> m_state;
    asio::steady_timer m_timer;
    beast::flat_buffer m_input;
    std::optional<MessageParser<Parser>> m_parser;
    Phase m_phase = Phase::Idle;
    Clock::time_point m_phaseSince; //!< Time when the phase began.
    Clock::time_point m_progressAt; //!< Time when the client last sent or read something.
    MemoryBudget::HolderId m_holder = 0; //!< Identifies the connection in the memory budget.
    std::size_t m_handlerBytes = 0;
    std::size_t m_headBytes = 0; //!< Upper bound for the head of the request being received.
    bool m_reading = false;
    bool m_hasServed = false; //!< At least one complete request has arrived.
    bool m_isCut = false;
    bool m_isWriteTimerRunning = false;
    bool m_discardsInput = false; //!< The connection is closed after the response.
    bool m_responseComplete = false;
    bool m_closeAfterResponse = false;
    bool m_isHead = false; //!< The request's method is HEAD, so the response has no body.
    std::string m_writing;
    std::uint64_t m_sentBytes = 0; //!< All output that the kernel has taken.
    //! Value of acknowledgedBytes() when the timer for a client that stops reading was started.
    std::uint64_t m_acknowledgedBytes = 0;
    std::size_t m_written = 0; //!< Bytes of m_writing that are written.
    std::string m_queued;
    std::function<void()> m_closedHandler;
    std::function<void()> m_drainedHandler;
};

} // namespace sesame
