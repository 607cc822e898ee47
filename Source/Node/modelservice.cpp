#include "Node/modelservice.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Adapter/log.h"
#include "Core/fleetfile.h"
#include "Core/handoverplanner.h"
#include "Node/requestedpause.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace sesame {

namespace {

constexpr std::chrono::milliseconds bufferReadTimeout {1000};
constexpr std::chrono::milliseconds engineChoiceRetryDelay {100};
constexpr std::chrono::minutes maxServiceDuration {30};
// Approximate KV cache size per token of a model with grouped-query attention and 16-bit values.
constexpr double kvBytesPerToken = 160'000.0;
constexpr double transferBytesPerSecond = 1.25e9; // 10 Gbit/s.
constexpr std::chrono::milliseconds transferOverhead {10};
constexpr std::chrono::seconds minReclaimNotice {5}; // Longer transfers are not attempted.

} // namespace

bool ModelService::submit(const PreparedChat &prepared, RequestResult *refusal)
{
    const Timestamp now = m_context.clock.now();
    // A caller that sends back received text has lost the connection of its earlier request.
    if (prepared.stream->hasStarted())
        detachEarlierStream(prepared.stream->account(), prepared.stream->requestId());
    if (!m_context.streams.add(prepared.stream)) {
        *refusal = makeNotRunResult({.code = ResultCode::DuplicateRequest,
                                     .text = "a request with this id is being served"});
        return false;
    }
    {
        auto admission = m_context.admission.lock();
        const auto ticket = admission->submit(prepared.item, now);
        if (ticket) {
            m_context.streams.setTicket(prepared.stream, *ticket);
            return true;
        }
        const auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(
                admission->retryAfter());
        *refusal = makeNotRunResult(lastReason(), retryAfter);
    }
    m_context.streams.remove(prepared.stream);
    return false;
}

HttpResponse ModelService::completeChat(const HttpRequest &request, const Account &account)
{
    const auto prepared = prepareChat(m_context, request, account);
    if (!prepared)
        return makeResultResponse(makeNotRunResult(lastReason()));
    const ModelStreamPtr &stream = prepared->stream;
    if (m_context.suspects.lock()->isQuarantined(stream->fingerprint())) {
        return makeResultResponse(
                makeNotRunResult({.code = ResultCode::RequestQuarantined,
                                  .text = "this request crashed two backend servers"}));
    }
    RequestResult refusal;
    if (!submit(*prepared, &refusal))
        return makeResultResponse(refusal);
    logEvent(LogLevel::Info, "request accepted",
             {{"request_id", stream->requestId()},
              {"account", stream->account()},
              {"rank", toString(stream->rank())},
              {"model", stream->model()}});
    dispatchWaiting();
    return stream->request().stream ? makeStreamResponse(stream) : makeBufferedResponse(stream);
}

HttpResponse ModelService::makeStreamResponse(const ModelStreamPtr &stream)
{
    HttpResponse response;
    response.headers = {{"Content-Type", "text/event-stream"},
                        {"Cache-Control", "no-cache"},
                        {"X-Request-Id", stream->requestId()}};
    response.bodyReader = [stream]() -> std::optional<std::string> {
        auto text = stream->buffer().read(bufferReadTimeout);
        // Writing a comment line detects a broken connection while the request waits.
        if (text && text->empty())
            return std::string(": waiting\n\n");
        return text;
    };
    response.closedHandler = [this, stream] {
        const auto config = m_context.config();
        stream->detach(config && config->defaults.cancelOnDisconnect);
    };
    return response;
}

HttpResponse ModelService::makeBufferedResponse(const ModelStreamPtr &stream)
{
    while (stream->buffer().read(bufferReadTimeout)) { }
    const RequestResult result = stream->result();
    if (result.outcome != Outcome::Complete)
        return makeResultResponse(result);
    auto session = stream->session().lock();
    const JsonPtr body(json_pack(
            "{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s#},s:s}],s:{s:I}}", "id", stream->requestId().c_str(),
            "object", "chat.completion", "model", stream->model().c_str(), "choices", "index", 0,
            "message", "role", "assistant", "content", session->deliveredText().data(),
            static_cast<int>(session->deliveredText().size()), "finish_reason", "stop", "usage",
            "completion_tokens", static_cast<json_int_t>(session->nextOffset())));
    HttpResponse response = makeJsonResponse(dumpJson(body.get()));
    response.headers.emplace_back("X-Request-Id", stream->requestId());
    addResultHeaders(&response, result);
    return response;
}

void ModelService::dispatchWaiting()
{
    const auto config = m_context.config();
    if (!config)
        return;
    for (const EnginePool &pool : groupEnginePools(*config))
        dispatchPool(*config, pool);
}

