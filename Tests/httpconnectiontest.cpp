#include "Http/clientconnection.h"
#include "Http/httpcaller.h"
#include "Http/listener.h"

#include <criterion/criterion.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

/*!
    Server that answers each request with the same bytes, in pieces that arrive one by one, and then
    keeps, closes or resets the connection, or ends only its own direction.
*/
class ScriptedServer
{
public:
    enum class End { Keep, Close, Reset, HalfClose };

    ScriptedServer(asio::io_context &context, std::vector<std::string> pieces, End end)
        : m_context(context),
          m_acceptor(context, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)),
          m_pieces(std::move(pieces)), m_end(end)
    {
        accept();
    }

    Tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &ec, Tcp::socket socket) {
            if (ec)
                return;
            m_sockets.push_back(std::make_shared<Tcp::socket>(std::move(socket)));
            serve(m_sockets.back());
            accept();
        });
    }

    void serve(const std::shared_ptr<Tcp::socket> &socket)
    {
        const auto buf = std::make_shared<std::string>(4096, '\0');
        socket->async_read_some(asio::buffer(*buf), [this, socket, buf](const auto &ec, auto) {
            if (ec)
                return;
            writePiece(socket, 0);
        });
    }

    void writePiece(const std::shared_ptr<Tcp::socket> &socket, std::size_t index)
    {
        asio::async_write(*socket, asio::buffer(m_pieces[index]),
                          [this, socket, index](const auto &, auto) {
                              if (index + 1 == m_pieces.size())
                                  end(socket);
                              else
                                  writePieceLater(socket, index + 1);
                          });
    }

    void writePieceLater(const std::shared_ptr<Tcp::socket> &socket, std::size_t index)
    {
        constexpr auto pause = 10ms;
        const auto timer = std::make_shared<asio::steady_timer>(m_context, pause);
        timer->async_wait([this, timer, socket, index](const auto &) {
            writePiece(socket, index);
        });
    }

    void end(const std::shared_ptr<Tcp::socket> &socket)
    {
        if (m_end == End::Reset)
            socket->set_option(asio::socket_base::linger(true, 0));
        if (m_end == End::Keep)
            serve(socket);
        else if (m_end == End::HalfClose)
            socket->shutdown(Tcp::socket::shutdown_send);
        else
            socket->close();
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    std::vector<std::string> m_pieces;
    End m_end;
    std::vector<std::shared_ptr<Tcp::socket>> m_sockets;
};

//! Header of a chunked response to the request of exchange().
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

//! What a client connection reported about one exchange.
struct ExchangeResult
{
    std::vector<unsigned> heads;
    std::string body;
    bool done = false;
    std::optional<ExchangeFailure> failure;
    bool reusable = false;
};

struct ExchangeOptions
{
    std::chrono::milliseconds time = 300ms; //!< Time after which the connection is closed.
    bool stopsAtEnd = false; //!< Whether to stop when the exchange has ended, before time is over.
    std::size_t uploadBytes = 0; //!< Size of the request's body.
};

/*!
    Sends one request to a server that responds with \a pieces, and reports what arrived.
    Responses whose X-Id field is not "mine" are skipped.
*/
ExchangeResult exchange(const std::vector<std::string> &pieces, ScriptedServer::End end,
                        const ExchangeOptions &options = {})
{
    asio::io_context context;
    ScriptedServer server(context, pieces, end);
    const auto connection = std::make_shared<ClientConnection>(context);
    ExchangeResult outcome;
    connection->connect(server.address(), 1s, [&](const boost::system::error_code &ec) {
        cr_assert_not(ec);
        ResponseSink sink;
        sink.head = [&](const ResponseHead &head) {
            outcome.heads.push_back(head.result_int());
            return fieldValue(head, "X-Id") == "mine" ? ResponseSink::Verdict::Take
                                                      : ResponseSink::Verdict::Skip;
        };
        sink.body = [&](std::string_view piece) {
            outcome.body.append(piece);
        };
        sink.done = [&] {
            outcome.done = true;
            outcome.reusable = connection->isReusable(ClientConnection::Clock::now());
            if (options.stopsAtEnd)
                context.stop();
        };
        sink.failed = [&](ExchangeFailure failure) {
            outcome.failure = failure;
            if (options.stopsAtEnd)
                context.stop();
        };
        HttpFields fields;
        fields.set("Host", "a");
        connection->send(formatRequest(options.uploadBytes > 0 ? "POST" : "GET", "/", fields,
                                       std::string(options.uploadBytes, 'u')),
                         false, std::move(sink));
    });
    context.run_for(options.time);
    connection->close();
    return outcome;
}

