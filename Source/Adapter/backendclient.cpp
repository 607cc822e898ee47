#include "Adapter/backendclient.h"

#include "Http/clientconnection.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <memory>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds connectTimeout = 1000ms;
//! Interval at which the receiver is polled with an empty part to learn whether it still wants the
//! body.
constexpr std::chrono::milliseconds receiverPollInterval = 100ms;
constexpr unsigned firstErrorStatus = 400;
//! Maximum size of a reply that is buffered until it is complete.
constexpr std::size_t maxReplyBytes = 8U << 20U;

/*!
    Returns whether \a text can be a part of the head of a request without ending its line.
*/
bool isSingleLine(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

/*!
    Returns whether \a path can be the target of a request: it has neither blanks nor control
    characters.
*/
bool isRequestTarget(std::string_view path)
{
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::none_of(path.begin(), path.end(), [](unsigned char c) {
        return c <= ' ' || c == deleteCharacter;
    });
}

struct Target
{
    Tcp::endpoint address;
    std::string host;
    std::string path;
};

std::optional<Target> parseUrl(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme))
        return std::nullopt;
    url.remove_prefix(scheme.size());
    const std::size_t slash = std::min(url.find('/'), url.size());
    const std::string_view host = url.substr(0, slash);
    const std::optional<Tcp::endpoint> address = parseTcpEndpoint(host);
    if (!address)
        return std::nullopt;
    const std::string_view path = slash < url.size() ? url.substr(slash) : std::string_view("/");
    if (!isRequestTarget(path))
        return std::nullopt;
    return Target {.address = *address, .host = std::string(host), .path = std::string(path)};
}

/*!
    A call that runs its own event loop in the calling thread until it has finished.
*/
class BlockingCall
{
public:
    BlockingCall(const HttpCall &call, const BodyReceiver *receiver)
        : m_call(call), m_receiver(receiver),
          m_connection(std::make_shared<ClientConnection>(m_context))
    {
    }

    BackendReply run()
    {
        const std::optional<Target> target = parseUrl(m_call.url);
        if (!target)
            return {.status = CallStatus::NotSent, .reply = {}, .reason = "not an http URL"};
        const bool areSingleLines = std::all_of(m_call.headers.begin(), m_call.headers.end(),
                                                [](const auto &field) {
                                                    return isSingleLine(field.second);
                                                });
        if (!areSingleLines)
            return {.status = CallStatus::NotSent,
                    .reply = {},
                    .reason = "a header field has several lines"};
        m_connection->connect(target->address, std::min(connectTimeout, m_call.timeout),
                              [this, &target](const boost::system::error_code &ec) {
                                  if (ec)
                                      finish(CallStatus::NotSent, ec.message());
                                  else
                                      send(*target);
                              });
        waitForCompletion();
        m_connection->close();
        // Queued handlers hold references to this object, so they must run before it is destroyed.
        m_context.restart();
        m_context.poll();
        return std::move(m_result);
    }

private:
    void waitForCompletion()
    {
        const auto end = ClientConnection::Clock::now() + m_call.timeout;
        while (!m_finished) {
            const auto left = end - ClientConnection::Clock::now();
            if (left <= 0ms) {
                finish(m_sent ? CallStatus::Lost : CallStatus::NotSent, "timed out");
                return;
            }
            if (m_receiver && !(*m_receiver)({})) {
                finish(CallStatus::Aborted, "aborted by the receiver");
                return;
            }
            m_context.restart();
            const auto slice = std::min<ClientConnection::Clock::duration>(left,
                                                                           receiverPollInterval);
            const auto sliceEnd = ClientConnection::Clock::now() + slice;
            while (!m_finished && m_context.run_one_until(sliceEnd) > 0) { }
        }
    }

    void send(const Target &target)
    {
        m_sent = true;
        FieldViews fields {{"Host", target.host}};
        fields.insert(fields.end(), m_call.headers.begin(), m_call.headers.end());
        ResponseSink sink;
        sink.head = [this](const ResponseHead &head) {
            processHead(head);
            return ResponseSink::Verdict::Take;
        };
        sink.body = [this](std::string_view part) {
            processBody(part);
        };
        sink.done = [this] {
            finish(CallStatus::Replied, {});
        };
        sink.failed = [this](ExchangeFailure failure) {
            finish(CallStatus::Lost, std::string(describe(failure)));
        };
        m_connection->send(formatRequest(m_call.method, target.path, fields, m_call.body),
                           m_call.method == "HEAD", std::move(sink));
    }

    void processHead(const ResponseHead &head)
    {
        m_result.reply.status = static_cast<int>(head.result_int());
        for (const auto &field : head)
            m_result.reply.headers.emplace_back(
                    absl::AsciiStrToLower(std::string(toStd(field.name_string()))),
                    std::string(toStd(field.value())));
    }

    void processBody(std::string_view part)
    {
        if (m_receiver && m_result.reply.status < static_cast<int>(firstErrorStatus)) {
            if (!(*m_receiver)(part))
                finish(CallStatus::Aborted, "aborted by the receiver");
            return;
        }
        if (m_result.reply.body.size() + part.size() > maxReplyBytes)
            finish(CallStatus::Lost, "body without end");
        else
            m_result.reply.body.append(part);
    }

    void finish(CallStatus status, std::string reason)
    {
        if (m_finished)
            return;
        m_finished = true;
        m_result.status = status;
        m_result.reason = std::move(reason);
        m_connection->close();
    }

    const HttpCall &m_call;
    const BodyReceiver *m_receiver;
    asio::io_context m_context {1};
    std::shared_ptr<ClientConnection> m_connection;
    BackendReply m_result;
    bool m_sent = false;
    bool m_finished = false;
};

} // namespace

BackendReply callBackend(const HttpCall &call)
{
    return BlockingCall(call, nullptr).run();
}

BackendReply streamFromBackend(const HttpCall &call, const BodyReceiver &receiver)
{
    return BlockingCall(call, &receiver).run();
}

} // namespace sesame