void ModelService::dispatchPool(const FleetConfig &config, const EnginePool &pool)
{
    const Timestamp now = m_context.clock.now();
    const PoolCapacity capacity = m_engineSelector.measureCapacity(
            m_engineSelector.listPoolEngines(config, pool));
    while (true) {
        ModelStreamPtr stream;
        {
            auto admission = m_context.admission.lock();
            admission->setCapacity(pool.name, capacity);
            const auto ticket = admission->takeNext(pool.name, now);
            if (!ticket)
                return;
            stream = m_context.streams.findByTicket(*ticket);
            if (!stream)
                admission->finish(*ticket, 0, now);
        }
        if (stream)
            m_context.requestWorkers.submit([this, stream] {
                runRequest(stream);
            });
    }
}

void ModelService::runRequest(const ModelStreamPtr &stream)
{
    const RequestResult result = serveRequest(stream);
    finish(stream, result);
    dispatchWaiting();
}

RequestResult ModelService::serveRequest(const ModelStreamPtr &stream)
{
    ServeState state;
    const Timestamp end = m_context.clock.now() + maxServiceDuration;
    while (m_context.clock.now() < end) {
        if (auto result = tryServe(stream, state))
            return *result;
    }
    return {.outcome = Outcome::Failed,
            .code = ResultCode::BackendTimeout,
            .reason = "the request did not complete in time"};
}

std::optional<RequestResult> ModelService::tryServe(const ModelStreamPtr &stream, ServeState &state)
{
    const bool started = stream->hasStarted();
    if (stream->isDetached())
        return finishDetached(*stream);
    if (m_context.suspects.lock()->isQuarantined(stream->fingerprint())) {
        return RequestResult {.outcome = started ? Outcome::Failed : Outcome::NotRun,
                              .code = ResultCode::RequestQuarantined,
                              .reason = "this request crashed two backend servers"};
    }
    if (stream->isHandoverRequested()) {
        if (auto result = handOver(*stream))
            return result;
    }
    const auto engine = m_engineSelector.choose(*stream, state.excluded);
    if (!engine) {
        state.excluded.clear();
        std::this_thread::sleep_for(engineChoiceRetryDelay);
        return std::nullopt;
    }
    const AttemptResult attempt = runAttempt(*stream, *engine, std::exchange(state.moving, false));
    switch (attempt.end) {
    case AttemptEnd::Completed:
        return RequestResult {.outcome = Outcome::Complete, .code = ResultCode::Ok};
    case AttemptEnd::Rejected:
        return RequestResult {.outcome = Outcome::Failed,
                              .code = ResultCode::BackendFailed,
                              .reason = "the backend server rejected the request"};
    case AttemptEnd::Detached:
        return finishDetached(*stream);
    case AttemptEnd::Moved:
        stream->clearMoveRequest();
        state.moving = true;
        return std::nullopt;
    case AttemptEnd::HandedOver:
        return std::nullopt;
    case AttemptEnd::Lost:
        m_crashDetector.checkEngine(*engine);
        break;
    case AttemptEnd::NotSent:
    case AttemptEnd::Refused:
    case AttemptEnd::Ended:
        state.excluded.insert(engine->id);
        break;
    }
    logEvent(LogLevel::Warning, "attempt ended early",
             {{"request_id", stream->requestId()},
              {"account", stream->account()},
              {"engine", engine->id},
              {"reason", attempt.reason}});
    waitBeforeRetry(state.backoff);
    return std::nullopt;
}

RequestResult ModelService::finishDetached(ModelStream &stream)
{
    if (!stream.hasStarted()) {
        return {.outcome = Outcome::NotRun,
                .code = ResultCode::CancelledBeforeStart,
                .reason = "the caller is gone"};
    }
    const bool cancelled = stream.isCancelled() && cancelAttempt(stream);
    // Even if this engine never started the request, an earlier attempt may have run on another
    // engine.
    const bool neverRan = cancelled && stream.hasSingleAttempt();
    return {.outcome = neverRan ? Outcome::NotRun : Outcome::Unknown,
            .code = neverRan ? ResultCode::CancelledBeforeStart : ResultCode::Cancelled,
            .reason = "the caller is gone"};
}

void ModelService::waitBeforeRetry(Backoff &backoff)
{
    const bool withinBudget = m_context.retryBudget.lock()->tryRetry();
    thread_local std::mt19937_64 generator(makeRandomSeed());
    const Duration delay = backoff.nextDelay(generator);
    // Accepted requests are always retried. Without retry budget, the longest delay applies.
    std::this_thread::sleep_for(withinBudget ? delay : BackoffOptions().maxBound);
}