//! \overload
ExchangeResult exchange(const std::string &answer, ScriptedServer::End end,
                        const ExchangeOptions &options = {})
{
    return exchange(std::vector<std::string> {answer}, end, options);
}

/*!
    Sends one request like exchange() and reports what arrived until the exchange ended.
*/
ExchangeResult exchangeToEnd(const std::vector<std::string> &pieces, ScriptedServer::End end,
                             std::size_t uploadBytes = 0)
{
    return exchange(pieces, end, {.time = 5s, .stopsAtEnd = true, .uploadBytes = uploadBytes});
}

//! \overload
ExchangeResult exchangeToEnd(const std::string &answer, ScriptedServer::End end)
{
    return exchangeToEnd(std::vector<std::string> {answer}, end);
}

/*!
    Listener with a given handler, and a TCP connection to it.
*/
struct ServedConnection
{
    explicit ServedConnection(RequestHandler handler)
        : listener(context, std::move(handler), 16), socket(context)
    {
        // To find a free port, a socket is bound to port 0 and closed again.
        Tcp::acceptor probe(context, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
        const Tcp::endpoint address = probe.local_endpoint();
        probe.close();
        cr_assert_not(listener.open(address));
        socket.connect(address);
    }

    void write(const std::string &text) { asio::write(socket, asio::buffer(text)); }

    std::string readAll(std::chrono::milliseconds time)
    {
        std::string text;
        std::string buf(65536, '\0');
        std::function<void()> readMore = [&] {
            socket.async_read_some(asio::buffer(buf), [&](const auto &ec, std::size_t n) {
                text.append(buf, 0, n);
                if (!ec)
                    readMore();
            });
        };
        readMore();
        context.run_for(time);
        socket.cancel();
        context.restart();
        context.run_for(10ms);
        return text;
    }

    asio::io_context context;
    Listener listener;
    Tcp::socket socket;
};

} // namespace

// Guards against an engine that sends a header, or responses that belong to no request, without
// end.
Test(clientconnection, endlessBytesBeforeTheResponseEndTheExchange)
{
    std::string header = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 20000; ++i)
        header += "X-Field: value\r\n";
    const ExchangeResult headerResult = ::exchange(header, ScriptedServer::End::Keep);
    cr_expect(headerResult.failure == ExchangeFailure::Oversized);
    std::string skipped;
    while (skipped.size() < (2U << 20U))
        skipped += "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother";
    const ExchangeResult skippedResult = ::exchange(skipped, ScriptedServer::End::Keep);
    cr_expect(skippedResult.failure == ExchangeFailure::Oversized);
    std::string informational;
    while (informational.size() < (2U << 20U))
        informational += "HTTP/1.1 100 Continue\r\n\r\n";
    const ExchangeResult informationalResult = ::exchange(informational, ScriptedServer::End::Keep);
    cr_expect(informationalResult.failure == ExchangeFailure::Oversized);
}

// Guards against a trailer field that is too long for the parser's container, which ended the
// process.
Test(clientconnection, longTrailerFieldEndsTheExchange)
{
    const std::string field = "X-Garbage: " + std::string(70000, 'z') + "\r\n\r\n";
    const ExchangeResult outcome = exchange(chunkedHead + "4\r\nhalf\r\n0\r\n" + field,
                                            ScriptedServer::End::Keep);
    cr_expect_str_eq(outcome.body.c_str(), "half");
    cr_expect_not(outcome.done);
    cr_expect(outcome.failure == ExchangeFailure::Oversized);
}

