#include "Node/enginecall.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Core/nodesettingsfile.h"
#include "Core/sseparser.h"
#include "Http/httptypes.h"
#include "Node/requestedpause.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace sesame {

namespace {

constexpr std::chrono::milliseconds maxRunDuration = std::chrono::minutes(30);
constexpr std::chrono::milliseconds cancelTimeout {2000};
constexpr std::chrono::milliseconds transferTimeout {5000};
constexpr std::chrono::seconds defaultStreamRetention {30};
constexpr std::string_view urlScheme = "http://";
constexpr int httpBadRequest = 400;
constexpr int httpContentTooLarge = 413;

std::string makeBaseUrl(const Endpoint &address)
{
    return std::string(urlScheme) + address.host + ":" + std::to_string(address.port);
}

std::string parseTokenText(std::string_view data)
{
    const JsonPtr chunk = parseJson(data);
    const json_t *choice = json_array_get(json_object_get(chunk.get(), "choices"), 0);
    return jsonString(json_object_get(choice, "delta"), "content");
}

/*!
    Parses the event stream of one engine connection and passes its tokens to the session and
    the caller.
*/
class TokenReader
{
public:
    TokenReader(NodeContext &context, ModelStream &stream, StreamAttempt attempt)
        : m_context(context), m_stream(stream), m_attempt(std::move(attempt))
    {
    }

    /*!
        Processes a part of the engine's response. Returns false if the connection must be closed.
    */
    bool feed(std::string_view part)
    {
        if (m_stream.isDetached() || m_stream.isMoveRequested() || m_stream.isHandoverRequested())
            return false;
        const bool valid = m_parser.feed(part, [this](const SseEvent &event) {
            handleEvent(event);
        });
        return valid && !m_done && !m_aborted;
    }

    bool isDone() const { return m_done; }
    bool isEnded() const { return m_ended; }

private:
    void handleEvent(const SseEvent &event)
    {
        if (event.type == "ended") {
            m_ended = true;
            m_aborted = true;
        } else if (event.data == "[DONE]") {
            m_done = true;
        } else if (!m_done && !m_aborted) {
            handleToken(event);
        }
    }

    void handleToken(const SseEvent &event)
    {
        std::uint64_t offset = 0;
        const char *end = event.id.data() + event.id.size();
        if (std::from_chars(event.id.data(), end, offset).ec != std::errc())
            return;
        const std::string token = parseTokenText(event.data);
        const StreamVerdict verdict = m_stream.session().lock()->accept(m_attempt, offset, token);
        if (verdict == StreamVerdict::Delivered)
            recordToken();
        if (verdict == StreamVerdict::Delivered)
            m_aborted = !m_stream.buffer().write("id: " + event.id + "\ndata: " + event.data
                                                 + "\n\n");
        else if (verdict != StreamVerdict::Duplicate)
            m_aborted = true;
    }

    void recordToken()
    {
        const bool first = m_stream.timing().tokens == 0;
        const Duration time = m_stream.recordToken(m_context.clock.now());
        if (first)
            m_context.metrics.recordFirstToken(m_stream.rank(), time);
        else
            m_context.metrics.recordTokenGap(m_stream.rank(), time);
    }

