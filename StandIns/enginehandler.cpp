#include "enginehandler.h"

#include "Adapter/json.h"
#include "Adapter/systemclock.h"

#include <algorithm>
#include <charconv>

namespace sesame {

namespace {

constexpr std::uint64_t defaultMaxTokens = 256;
constexpr std::uint64_t maxAnswerTokens = 100'000;
// A comment line written while no token is ready detects whether the reader is still connected.
constexpr Duration commentInterval = std::chrono::seconds(1);

std::optional<std::uint64_t> parseNumber(const std::optional<std::string> &text)
{
    if (!text)
        return std::nullopt;
    std::uint64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [rest, ec] = std::from_chars(text->data(), end, value);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return value;
}

HttpResponse makeJsonResponse(int status, const json_t *value)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = dumpJson(value),
            .bodyReader = {},
            .closedHandler = {}};
}

HttpResponse makeErrorResponse(int status, const char *reason)
{
    const JsonPtr body(json_pack("{s:s}", "error", reason));
    return makeJsonResponse(status, body.get());
}

std::string formatChunk(const EngineStream &stream, std::uint64_t index, const std::string &token)
{
    const bool last = index + 1 == stream.endIndex;
    const JsonPtr chunk(json_pack(
            "{s:s,s:s,s:s,s:[{s:i,s:{s:s},s:s?}]}", "id", stream.key.first.c_str(), "object",
            "chat.completion.chunk", "model", stream.model.c_str(), "choices", "index", 0, "delta",
            "content", token.c_str(), "finish_reason", last ? "stop" : nullptr));
    return "id: " + std::to_string(index) + "\ndata: " + dumpJson(chunk.get()) + "\n\n";
}

EngineStreamPtr readChatRequest(const HttpRequest &request, const json_t *body,
                                std::string fallbackId)
{
    auto stream = std::make_shared<EngineStream>();
    stream->key.first = request.header("X-Request-Id").value_or(std::move(fallbackId));
    stream->key.second = parseNumber(request.header("X-Attempt")).value_or(0);
    stream->priority = static_cast<unsigned>(parseNumber(request.header("X-Priority")).value_or(1));
    stream->prompt = readPrompt(body);
    stream->model = jsonString(body, "model");
    stream->nextIndex = stream->prompt.startIndex;
    const auto maxTokens = static_cast<std::uint64_t>(
            std::max<std::int64_t>(1, jsonInteger(body, "max_tokens", defaultMaxTokens)));
    stream->endIndex = stream->nextIndex + std::min(maxTokens, maxAnswerTokens);
    stream->keepTime = std::chrono::seconds(
            std::clamp<std::int64_t>(jsonInteger(body, "keep_seconds"), 0, 3600));
    return stream;
}

/*!
    Reads the events of one stream for one connection.
*/
class StreamReader
{
public:
    StreamReader(EngineScheduler *scheduler, EngineStreamPtr stream, std::uint64_t from)
        : m_scheduler(scheduler), m_stream(std::move(stream)), m_index(from)
    {
    }

    std::optional<std::string> read()
    {
        if (m_ended)
            return std::nullopt;
        const EngineRead result = m_scheduler->read(m_stream, m_index, commentInterval);
        switch (result.status) {
        case EngineRead::Status::Token:
            return formatChunk(*m_stream, m_index++, result.token);
        case EngineRead::Status::Waiting:
            return ": waiting\n\n";
        case EngineRead::Status::Finished:
            m_ended = true;
            return "data: [DONE]\n\n";
        case EngineRead::Status::Lost:
            break;
        }
        m_ended = true;
        return "event: ended\ndata: {\"reason\":\"cancelled or exported\"}\n\n";
    }

private:
    EngineScheduler *m_scheduler;
    EngineStreamPtr m_stream;
    std::uint64_t m_index;
    bool m_ended = false;
};

} // namespace