// Guards against bytes without end where the size of a chunk is due, which filled the memory.
Test(clientconnection, endlessChunkSizeEndsTheExchange)
{
    const std::string garbage(1U << 20U, 'f');
    const ExchangeResult outcome = exchange(chunkedHead + "4\r\nhalf\r\n" + garbage,
                                            ScriptedServer::End::Keep);
    cr_expect_str_eq(outcome.body.c_str(), "half");
    cr_expect(outcome.failure == ExchangeFailure::Oversized);
    const ExchangeResult extension = exchange(chunkedHead + "4;" + garbage,
                                              ScriptedServer::End::Keep);
    cr_expect(extension.failure == ExchangeFailure::Oversized);
}

// Guards against the end of a chunked response that arrives in pieces: an assertion of the parser
// ended the process.
Test(clientconnection, lastChunkMayArriveInPieces)
{
    for (const std::string start : {"0\r\n", "4\r\nhalf\r\n0\r\n", "4\r\nhalf\r\n0"}) {
        const std::string rest = start.ends_with('0') ? "\r\n\r\n" : "\r\n";
        std::vector<std::string> pieces {chunkedHead + start};
        for (const char byte : rest)
            pieces.emplace_back(1, byte);
        const ExchangeResult outcome = ::exchange(pieces, ScriptedServer::End::Keep);
        cr_expect(outcome.done, "%s", start.c_str());
        cr_expect(outcome.reusable, "%s", start.c_str());
    }
}

// Guards against a body in a coding that is passed on as if it were the content.
Test(clientconnection, unsupportedTransferCodingsAreRejected)
{
    for (const std::string coding : {"gzip, chunked", "chunked, gzip", "identity"}) {
        const ExchangeResult outcome = exchange("HTTP/1.1 200 OK\r\nX-Id: mine\r\n"
                                                "Transfer-Encoding: "
                                                        + coding + "\r\n\r\n0\r\n\r\n",
                                                ScriptedServer::End::Close);
        cr_expect_not(outcome.done, "%s", coding.c_str());
        cr_expect(outcome.failure == ExchangeFailure::Malformed, "%s", coding.c_str());
    }
}

// Guards against a connection that stays paused when its stream is complete, so that the response
// to the next request on it is not read.
Test(clientconnection, pauseEndsWithTheExchange)
{
    asio::io_context context;
    ScriptedServer server(context, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
                          ScriptedServer::End::Keep);
    const auto connection = std::make_shared<ClientConnection>(context);
    int completeCount = 0;
    const auto send = [&](const std::function<void()> &done) {
        connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false,
                         {.head =
                                  [](const ResponseHead &) {
                                      return ResponseSink::Verdict::Take;
                                  },
                          .body =
                                  [&](std::string_view) {
                                      connection->setPaused(true);
                                  },
                          .done =
                                  [&, done] {
                                      ++completeCount;
                                      done();
                                  },
                          .failed = [](ExchangeFailure) {}});
    };
    connection->connect(server.address(), 1s, [&](const boost::system::error_code &ec) {
        cr_assert_not(ec);
        send([&] {
            send([] {});
        });
    });
    context.run_for(300ms);
    cr_expect_eq(completeCount, 2);
    connection->close();
}

// Guards against a truncated response that is treated as complete.
Test(clientconnection, truncatedResponsesAreNotComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n";
    ExchangeResult outcome = exchange(head + "Content-Length: 10\r\n\r\nhalf",
                                      ScriptedServer::End::Close);
    cr_expect_not(outcome.done);
    cr_expect(outcome.failure == ExchangeFailure::Closed);
    outcome = exchange(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                       ScriptedServer::End::Close);
    cr_expect_not(outcome.done);
    outcome = exchange(head + "\r\nwhole", ScriptedServer::End::Close);
    cr_expect(outcome.done, "a response without a length ends with its connection");
    cr_expect_str_eq(outcome.body.c_str(), "whole");
    cr_expect_not(outcome.reusable);
    outcome = exchange(head + "\r\npart", ScriptedServer::End::Reset);
    cr_expect_not(outcome.done, "a reset does not complete a response");
    const std::string whole = head + "Content-Type: text/event-stream\r\n\r\n";
    for (std::size_t n = 1; n < whole.size(); ++n) {
        outcome = exchange(whole.substr(0, n), ScriptedServer::End::Close, {.time = 30ms});
        cr_expect(outcome.heads.empty(), "the head ends after %zu bytes", n);
        cr_expect(outcome.failure == ExchangeFailure::Closed, "the head ends after %zu bytes", n);
    }
}