    NodeContext &m_context;
    ModelStream &m_stream;
    StreamAttempt m_attempt;
    SseParser m_parser;
    bool m_done = false;
    bool m_ended = false;
    bool m_aborted = false;
};

AttemptEnd classifyStatus(int status)
{
    if (status == httpBadRequest || status == httpContentTooLarge)
        return AttemptEnd::Rejected;
    return AttemptEnd::Refused;
}

AttemptResult classifyAttempt(const ModelStream &stream, const TokenReader &reader,
                              const BackendReply &reply)
{
    if (reader.isDone())
        return {.end = AttemptEnd::Completed, .reason = {}};
    if (stream.isDetached())
        return {.end = AttemptEnd::Detached, .reason = "the caller is gone"};
    if (reader.isEnded())
        return {.end = AttemptEnd::Ended, .reason = "the engine ended the run"};
    if (stream.isHandoverRequested())
        return {.end = AttemptEnd::HandedOver, .reason = "the entry node is leaving"};
    if (stream.isMoveRequested())
        return {.end = AttemptEnd::Moved, .reason = "the engine is leaving"};
    if (reply.status == CallStatus::NotSent)
        return {.end = AttemptEnd::NotSent, .reason = reply.reason};
    if (reply.status == CallStatus::Replied && reply.reply.status >= httpBadRequest)
        return {.end = classifyStatus(reply.reply.status),
                .reason = reply.reply.body,
                .pause = requestedPause(reply)};
    return {.end = AttemptEnd::Lost, .reason = reply.reason};
}

AttemptResult readStream(NodeContext &context, ModelStream &stream, const HttpCall &call,
                         const StreamAttempt &attempt)
{
    TokenReader reader(context, stream, attempt);
    const BackendReply reply = streamFromBackend(call, [&reader](std::string_view part) {
        return reader.feed(part);
    });
    return classifyAttempt(stream, reader, reply);
}

std::chrono::seconds findStreamRetention(NodeContext &context)
{
    const auto config = context.config();
    return config ? config->defaults.streamRetention : defaultStreamRetention;
}

HttpCall makeStartCall(NodeContext &context, ModelStream &stream, const BackendView &engine)
{
    auto session = stream.session().lock();
    const Continuation start {.text = session->deliveredText(), .tokens = session->nextOffset()};
    return {.method = "POST",
            .url = engine.address + "/v1/chat/completions",
            .headers = {{"Content-Type", "application/json"},
                        {"X-Request-Id", stream.engineRequestId()},
                        {"X-Attempt", std::to_string(session->attempt())},
                        {"X-Priority", std::to_string(static_cast<int>(stream.rank()))}},
            .body = makeEngineBody(stream.request(), start, findStreamRetention(context)),
            .timeout = maxRunDuration};
}

std::string makeStreamUrl(const ModelStream &stream, const AttemptEngine &engine)
{
    return makeBaseUrl(engine.address) + "/v1/streams/"
            + encodeUrlComponent(stream.engineRequestId());
}

std::string signResumeToken(NodeContext &context, ModelStream &stream)
{
    const std::chrono::milliseconds retention = findStreamRetention(context);
    ResumeToken token;
    {
        auto session = stream.session().lock();
        token.engineAddress = session->engine().address;
        token.engineId = session->engine().id;
        token.engineIncarnation = session->engine().incarnation;
        token.attempt = session->attempt();
    }
    token.requestId = stream.requestId();
    token.account = stream.account();
    token.model = stream.model();
    token.rank = stream.rank();
    token.promptTokens = static_cast<std::uint64_t>(estimateTokenCount(stream.request().prompt));
    // The token must outlive the longest run plus the time that the engine keeps the stream after
    // its connection is lost.
    token.expiry = context.clock.wallMillis() + maxRunDuration.count() + retention.count();
    return token.sign(context.settings.tokenKey);
}

} // namespace

AttemptEngine toAttemptEngine(const BackendView &view)
{
    const std::string_view address(view.address);
    const bool hasScheme = address.starts_with(urlScheme);
    const auto endpoint = parseEndpoint(hasScheme ? address.substr(urlScheme.size()) : address);
    return {.id = view.id,
            .incarnation = static_cast<std::uint64_t>(view.incarnation),
            .address = endpoint.value_or(Endpoint {})};
}

std::string makeResumeTokenEvent(NodeContext &context, ModelStream &stream, std::string_view type)
{
    const std::string token = signResumeToken(context, stream);
    const JsonPtr body(json_pack("{s:s,s:s}", "request_id", stream.requestId().c_str(),
                                 "resume_token", token.c_str()));
    return "event: " + std::string(type) + "\ndata: " + dumpJson(body.get()) + "\n\n";
}

std::string makeContinueEvent(NodeContext &context, ModelStream &stream, const std::string &address)
{
    const std::string token = signResumeToken(context, stream);
    const JsonPtr body(json_pack("{s:s,s:s,s:s}", "request_id", stream.requestId().c_str(),
                                 "resume_token", token.c_str(), "address", address.c_str()));
    return "event: continue_at\ndata: " + dumpJson(body.get()) + "\n\n";
}