AttemptResult ModelService::runAttempt(ModelStream &stream, const BackendView &engine, bool moving)
{
    m_crashDetector.beginRun(engine, stream.fingerprint());
    std::optional<AttemptResult> transferred;
    if (moving && shouldTransfer(stream, engine))
        transferred = transferAttempt(m_context, stream, engine);
    AttemptResult result = transferred ? *transferred : startAttempt(m_context, stream, engine);
    const bool lost = result.end == AttemptEnd::Lost;
    if (lost)
        m_crashDetector.checkEngine(engine);
    m_crashDetector.endRun(engine, stream.fingerprint());
    const bool isEngineFault = lost || result.end == AttemptEnd::NotSent;
    const bool good = result.end == AttemptEnd::Completed;
    const HealthResult health = good ? HealthResult::Success
            : isEngineFault          ? HealthResult::Failure
                                     : HealthResult::Neutral;
    const Timestamp now = m_context.clock.now();
    m_context.backends.lock()->endCall(engine.id, engine.incarnation, health, now);
    recordRequestedPause(m_context, engine, result.pause);
    return result;
}

std::optional<RequestResult> ModelService::handOver(ModelStream &stream)
{
    const std::string peer = stream.takeHandoverTarget();
    stream.session().lock()->endAttempt();
    const auto address = m_handovers.handOver(stream, peer);
    if (!address)
        return std::nullopt;
    logEvent(LogLevel::Info, "request handed over",
             {{"request_id", stream.requestId()}, {"account", stream.account()}, {"peer", peer}});
    return RequestResult {.outcome = Outcome::Unknown,
                          .code = ResultCode::NodeLeaving,
                          .reason = "continue at " + *address};
}

void ModelService::handOverAll()
{
    const std::vector<ModelStreamPtr> streams = m_context.streams.all();
    m_handovers.chooseTargets(streams);
    for (const ModelStreamPtr &stream : streams) {
        const bool waiting = m_context.admission.lock()->cancel(stream->ticket())
                == CancelResult::Cancelled;
        if (waiting)
            m_context.requestWorkers.submit([this, stream] {
                runRequest(stream);
            });
    }
}

bool ModelService::shouldTransfer(ModelStream &stream, const BackendView &target)
{
    EngineMove move;
    move.requestId = stream.requestId();
    move.rank = stream.rank();
    move.isTextKnown = stream.hasPrompt();
    const auto delivered = stream.session().lock()->nextOffset();
    const auto promptTokens = static_cast<std::uint64_t>(
            estimateTokenCount(stream.request().prompt));
    const auto maxTokens = static_cast<std::uint64_t>(stream.request().maxTokens);
    move.contextTokens = promptTokens + delivered;
    move.remainingTokens = maxTokens - std::min(maxTokens, delivered);
    MoveCosts costs;
    costs.kvBytesPerToken = kvBytesPerToken;
    costs.transferBytesPerSecond = transferBytesPerSecond;
    costs.transferOverhead = transferOverhead;
    costs.prefillTokensPerSecond = target.report ? target.report->prefillTokensPerSecond : 0.0;
    costs.tokenTime = std::chrono::milliseconds(1);
    const auto plan = planEngineMoves(std::span(&move, 1), costs, minReclaimNotice);
    return plan.front().method == MoveMethod::Transfer;
}

void ModelService::moveRequestsOff(std::string_view id)
{
    for (const ModelStreamPtr &stream : m_context.streams.all()) {
        const std::string engine = stream->session().lock()->engine().id;
        if (engine == id)
            stream->requestMove();
    }
}

void ModelService::finish(const ModelStreamPtr &stream, const RequestResult &result)
{
    const Timestamp now = m_context.clock.now();
    const auto tokens = static_cast<std::uint32_t>(stream->session().lock()->nextOffset());
    if (stream->ticket() != 0)
        m_context.admission.lock()->finish(stream->ticket(), tokens, now);
    if (result.outcome == Outcome::Complete) {
        m_context.suspects.lock()->recordCompletion(stream->fingerprint(), now);
        m_context.retryBudget.lock()->recordSuccess();
    } else {
        // Otherwise other nodes would wait for the outcome on this node before they run the
        // suspect.
        m_context.suspects.lock()->withdraw(stream->fingerprint(), now);
    }
    m_context.streams.remove(stream);
    recordServiceLevel(*stream, result);
    stream->finish(result);
    logEvent(LogLevel::Info, "request ended",
             {{"request_id", stream->requestId()},
              {"account", stream->account()},
              {"rank", toString(stream->rank())},
              {"outcome", toString(result.outcome)},
              {"code", static_cast<std::int64_t>(result.code)},
              {"tokens", static_cast<std::int64_t>(tokens)}});
}