// Guards against a status that HTTP does not have, which was passed on as that of an answer.
Test(clientconnection, statusesOutOfRangeAreMalformed)
{
    const auto exchangeStatus = [](const std::string &status) {
        return exchangeToEnd("HTTP/1.1 " + status
                                     + " Status\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok",
                             ScriptedServer::End::Keep);
    };
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        const ExchangeResult outcome = exchangeStatus(status);
        cr_expect(outcome.heads.empty(), "%s", status.c_str());
        cr_expect(outcome.failure == ExchangeFailure::Malformed, "%s", status.c_str());
    }
    for (const std::string status : {"200", "599"})
        cr_expect(exchangeStatus(status).done, "%s", status.c_str());
}

// Guards against field names with blanks or control characters in heads and trailers.
Test(clientconnection, brokenFieldNamesAreMalformed)
{
    using namespace std::string_literals;
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string idField = "X-Id: mine\r\n";
    for (const std::string &name :
         {"X Note"s, "X-Note "s, "X-Note\t"s, "X-\x01Note"s, "X-\0Note"s, "X-Note\x7f"s, "X\rNote"s,
          "X\nNote"s, "Content-Length "s, ""s}) {
        const std::string line = name + ": 2\r\n";
        for (const std::string &fields : {line + idField, idField + line}) {
            const ExchangeResult outcome = exchangeToEnd({start, fields, "\r\nok"},
                                                         ScriptedServer::End::Close);
            cr_expect(outcome.heads.empty(), "%s", name.c_str());
            cr_expect(outcome.failure == ExchangeFailure::Malformed, "%s", name.c_str());
        }
        const ExchangeResult trailer = exchangeToEnd(
                {chunkedHead, "2\r\nok\r\n0\r\n", line, "\r\n"}, ScriptedServer::End::Close);
        cr_expect(trailer.failure == ExchangeFailure::Malformed, "%s", name.c_str());
    }
}

// Guards against lines that begin with a blank, which were taken for the rest of the field before:
// the line was passed on, and a length in it was not obeyed.
Test(clientconnection, foldedFieldsAreMalformed)
{
    const auto exchangeFields = [](const std::string &fields) {
        return exchangeToEnd("HTTP/1.1 200 OK\r\n" + fields + "\r\nokay",
                             ScriptedServer::End::Close);
    };
    const std::string idField = "X-Id: mine\r\n";
    for (const std::string line : {" X-Note: 1\r\n", "\tX-Note: 1\r\n", " Content-Length: 2\r\n"}) {
        for (const std::string &before : {std::string(), idField, idField + "X-Note:\r\n"}) {
            const ExchangeResult outcome = exchangeFields(before + line);
            cr_expect(outcome.heads.empty(), "%s", line.c_str());
            cr_expect(outcome.failure == ExchangeFailure::Malformed, "%s", line.c_str());
        }
    }
    cr_expect(exchangeFields(idField + "\r\na\r\n b").done, "a body may have such a line");
}

// Guards against lines that begin with a blank and are found, or mistaken for others, only where
// the head arrives in certain pieces.
Test(clientconnection, foldedFieldsAreFoundInPieces)
{
    const std::string begin = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n";
    const std::string folded = begin + " X-Note: 1\r\nX-Other: 2\r\n\r\n";
    for (std::size_t n = 1; n < folded.size(); ++n) {
        const ExchangeResult outcome = exchangeToEnd({folded.substr(0, n), folded.substr(n)},
                                                     ScriptedServer::End::Close);
        cr_expect(outcome.heads.empty(), "divided after %zu bytes", n);
        cr_expect(outcome.failure == ExchangeFailure::Malformed, "divided after %zu bytes", n);
    }
    const std::string whole = begin + "Content-Length: 9\r\n\r\n body\r\n a";
    for (std::size_t n = 1; n < whole.size(); ++n) {
        const ExchangeResult outcome = exchangeToEnd({whole.substr(0, n), whole.substr(n)},
                                                     ScriptedServer::End::Keep);
        cr_expect_str_eq(outcome.body.c_str(), " body\r\n a", "divided after %zu bytes", n);
        cr_expect(outcome.done, "divided after %zu bytes", n);
    }
}