HttpResponse EngineHandler::handle(const HttpRequest &request)
{
    const bool post = request.method == "POST";
    if (post && request.path == "/v1/chat/completions")
        return handleChatRequest(request);
    if (request.path.starts_with("/v1/streams/"))
        return handleStreamRequest(request);
    if (request.path == "/v1/load")
        return reportLoad();
    if (request.path == "/v1/cache_events")
        return reportCacheEvents(request);
    if (post && request.path == "/v1/kv/export")
        return exportState(request);
    if (post && request.path == "/v1/kv/import")
        return importState(request);
    if (post && request.path == "/v1/orders")
        return handleOrder(request);
    if (post && request.path == "/control")
        return handleControl(request);
    if (request.path == "/control/executions")
        return reportExecutions();
    return makeErrorResponse(404, "no such path");
}

HttpResponse EngineHandler::handleChatRequest(const HttpRequest &request)
{
    if (m_leaving)
        return makeErrorResponse(503, "leaving");
    const JsonPtr body = parseJson(request.body);
    if (!json_is_array(json_object_get(body.get(), "messages")))
        return makeErrorResponse(400, "the body has no messages");
    const std::string model = jsonString(body.get(), "model");
    if (!servesModel(model))
        return makeErrorResponse(404, "model not loaded");
    const EngineStreamPtr stream = readChatRequest(request, body.get(),
                                                   "local-" + std::to_string(m_nextId++));
    m_scheduler.attach(stream);
    if (!m_scheduler.submit(stream))
        return makeErrorResponse(409, "request id and attempt are in use or cancelled");
    if (jsonBool(body.get(), "stream"))
        return makeStreamResponse(stream, stream->prompt.startIndex);
    return makeCompleteResponse(stream);
}

HttpResponse EngineHandler::handleStreamRequest(const HttpRequest &request)
{
    const std::string id = request.path.substr(std::string_view("/v1/streams/").size());
    const auto attempt = parseNumber(request.query("attempt"));
    if (request.method == "DELETE") {
        const CancelResult result = m_scheduler.cancel(id, attempt);
        if (result == CancelResult::Unknown)
            return makeErrorResponse(503, "too many cancelled requests are remembered");
        const bool started = result == CancelResult::AfterStart;
        const JsonPtr body(json_pack("{s:b}", "started", started ? 1 : 0));
        return makeJsonResponse(200, body.get());
    }
    const EngineStreamPtr stream = m_scheduler.find(id, attempt);
    if (!stream)
        return makeErrorResponse(404, "no such stream");
    const std::uint64_t from = parseNumber(request.query("from")).value_or(0);
    if (from < stream->prompt.startIndex || from > stream->endIndex)
        return makeErrorResponse(400, "from is outside this stream");
    m_scheduler.attach(stream);
    return makeStreamResponse(stream, from);
}

HttpResponse EngineHandler::makeStreamResponse(const EngineStreamPtr &stream, std::uint64_t from)
{
    auto reader = std::make_shared<StreamReader>(&m_scheduler, stream, from);
    return {.status = 200,
            .headers = {{"Content-Type", "text/event-stream"}},
            .body = {},
            .bodyReader =
                    [reader] {
                        return reader->read();
                    },
            .closedHandler =
                    [this, stream] {
                        m_scheduler.detach(stream);
                    }};
}

HttpResponse EngineHandler::makeCompleteResponse(const EngineStreamPtr &stream)
{
    EngineRead lastRead;
    do {
        lastRead = m_scheduler.read(stream, stream->endIndex, commentInterval);
    } while (lastRead.status == EngineRead::Status::Waiting);
    m_scheduler.detach(stream);
    if (lastRead.status != EngineRead::Status::Finished)
        return makeErrorResponse(503, "cancelled or exported");
    const std::uint64_t from = stream->prompt.startIndex;
    const std::string text = tokenText(stream->prompt.hash, from, stream->endIndex);
    const auto promptTokens = static_cast<json_int_t>(stream->prompt.tokenCount);
    const auto answerTokens = static_cast<json_int_t>(stream->endIndex - from);
    const JsonPtr body(json_pack(
            "{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I,s:I}}", "id", stream->key.first.c_str(),
            "object", "chat.completion", "model", stream->model.c_str(), "choices", "index", 0,
            "message", "role", "assistant", "content", text.c_str(), "finish_reason", "stop",
            "usage", "prompt_tokens", promptTokens, "completion_tokens", answerTokens));
    return makeJsonResponse(200, body.get());
}

