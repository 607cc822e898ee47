#include "Http/httpcaller.h"

#include <sstream>

namespace sesame {

namespace {

//! Values of the store have up to a megabyte, and its lists a little more.
constexpr std::size_t maxResponseBytes = 8U << 20U;

//! A call in progress. It finishes exactly once: with a response, a failure or the timeout.
struct PendingCall : std::enable_shared_from_this<PendingCall>
{
    PendingCall(asio::io_context &context, HttpCaller::Completion done)
        : timer(context), completion(std::move(done))
    {
    }

    void finish(CallResponse result)
    {
        if (!completion)
            return;
        timer.cancel();
        const HttpCaller::Completion done = std::exchange(completion, nullptr);
        done(std::move(result));
    }

    void send(const std::shared_ptr<std::shared_ptr<ClientConnection>> &idle)
    {
        auto self = shared_from_this();
        ResponseSink sink;
        sink.head = [self](const ResponseHead &head) {
            self->response.status = head.result_int();
            self->response.fields = head;
            return ResponseSink::Verdict::Take;
        };
        sink.body = [self](std::string_view piece) {
            self->response.body.append(piece);
            if (self->response.body.size() <= maxResponseBytes)
                return;
            self->connection->close();
            self->finish({});
        };
        sink.done = [self, idle] {
            if (self->connection->isReusable(ClientConnection::Clock::now()))
                *idle = self->connection;
            else
                self->connection->close();
            self->finish(std::move(self->response));
        };
        sink.failed = [self](ExchangeFailure) {
            self->finish({});
        };
        connection->send(std::move(request), false, std::move(sink));
    }

    asio::steady_timer timer;
    HttpCaller::Completion completion;
    std::shared_ptr<ClientConnection> connection;
    std::string request;
    CallResponse response;
};

} // namespace

void HttpCaller::call(std::string_view method, std::string_view target, const HttpFields &fields,
                      std::string_view body, std::chrono::milliseconds timeout,
                      Completion completion)
{
    const auto pending = std::make_shared<PendingCall>(m_context, std::move(completion));
    HttpFields allFields = fields;
    std::ostringstream host;
    host << m_address;
    if (allFields.count(beast::http::field::host) == 0)
        allFields.set(beast::http::field::host, host.str());
    pending->request = formatRequest(method, target, allFields, body);
    pending->timer.expires_after(timeout);
    pending->timer.async_wait([pending](const boost::system::error_code &ec) {
        if (ec || !pending->completion)
            return;
        pending->connection->close();
        pending->finish({});
    });
    const std::shared_ptr<ClientConnection> idleConnection = std::exchange(*m_idle, nullptr);
    if (idleConnection && idleConnection->isReusable(ClientConnection::Clock::now())) {
        pending->connection = idleConnection;
        pending->send(m_idle);
        return;
    }
    if (idleConnection)
        idleConnection->close();
    pending->connection = std::make_shared<ClientConnection>(m_context);
    pending->connection->connect(m_address, timeout,
                                 [pending, idle = m_idle](const boost::system::error_code &ec) {
                                     if (!pending->completion)
                                         pending->connection->close();
                                     else if (ec)
                                         pending->finish({.wasSent = false});
                                     else
                                         pending->send(idle);
                                 });
}

} // namespace sesame