// Guards against sizes of chunks that are read as another number.
Test(clientconnection, brokenChunkSizesAreMalformed)
{
    for (const std::string size : {"", "+2", "-2", "0x2", " 2", "2 ", "2\t", "2\x01", "2\n", "2;",
                                   "2 3", "g", "10000000000000002"}) {
        const ExchangeResult outcome = exchangeToEnd(chunkedHead + size + "\r\nok\r\n0\r\n\r\n",
                                                     ScriptedServer::End::Close);
        cr_expect_not(outcome.done, "%s", size.c_str());
        cr_expect(outcome.failure == ExchangeFailure::Malformed, "%s", size.c_str());
    }
}

// Guards against a response without a length that the server breaks off with a reset while the
// request is being written: the write got the error, and the read an orderly end.
Test(clientconnection, resetDuringAnUploadIsNotTheEnd)
{
    // More than the buffers of both sockets hold.
    constexpr std::size_t uploadBytes = 16U << 20U;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n";
    // The empty piece lets the client read what came before the reset.
    for (const std::vector<std::string> &pieces :
         {std::vector<std::string> {head + "part", ""}, {head + "part"}, {head, ""}}) {
        // Closing a socket with unread bytes resets the connection too.
        for (const auto end : {ScriptedServer::End::Reset, ScriptedServer::End::Close}) {
            const ExchangeResult outcome = exchangeToEnd(pieces, end, uploadBytes);
            cr_expect_not(outcome.done);
            cr_expect(outcome.failure == ExchangeFailure::Closed);
        }
        const ExchangeResult whole = exchangeToEnd(pieces, ScriptedServer::End::HalfClose,
                                                   uploadBytes);
        cr_expect(whole.done, "the server has ended its answer in order");
        cr_expect_not(whole.reusable);
    }
    const ExchangeResult sized = exchangeToEnd(
            {"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"},
            ScriptedServer::End::Reset, uploadBytes);
    cr_expect(sized.done, "an answer with a length is whole without its connection");
}

// Guards against a late response to an earlier request that is forwarded to another caller.
Test(clientconnection, responseToAnotherRequestIsSkipped)
{
    const ExchangeResult outcome = exchange(
            "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nold"
            "HTTP/1.1 201 Created\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\n"
            "new",
            ScriptedServer::End::Keep);
    cr_expect(outcome.done);
    cr_expect_str_eq(outcome.body.c_str(), "new");
    cr_expect_eq(outcome.heads.size(), 2U);
}

// Guards against reuse of a connection on which unexpected bytes have arrived.
Test(clientconnection, extraBytesPreventReuse)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok";
    ExchangeResult outcome = exchange(whole, ScriptedServer::End::Keep);
    cr_expect(outcome.done);
    cr_expect(outcome.reusable);
    outcome = exchange(whole + "junk", ScriptedServer::End::Keep);
    cr_expect(outcome.done);
    cr_expect_not(outcome.reusable);
    outcome = exchange("no answer at all\r\n\r\n", ScriptedServer::End::Keep);
    cr_expect(outcome.failure == ExchangeFailure::Malformed);
}

// Guards against a call that never finishes because the server does not respond.
Test(httpcaller, callToSilentServerEndsAtTheTimeout)
{
    asio::io_context context;
    ScriptedServer server(context, {""}, ScriptedServer::End::Keep);
    HttpCaller caller(context, server.address());
    std::optional<CallResponse> answer;
    caller.call("GET", "/", {}, {}, 100ms, [&](const CallResponse &result) {
        answer = result;
    });
    context.run_for(300ms);
    cr_assert(answer.has_value());
    cr_expect_eq(answer->status, 0U);
    cr_expect(answer->wasSent);
}

// Guards against a client that disconnects while its request is in progress without being detected.
Test(serverconnection, disconnectOfTheClientIsDetected)
{
    bool closed = false;
    std::shared_ptr<ServerConnection> open;
    ServedConnection served([&](const std::shared_ptr<ServerConnection> &call, RequestMessage &&) {
        open = call;
        call->setClosedHandler([&] {
            closed = true;
        });
    });
    served.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    served.context.run_for(50ms);
    cr_assert_not_null(open.get());
    cr_expect_not(closed);
    served.socket.close();
    served.context.restart();
    served.context.run_for(50ms);
    cr_expect(closed);
    open.reset();
}