HttpResponse EngineHandler::reportLoad()
{
    const EngineLoad load = m_scheduler.load();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(SystemClock().now()
                                                                           - load.time);
    const JsonPtr models(json_array());
    {
        const std::scoped_lock lock(m_ordersMutex);
        for (const std::string &model : m_models)
            json_array_append_new(models.get(), json_string(model.c_str()));
    }
    const JsonPtr body(json_pack(
            "{s:I,s:I,s:I,s:I,s:f,s:f,s:O,s:b,s:I}", "incarnation",
            static_cast<json_int_t>(m_options.incarnation), "queued",
            static_cast<json_int_t>(load.queued), "running", static_cast<json_int_t>(load.running),
            "slots", static_cast<json_int_t>(m_options.slotCount), "token_ms",
            m_options.tokenMillis, "prefill_tokens_per_s", m_options.prefillTokensPerSecond,
            "models", models.get(), "leaving", m_leaving ? 1 : 0, "age_ms",
            static_cast<json_int_t>(age.count())));
    return makeJsonResponse(200, body.get());
}

HttpResponse EngineHandler::reportCacheEvents(const HttpRequest &request)
{
    std::uint64_t sequence = parseNumber(request.query("after")).value_or(0);
    const JsonPtr events(json_array());
    for (const EngineCacheEvent &event : m_scheduler.cacheEventsAfter(sequence)) {
        sequence = event.sequence;
        std::array<char, 17> block {};
        std::snprintf(block.data(), block.size(), "%016llx",
                      static_cast<unsigned long long>(event.block));
        json_array_append_new(events.get(),
                              json_pack("{s:I,s:s,s:s}", "sequence",
                                        static_cast<json_int_t>(event.sequence), "op",
                                        event.isAdded ? "add" : "evict", "block", block.data()));
    }
    const JsonPtr body(json_pack("{s:I,s:O}", "sequence", static_cast<json_int_t>(sequence),
                                 "events", events.get()));
    return makeJsonResponse(200, body.get());
}

HttpResponse EngineHandler::exportState(const HttpRequest &request)
{
    const std::string id = request.query("id").value_or("");
    const EngineStreamPtr stream = m_scheduler.find(id, parseNumber(request.query("attempt")));
    if (!stream || !m_scheduler.stopForExport(stream))
        return makeErrorResponse(404, "no such open stream");
    // The block hashes represent the cached state, so the importing engine counts them as cached.
    const JsonPtr blocks(json_array());
    for (const std::uint64_t block : stream->prompt.blockHashes)
        json_array_append_new(blocks.get(), json_integer(static_cast<json_int_t>(block)));
    const JsonPtr body(
            json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:I,s:I,s:O}", "hash",
                      static_cast<json_int_t>(stream->prompt.hash), "start",
                      static_cast<json_int_t>(stream->prompt.startIndex), "tokens",
                      static_cast<json_int_t>(stream->prompt.tokenCount), "bytes",
                      static_cast<json_int_t>(stream->prompt.byteCount), "next",
                      static_cast<json_int_t>(stream->nextIndex), "end",
                      static_cast<json_int_t>(stream->endIndex), "model", stream->model.c_str(),
                      "priority", static_cast<json_int_t>(stream->priority), "keep",
                      static_cast<json_int_t>(stream->keepTime.count()), "blocks", blocks.get()));
    HttpResponse response = makeJsonResponse(200, body.get());
    response.headers = {{"Content-Type", "application/octet-stream"}};
    return response;
}