AttemptResult startAttempt(NodeContext &context, ModelStream &stream, const BackendView &engine)
{
    const bool isFirst = stream.session().lock()->attempt() == 0;
    // Attempt numbers start at the wall clock time, so that two nodes which continue the same
    // resume token use different numbers.
    const auto minAttemptNumber = static_cast<std::uint64_t>(context.clock.wallMillis());
    const StreamAttempt attempt = stream.session().lock()->beginAttempt(toAttemptEngine(engine),
                                                                        minAttemptNumber);
    stream.buffer().write(makeResumeTokenEvent(context, stream, isFirst ? "accepted" : "moved"));
    const HttpCall call = makeStartCall(context, stream, engine);
    stream.countAttempt();
    AttemptResult result = readStream(context, stream, call, attempt);
    if (result.end != AttemptEnd::Lost)
        return result;
    // The run may still exist if only the connection was lost.
    return attachAttempt(context, stream, toAttemptEngine(engine), attempt.number);
}

AttemptResult attachAttempt(NodeContext &context, ModelStream &stream, const AttemptEngine &engine,
                            std::uint64_t attempt)
{
    StreamAttempt current;
    std::uint64_t from = 0;
    {
        auto session = stream.session().lock();
        current = session->continueAttempt(engine, attempt);
        from = session->nextOffset();
    }
    const HttpCall call {.method = "GET",
                         .url = makeStreamUrl(stream, engine) + "?from=" + std::to_string(from)
                                 + "&attempt=" + std::to_string(attempt),
                         .headers = {},
                         .body = {},
                         .timeout = maxRunDuration};
    AttemptResult result = readStream(context, stream, call, current);
    const bool refused = result.end == AttemptEnd::Refused || result.end == AttemptEnd::Rejected;
    if (refused || result.end == AttemptEnd::NotSent)
        result.end = AttemptEnd::Lost;
    return result;
}

std::optional<AttemptResult> transferAttempt(NodeContext &context, ModelStream &stream,
                                             const BackendView &target)
{
    AttemptEngine source;
    std::uint64_t attempt = 0;
    {
        auto session = stream.session().lock();
        source = session->engine();
        attempt = session->attempt();
    }
    const std::uint64_t next = std::max(attempt + 1,
                                        static_cast<std::uint64_t>(context.clock.wallMillis()));
    const std::string id = "?id=" + encodeUrlComponent(stream.engineRequestId()) + "&attempt=";
    const BackendReply exported = callBackend(
            {.method = "POST",
             .url = makeBaseUrl(source.address) + "/v1/kv/export" + id + std::to_string(attempt),
             .timeout = transferTimeout});
    if (exported.status != CallStatus::Replied || exported.reply.status >= httpBadRequest)
        return std::nullopt;
    const BackendReply imported = callBackend(
            {.method = "POST",
             .url = target.address + "/v1/kv/import" + id + std::to_string(next),
             .body = exported.reply.body,
             .timeout = transferTimeout});
    if (imported.status != CallStatus::Replied || imported.reply.status >= httpBadRequest)
        return std::nullopt;
    const AttemptEngine engine = toAttemptEngine(target);
    stream.session().lock()->continueAttempt(engine, next);
    stream.buffer().write(makeResumeTokenEvent(context, stream, "moved"));
    return attachAttempt(context, stream, engine, next);
}

bool cancelAttempt(ModelStream &stream)
{
    AttemptEngine engine;
    {
        auto session = stream.session().lock();
        engine = session->engine();
    }
    const HttpCall call {.method = "DELETE",
                         .url = makeStreamUrl(stream, engine),
                         .headers = {},
                         .body = {},
                         .timeout = cancelTimeout};
    const BackendReply reply = callBackend(call);
    if (reply.status != CallStatus::Replied || reply.reply.status >= httpBadRequest)
        return false;
    const JsonPtr body = parseJson(reply.reply.body);
    return !jsonBool(body.get(), "started", true);
}

} // namespace sesame