// Guards against request smuggling, where a request inside a body is handled as a request, and
// against pipelined requests that are answered out of order.
Test(serverconnection, bodiesAreNotHandledAsRequests)
{
    std::vector<std::string> targets;
    ServedConnection served(
            [&](const std::shared_ptr<ServerConnection> &call, RequestMessage &&request) {
                targets.emplace_back(toStd(request.target()));
                call->sendResponse(200, {}, request.body());
            });
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    served.write(
            "POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(inner.size())
            + "\r\n\r\n" + inner
            + "POST /two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0"
              "\r\n\r\n");
    const std::string text = served.readAll(100ms);
    cr_assert_eq(targets.size(), 2U);
    cr_expect_str_eq(targets[0].c_str(), "/one");
    cr_expect_str_eq(targets[1].c_str(), "/two");
    cr_expect(text.ends_with("abc"));
}

// Guards against requests that exceed the limits, and against a request with both Content-Length
// and Transfer-Encoding, whose body length is ambiguous.
Test(serverconnection, invalidRequestsAreRejected)
{
    const auto statusOf = [](const std::string &request) {
        bool handled = false;
        ServedConnection served(
                [&](const std::shared_ptr<ServerConnection> &call, RequestMessage &&) {
                    handled = true;
                    call->sendResponse(200, {}, "");
                });
        served.listener.setLimits({.headerBytes = 1024, .bodyBytes = 100, .headerTimeout = 50ms});
        served.write(request);
        const std::string text = served.readAll(150ms);
        return text.size() > 12 ? text.substr(9, 3) : std::string("none");
    };
    cr_expect_str_eq(
            statusOf("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n")
                    .c_str(),
            "431");
    cr_expect_str_eq(statusOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n").c_str(),
                     "413");
    cr_expect_str_eq(statusOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                             .c_str(),
                     "400");
    cr_expect_str_eq(statusOf("nonsense\r\n\r\n").c_str(), "400");
    cr_expect_str_eq(statusOf("GET / HTTP/1.1\r\nHos").c_str(), "408");
}

// Guards against a request whose body has no known end, so that the body is taken for the next
// request.
Test(serverconnection, bodiesWithoutKnownEndAreRejected)
{
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto framings = {"Transfer-Encoding: identity\r\n",
                           "Transfer-Encoding: gzip\r\n",
                           "Transfer-Encoding: chunked, identity\r\n",
                           "Transfer-Encoding: gzip, chunked\r\n",
                           "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
                           "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
                           "Transfer-Encoding:\r\n"};
    for (const std::string framing : framings) {
        int requestCount = 0;
        ServedConnection served(
                [&](const std::shared_ptr<ServerConnection> &call, RequestMessage &&) {
                    ++requestCount;
                    call->sendResponse(200, {}, "");
                });
        std::string outer = "POST /outer HTTP/1.1\r\nHost: a\r\n";
        outer.append(framing).append("\r\n").append(inner);
        served.write(outer);
        const std::string text = served.readAll(50ms);
        cr_expect_eq(requestCount, 0, "%s", framing.c_str());
        cr_expect(text.starts_with("HTTP/1.1 400"), "%s: %s", framing.c_str(), text.c_str());
        cr_expect(text.find("Connection: close") != std::string::npos, "%s", framing.c_str());
    }
}