HttpResponse EngineHandler::importState(const HttpRequest &request)
{
    if (m_leaving)
        return makeErrorResponse(503, "leaving");
    const JsonPtr body = parseJson(request.body);
    const auto id = request.query("id");
    if (!id || !json_is_array(json_object_get(body.get(), "blocks")))
        return makeErrorResponse(400, "not an exported state");
    auto stream = std::make_shared<EngineStream>();
    const auto readNumber = [&body](const char *key) {
        return static_cast<std::uint64_t>(jsonInteger(body.get(), key));
    };
    stream->key = {*id, parseNumber(request.query("attempt")).value_or(0)};
    stream->prompt.hash = readNumber("hash");
    stream->prompt.startIndex = readNumber("start");
    stream->prompt.tokenCount = readNumber("tokens");
    stream->prompt.byteCount = readNumber("bytes");
    stream->nextIndex = readNumber("next");
    stream->endIndex = readNumber("end");
    stream->model = jsonString(body.get(), "model");
    stream->priority = static_cast<unsigned>(readNumber("priority"));
    stream->keepTime = std::chrono::seconds(readNumber("keep"));
    stream->isPrefilled = true;
    const json_t *blocks = json_object_get(body.get(), "blocks");
    for (std::size_t n = 0; n < json_array_size(blocks); ++n) {
        const json_int_t block = json_integer_value(json_array_get(blocks, n));
        stream->prompt.blockHashes.push_back(static_cast<std::uint64_t>(block));
    }
    if (!m_scheduler.submit(stream))
        return makeErrorResponse(409, "request id and attempt are in use or cancelled");
    const JsonPtr reply(json_pack("{s:I}", "next", static_cast<json_int_t>(stream->nextIndex)));
    return makeJsonResponse(200, reply.get());
}

HttpResponse EngineHandler::handleOrder(const HttpRequest &request)
{
    const JsonPtr body = parseJson(request.body);
    const std::string order = jsonString(body.get(), "order");
    const std::string argument = jsonString(body.get(), "argument");
    const std::int64_t fencingNumber = jsonInteger(body.get(), "fencing");
    const std::scoped_lock lock(m_ordersMutex);
    if (m_options.checksFencingNumbers && fencingNumber < m_highestFencingNumber)
        return makeErrorResponse(409, "old fencing number");
    if (order == "load_model"
        && std::find(m_models.begin(), m_models.end(), argument) == m_models.end())
        m_models.push_back(argument);
    else if (order == "unload_model")
        std::erase(m_models, argument);
    else if (order == "set_role")
        m_role = argument;
    else if (order != "load_model" && order != "load_adapter" && order != "load_version")
        return makeErrorResponse(400, "unknown order");
    m_highestFencingNumber = std::max(m_highestFencingNumber, fencingNumber);
    const JsonPtr reply(
            json_pack("{s:I}", "fencing", static_cast<json_int_t>(m_highestFencingNumber)));
    return makeJsonResponse(200, reply.get());
}

HttpResponse EngineHandler::handleControl(const HttpRequest &request)
{
    const JsonPtr body = parseJson(request.body);
    m_leaving = jsonBool(body.get(), "leaving", m_leaving);
    const JsonPtr reply(json_pack("{s:b}", "leaving", m_leaving ? 1 : 0));
    return makeJsonResponse(200, reply.get());
}

HttpResponse EngineHandler::reportExecutions()
{
    const JsonPtr executions(json_object());
    for (const auto &[id, count] : m_scheduler.executionCounts())
        json_object_set_new(executions.get(), id.c_str(),
                            json_integer(static_cast<json_int_t>(count)));
    const auto [computed, cached] = m_scheduler.prefillTokenCounts();
    const JsonPtr body(json_pack("{s:O,s:I,s:I}", "executions", executions.get(),
                                 "prefilled_tokens", static_cast<json_int_t>(computed),
                                 "cached_tokens", static_cast<json_int_t>(cached)));
    return makeJsonResponse(200, body.get());
}

bool EngineHandler::servesModel(const std::string &model)
{
    const std::scoped_lock lock(m_ordersMutex);
    return m_models.empty() || std::find(m_models.begin(), m_models.end(), model) != m_models.end();
}

} // namespace sesame