void ModelService::recordServiceLevel(ModelStream &stream, const RequestResult &result)
{
    m_context.metrics.recordResult(stream.rank(), result.code);
    const auto config = m_context.config();
    // A request that continues on another node is counted by the node that ends it.
    if (!config || stream.isHandedOver() || stream.isDetached())
        return;
    const RankPolicy &policy = config->ranks[static_cast<std::size_t>(stream.rank())];
    const StreamTiming timing = stream.timing();
    const bool good = result.outcome == Outcome::Complete
            && timing.timeToFirstToken <= policy.firstTokenTarget
            && timing.meanTokenGap() <= policy.tokenGapTarget;
    m_context.burnAccumulator.lock()->record(m_context.clock.now(), stream.rank(), stream.model(),
                                             good);
}

HttpResponse ModelService::resume(const HttpRequest &request, const Account &account)
{
    const auto offset = parseOffset(request.query("from"));
    if (!offset)
        return makeResultResponse(makeNotRunResult(
                {.code = ResultCode::MalformedRequest, .text = "from: must be a token offset"}));
    const auto token = ResumeToken::verify(request.query("token").value_or(""),
                                           m_context.settings.tokenKey, account.name,
                                           m_context.clock.wallMillis());
    if (!token)
        return makeResultResponse(makeNotRunResult(lastReason()));
    const ModelStreamPtr earlier = detachEarlierStream(account.name, token->requestId);
    const ModelStreamPtr stream = makeResumedStream(*token, *offset, earlier);
    m_context.streams.add(stream);
    m_context.requestWorkers.submit([this, stream, token = *token] {
        reattachToEngine(stream, token);
    });
    return makeStreamResponse(stream);
}

ModelStreamPtr ModelService::detachEarlierStream(const std::string &account,
                                                 const std::string &requestId)
{
    ModelStreamPtr earlier = m_context.streams.find(account, requestId);
    if (earlier) {
        earlier->detach(false);
        earlier->session().lock()->endAttempt();
        m_context.streams.remove(earlier);
    }
    return earlier;
}

ModelStreamPtr ModelService::makeResumedStream(const ResumeToken &token, std::uint64_t offset,
                                               const ModelStreamPtr &earlier)
{
    ModelStreamOptions options {.account = token.account,
                                .requestId = token.requestId,
                                .rank = token.rank,
                                .start = {.requestId = token.requestId,
                                          .account = token.account,
                                          .lastAttempt = token.attempt,
                                          .offset = offset,
                                          .text = {}},
                                .arrivedAt = m_context.clock.now()};
    const auto handedOver = m_handovers.takeRequest(token.account, token.requestId);
    if (handedOver && handedOver->deliveredTokens == static_cast<std::int64_t>(offset)) {
        if (auto chat = parseChatRequest(handedOver->body))
            options.request = std::move(*chat);
        options.start.text = handedOver->deliveredText;
        options.start.lastAttempt = std::max(token.attempt,
                                             static_cast<std::uint64_t>(handedOver->attempt));
    }
    if (earlier && earlier->hasPrompt()) {
        auto session = earlier->session().lock();
        // The prompt can only be used together with exactly the text that the caller received.
        if (session->nextOffset() == offset && session->hasText()) {
            options.request = earlier->request();
            options.start.text = session->deliveredText();
        }
    }
    options.request.model = token.model;
    options.request.stream = true;
    return std::make_shared<ModelStream>(std::move(options));
}

AttemptResult ModelService::transferWithoutPrompt(ModelStream &stream)
{
    AttemptResult lost {.end = AttemptEnd::Lost, .reason = "the engine is leaving"};
    stream.clearMoveRequest();
    if (stream.hasPrompt())
        return lost;
    const auto target = m_engineSelector.choose(stream, {});
    if (!target)
        return lost;
    const auto result = transferAttempt(m_context, stream, *target);
    m_context.backends.lock()->endCall(target->id, target->incarnation, HealthResult::Neutral,
                                       m_context.clock.now());
    return result ? *result : lost;
}

void ModelService::reattachToEngine(const ModelStreamPtr &stream, const ResumeToken &token)
{
    const AttemptEngine engine {.id = token.engineId,
                                .incarnation = token.engineIncarnation,
                                .address = token.engineAddress};
    AttemptResult attempt = attachAttempt(m_context, *stream, engine, token.attempt);
    while (attempt.end == AttemptEnd::Moved)
        attempt = transferWithoutPrompt(*stream);
    if (attempt.end == AttemptEnd::Completed) {
        finish(stream, {.outcome = Outcome::Complete, .code = ResultCode::Ok});
        return;
    }
    if (stream->hasPrompt()) {
        finish(stream, serveRequest(stream));
        return;
    }
    // Without the prompt, this node cannot run the request on another engine. The caller must send
    // the request again under its id with the text that it received.
    finish(stream,
           {.outcome = Outcome::Unknown,
            .code = ResultCode::RequestNotFound,
            .reason
            = "the engine no longer has the request; send it again with the text received"});
}

} // namespace sesame