// Guards against callers whose chunked bodies end the process or fill its memory: a trailer field
// that is too long for the parser's container, a size line without end, and a last chunk in pieces.
Test(serverconnection, chunkedBodiesAreBounded)
{
    const auto exchangePieces = [](const std::vector<std::string> &pieces) {
        ServedConnection served(
                [](const std::shared_ptr<ServerConnection> &call, RequestMessage &&request) {
                    call->sendResponse(200, {}, request.body());
                });
        served.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (const std::string &piece : pieces) {
            served.context.run_for(10ms);
            served.context.restart();
            served.write(piece);
        }
        return served.readAll(100ms);
    };
    const std::string trailer = exchangePieces(
            {"4\r\nbody\r\n0\r\nX: " + std::string(70000, 'z') + "\r\n\r\n"});
    cr_expect(trailer.starts_with("HTTP/1.1 4"), "%s", trailer.c_str());
    const std::string endless = exchangePieces(
            {"4\r\nbody\r\n", std::string(60000, 'f'), std::string(60000, 'f')});
    cr_expect(endless.starts_with("HTTP/1.1 400"), "%s", endless.c_str());
    const std::string pieces = exchangePieces({"0\r\n", "\r", "\n"});
    cr_expect(pieces.starts_with("HTTP/1.1 200"), "%s", pieces.c_str());
}

// Guards against an aborted stream that looks complete to the client.
Test(serverconnection, abortedStreamHasNoFinalChunk)
{
    ServedConnection served([](const std::shared_ptr<ServerConnection> &call, RequestMessage &&) {
        call->beginStream(200, {});
        call->sendChunk("event");
        call->setDrainedHandler([weak = std::weak_ptr(call)] {
            if (const auto open = weak.lock())
                open->abort();
        });
    });
    served.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string text = served.readAll(100ms);
    cr_expect(text.find("5\r\nevent\r\n") != std::string::npos);
    cr_expect(text.find("0\r\n\r\n") == std::string::npos);
}

// Guards against a client that waits for the permission to send a body, and sends it too late.
Test(serverconnection, clientsThatExpectContinueAreToldToGoOn)
{
    std::string body;
    ServedConnection served(
            [&](const std::shared_ptr<ServerConnection> &call, RequestMessage &&request) {
                body = request.body();
                call->sendResponse(200, {}, "");
            });
    served.write("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    const std::string interim = served.readAll(50ms);
    cr_expect_str_eq(interim.c_str(), "HTTP/1.1 100 Continue\r\n\r\n");
    served.write("body");
    cr_expect(served.readAll(50ms).starts_with("HTTP/1.1 200"));
    cr_expect_str_eq(body.c_str(), "body");
}

// Guards against answers that are held for ever for a client that reads nothing, and against a
// deadline that also ends a slow client that goes on reading.
Test(serverconnection, onlyClientsThatStopReadingLoseTheirAnswer)
{
    const auto isKept = [](bool reads) {
        const std::string answer(40U << 20U, 'a');
        ServedConnection served(
                [&](const std::shared_ptr<ServerConnection> &call, RequestMessage &&) {
                    call->sendResponse(200, {}, answer);
                });
        served.listener.setLimits({.idleTimeout = 200ms});
        // The kernel tells the server of reads in steps of a sixteenth of the client's buffer,
        // which can grow to megabytes.
        served.socket.set_option(Tcp::socket::receive_buffer_size(65536));
        served.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        std::string buf(65536, '\0');
        for (int i = 0; i < 20; ++i) {
            served.context.restart();
            served.context.run_for(50ms);
            if (reads)
                served.socket.read_some(asio::buffer(buf));
        }
        return served.listener.connections() == 1;
    };
    cr_expect(isKept(true), "the slow client lost its answer");
    cr_expect_not(isKept(false), "the client that reads nothing kept its connection");
}

// Guards against idle connections that keep new callers out, and against the end of connections
// that are in use while others are not.
Test(listener, newConnectionsTakeThePlaceOfUnusedOnes)
{
    ServedConnection served([](const std::shared_ptr<ServerConnection> &call, RequestMessage &&) {
        call->sendResponse(200, {}, "");
    });
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    served.write(request);
    cr_assert(served.readAll(20ms).starts_with("HTTP/1.1 200"));
    std::vector<Tcp::socket> idle;
    for (int i = 0; i < 40; ++i) {
        idle.emplace_back(served.context);
        idle.back().connect(served.socket.remote_endpoint());
        served.context.restart();
        served.context.run_for(5ms);
    }
    cr_expect_leq(served.listener.connections(), 16);
    served.write(request);
    cr_expect(served.readAll(20ms).starts_with("HTTP/1.1 200"));
    std::swap(served.socket, idle.back());
    served.write(request);
    cr_expect(served.readAll(20ms).starts_with("HTTP/1.1 200"), "the newest is not served");
}
