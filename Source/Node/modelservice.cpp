#include "Node/modelservice.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Adapter/log.h"
#include "Core/fleetfile.h"
#include "Core/handoverplanner.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace sesame {

namespace {

constexpr std::size_t longestRequestId = 64;
constexpr std::chrono::milliseconds readWait {1000};
constexpr std::chrono::milliseconds engineCheckTimeout {500};
constexpr std::chrono::milliseconds suspectPause {100};
constexpr std::chrono::minutes longestService {30};
// A model with grouped-query attention and 16-bit values stores about this much per token.
constexpr double kvBytesPerToken = 160'000.0;
constexpr double transferBytesPerSecond = 1.25e9; // 10 Gbit/s.
constexpr std::chrono::milliseconds transferOverhead {10};
constexpr std::chrono::seconds shortestNotice {5}; // Transfers that need longer are not tried.

std::string incarnationOf(const BackendView &engine)
{
    return engine.id + "#" + std::to_string(engine.incarnation);
}

bool isValidRequestId(std::string_view id)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !id.empty() && id.size() <= longestRequestId
            && std::all_of(id.begin(), id.end(), allowed);
}

std::string newRequestId()
{
    return "r" + std::to_string(randomSeed());
}

std::optional<std::uint64_t> parseOffset(const std::optional<std::string> &text)
{
    if (!text)
        return 0;
    std::uint64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [rest, ec] = std::from_chars(text->data(), end, value);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return value;
}

const Model *findModel(const FleetConfig &config, std::string_view name)
{
    for (const Model &model : config.models) {
        if (model.name == name)
            return &model;
    }
    return nullptr;
}

} // namespace

std::optional<Rank> ModelService::chooseRank(const HttpRequest &request, const Account &account,
                                             const Model &model) const
{
    Rank rank = model.rank;
    if (const auto claimed = request.header("X-Rank")) {
        const auto parsed = parseRank(*claimed);
        if (!parsed)
            return fail(ResultCode::MalformedRequest,
                        "X-Rank: allowed are urgent, standard and batch");
        rank = *parsed;
    }
    if (std::find(account.ranks.begin(), account.ranks.end(), rank) == account.ranks.end())
        return fail(ResultCode::RankNotGranted, "the account may not use this rank");
    return rank;
}

std::optional<ModelService::PreparedRequest> ModelService::prepare(const HttpRequest &request,
                                                                   const Account &account)
{
    const auto config = m_context.config();
    auto chat = parseChatRequest(request.body);
    if (!chat)
        return std::nullopt;
    const Model *model = findModel(*config, chat->model);
    if (!model)
        return fail(ResultCode::UnknownModel, "model: " + chat->model + " is not declared");
    const auto rank = chooseRank(request, account, *model);
    if (!rank)
        return std::nullopt;
    const std::string requestId = request.header("X-Request-Id").value_or(newRequestId());
    if (!isValidRequestId(requestId))
        return fail(ResultCode::MalformedRequest,
                    "X-Request-Id: allowed are 1 to 64 letters, digits, '-', '_' and '.'");
    const auto offset = parseOffset(request.header("X-Resume-From"));
    if (!offset || (*offset > 0) != !chat->receivedText.empty())
        return fail(ResultCode::MalformedRequest,
                    "X-Resume-From: must count the tokens of the last assistant message");
    WorkItem item;
    item.pool = chat->model;
    item.rank = *rank;
    item.account = account.name;
    item.accountShare = account.share;
    item.promptTokens = static_cast<std::uint32_t>(estimateTokens(chat->prompt));
    item.outputTokens = static_cast<std::uint32_t>(chat->maxTokens);
    item.deadline = m_context.clock.now()
            + config->ranks[static_cast<std::size_t>(*rank)].queueLimit;
    StreamStart start {.requestId = requestId,
                       .account = account.name,
                       .lastAttempt = 0,
                       .offset = *offset,
                       .text = chat->receivedText};
    auto stream = std::make_shared<ModelStream>(ModelStreamOptions {.account = account.name,
                                                                    .requestId = requestId,
                                                                    .rank = *rank,
                                                                    .request = std::move(*chat),
                                                                    .start = std::move(start)});
    return PreparedRequest {.stream = std::move(stream), .item = std::move(item)};
}

bool ModelService::submit(const PreparedRequest &prepared, RequestResult *refusal)
{
    const Timestamp now = m_context.clock.now();
    if (!m_context.streams.add(prepared.stream)) {
        *refusal = notRun({.code = ResultCode::DuplicateRequest,
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
        *refusal = notRun(lastReason(), retryAfter);
    }
    m_context.streams.remove(prepared.stream);
    return false;
}

HttpResponse ModelService::complete(const HttpRequest &request, const Account &account)
{
    const auto prepared = prepare(request, account);
    if (!prepared)
        return answerWith(notRun(lastReason()));
    const ModelStreamPtr &stream = prepared->stream;
    if (m_context.suspects.lock()->isQuarantined(stream->fingerprint())) {
        return answerWith(notRun({.code = ResultCode::RequestQuarantined,
                                  .text = "this request crashed two backend servers"}));
    }
    RequestResult refusal;
    if (!submit(*prepared, &refusal))
        return answerWith(refusal);
    logEvent(LogLevel::Info, "request accepted",
             {{"request_id", stream->requestId()},
              {"account", stream->account()},
              {"rank", toString(stream->rank())},
              {"model", stream->model()}});
    dispatchWaiting();
    return stream->request().stream ? respond(stream) : collect(stream);
}

HttpResponse ModelService::respond(const ModelStreamPtr &stream)
{
    HttpResponse response;
    response.headers = {{"Content-Type", "text/event-stream"},
                        {"Cache-Control", "no-cache"},
                        {"X-Request-Id", stream->requestId()}};
    response.reader = [stream]() -> std::optional<std::string> {
        auto text = stream->buffer().read(readWait);
        // A comment line lets a dead connection be noticed while the request waits.
        if (text && text->empty())
            return std::string(": waiting\n\n");
        return text;
    };
    response.closed = [this, stream] {
        const auto config = m_context.config();
        stream->detach(config && config->defaults.cancelOnDisconnect);
    };
    return response;
}

HttpResponse ModelService::collect(const ModelStreamPtr &stream)
{
    while (stream->buffer().read(readWait)) { }
    const RequestResult result = stream->result();
    if (result.outcome != Outcome::Complete)
        return answerWith(result);
    auto session = stream->session().lock();
    const JsonPtr body(json_pack(
            "{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s#},s:s}],s:{s:I}}", "id", stream->requestId().c_str(),
            "object", "chat.completion", "model", stream->model().c_str(), "choices", "index", 0,
            "message", "role", "assistant", "content", session->resumePrefix().data(),
            static_cast<int>(session->resumePrefix().size()), "finish_reason", "stop", "usage",
            "completion_tokens", static_cast<json_int_t>(session->nextOffset())));
    HttpResponse response = answerJson(dumpJson(body.get()));
    response.headers.emplace_back("X-Request-Id", stream->requestId());
    addResultHeaders(&response, result);
    return response;
}

PoolCapacity ModelService::measureCapacity(const std::vector<BackendView> &engines)
{
    PoolCapacity capacity;
    capacity.liveNodes = m_context.liveNodes();
    for (const EngineView &engine : makeEngineViews(engines)) {
        const std::uint32_t used = engine.queued + engine.running;
        capacity.fleetSlots += engine.slots;
        capacity.fleetFree += engine.slots > used ? engine.slots - used : 0;
    }
    return capacity;
}

std::vector<EngineView> ModelService::makeEngineViews(const std::vector<BackendView> &engines) const
{
    std::vector<EngineView> views;
    const auto config = m_context.config();
    for (const BackendView &engine : engines) {
        EngineView view;
        view.id = engine.id;
        view.zone = engine.zone;
        view.pricePerHour = engine.pricePerHour;
        view.zoneRisk = engine.market == Market::Reclaimable ? 1.0 : 0.0;
        for (const BackendClass &backendClass : config->backendClasses) {
            if (backendClass.name == engine.className)
                view.slots = backendClass.slots;
        }
        if (engine.report) {
            view.slots = engine.report->slots;
            view.queued = engine.report->queued;
            view.running = engine.report->running;
            view.tokenMs = engine.report->tokenMillis;
            view.prefillTokensPerSecond = engine.report->prefillTokensPerSecond;
        }
        view.ownInFlight = engine.inFlight;
        view.ownReported = engine.inFlight - std::min(engine.inFlight, engine.sentSinceReport);
        view.reportAge = engine.reportAge;
        views.push_back(std::move(view));
    }
    return views;
}

void ModelService::dispatchWaiting()
{
    const auto config = m_context.config();
    if (!config)
        return;
    for (const Model &model : config->models)
        dispatchPool(model);
}

void ModelService::dispatchPool(const Model &model)
{
    const Timestamp now = m_context.clock.now();
    const auto engines = m_context.backends.lock()->usableEngines(model.name, model.backendClasses,
                                                                  now);
    const PoolCapacity capacity = measureCapacity(engines);
    while (true) {
        ModelStreamPtr stream;
        {
            auto admission = m_context.admission.lock();
            admission->setCapacity(model.name, capacity);
            const auto ticket = admission->takeNext(model.name, now);
            if (!ticket)
                return;
            stream = m_context.streams.findByTicket(*ticket);
            if (!stream)
                admission->finish(*ticket, 0, now);
        }
        if (stream)
            m_context.workers.submit([this, stream] {
                run(stream);
            });
    }
}

void ModelService::run(const ModelStreamPtr &stream)
{
    const RequestResult result = serve(stream);
    finish(stream, result);
    dispatchWaiting();
}

RequestResult ModelService::serve(const ModelStreamPtr &stream)
{
    ServeState state;
    const Timestamp end = m_context.clock.now() + longestService;
    while (m_context.clock.now() < end) {
        if (auto result = serveOnce(stream, state))
            return *result;
    }
    return {.outcome = Outcome::Failed,
            .code = ResultCode::BackendTimeout,
            .reason = "the request did not complete in time"};
}

std::optional<RequestResult> ModelService::serveOnce(const ModelStreamPtr &stream,
                                                     ServeState &state)
{
    const bool started = stream->hasStarted();
    if (stream->isDetached())
        return endDetached(*stream);
    if (m_context.suspects.lock()->isQuarantined(stream->fingerprint())) {
        return RequestResult {.outcome = started ? Outcome::Failed : Outcome::NotRun,
                              .code = ResultCode::RequestQuarantined,
                              .reason = "this request crashed two backend servers"};
    }
    if (stream->isHandoverRequested()) {
        if (auto result = handOver(*stream))
            return result;
    }
    const auto engine = chooseEngine(*stream, state.excluded);
    if (!engine) {
        state.excluded.clear();
        std::this_thread::sleep_for(suspectPause);
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
        return endDetached(*stream);
    case AttemptEnd::Moved:
        stream->clearMoveRequest();
        state.moving = true;
        return std::nullopt;
    case AttemptEnd::HandedOver:
        return std::nullopt;
    case AttemptEnd::Lost:
        checkLostEngine(*engine);
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
    pauseBeforeRetry(state.backoff);
    return std::nullopt;
}

RequestResult ModelService::endDetached(ModelStream &stream)
{
    if (!stream.hasStarted()) {
        return {.outcome = Outcome::NotRun,
                .code = ResultCode::CancelledBeforeStart,
                .reason = "the caller is gone"};
    }
    const bool neverRan = stream.isCancelled() && cancelAttempt(stream);
    return {.outcome = neverRan ? Outcome::NotRun : Outcome::Unknown,
            .code = neverRan ? ResultCode::CancelledBeforeStart : ResultCode::Cancelled,
            .reason = "the caller is gone"};
}

void ModelService::pauseBeforeRetry(Backoff &backoff)
{
    const bool withinBudget = m_context.retries.lock()->tryRetry();
    thread_local std::mt19937_64 generator(randomSeed());
    const Duration pause = backoff.next(generator);
    // Accepted work is always retried; without budget it waits for the longest delay instead.
    std::this_thread::sleep_for(withinBudget ? pause : BackoffOptions().longest);
}

std::optional<BackendView> ModelService::chooseEngine(ModelStream &stream,
                                                      const std::set<std::string> &excluded)
{
    const auto config = m_context.config();
    const Model *model = findModel(*config, stream.model());
    if (!model)
        return std::nullopt;
    const Timestamp now = m_context.clock.now();
    const auto engines = m_context.backends.lock()->usableEngines(model->name,
                                                                  model->backendClasses, now);
    const std::vector<EngineView> views = makeEngineViews(engines);
    const std::vector<std::string> excludedIds(excluded.begin(), excluded.end());
    RouteQuery query;
    query.blocks = stream.promptBlocks();
    query.promptTokens = static_cast<std::uint32_t>(estimateTokens(stream.request().prompt));
    query.outputTokens = static_cast<std::uint32_t>(stream.request().maxTokens);
    query.rank = stream.rank();
    query.entryZone = m_context.settings.zone;
    query.liveNodes = m_context.liveNodes();
    query.tieBreak = stream.fingerprint();
    query.excluded = excludedIds;
    const auto choice = m_context.router.lock()->choose(query, views, now);
    if (!choice)
        return std::nullopt;
    const BackendView &engine = engines[choice->engine];
    if (!mayRunOn(stream, engine))
        return std::nullopt;
    if (!m_context.backends.lock()->beginCall(engine.id, engine.incarnation, now))
        return std::nullopt;
    m_context.router.lock()->recordSend(engine.id, stream.promptBlocks(), now);
    return engine;
}

bool ModelService::mayRunOn(const ModelStream &stream, const BackendView &engine)
{
    const Timestamp now = m_context.clock.now();
    auto suspects = m_context.suspects.lock();
    const std::string announced = suspects->announcedEngine(stream.fingerprint());
    if (!announced.empty() && announced != incarnationOf(engine))
        suspects->release(stream.fingerprint(), now);
    return suspects->mayRunOn(stream.fingerprint(), incarnationOf(engine), now);
}

AttemptResult ModelService::runAttempt(ModelStream &stream, const BackendView &engine, bool moving)
{
    const std::string incarnation = incarnationOf(engine);
    {
        const std::lock_guard lock(m_runningMutex);
        m_running[incarnation].insert(stream.fingerprint());
    }
    std::optional<AttemptResult> transferred;
    if (moving && shouldTransfer(stream, engine))
        transferred = transferAttempt(m_context, stream, engine);
    AttemptResult result = transferred ? *transferred : startAttempt(m_context, stream, engine);
    const bool lost = result.end == AttemptEnd::Lost;
    if (lost)
        checkLostEngine(engine);
    {
        const std::lock_guard lock(m_runningMutex);
        auto &running = m_running[incarnation];
        const auto it = running.find(stream.fingerprint());
        if (it != running.end())
            running.erase(it);
        if (running.empty())
            m_running.erase(incarnation);
    }
    const bool atFault = lost || result.end == AttemptEnd::NotSent;
    const bool good = result.end == AttemptEnd::Completed;
    const CallHealth health = good ? CallHealth::Good
            : atFault              ? CallHealth::Bad
                                   : CallHealth::Neutral;
    const Timestamp now = m_context.clock.now();
    m_context.backends.lock()->endCall(engine.id, engine.incarnation, health, now);
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
                == CancelResult::Waiting;
        if (waiting)
            m_context.workers.submit([this, stream] {
                run(stream);
            });
    }
}

bool ModelService::shouldTransfer(ModelStream &stream, const BackendView &target)
{
    EngineMove move;
    move.requestId = stream.requestId();
    move.rank = stream.rank();
    move.textKnown = stream.hasPrompt();
    const auto delivered = stream.session().lock()->nextOffset();
    const auto promptTokens = static_cast<std::uint64_t>(estimateTokens(stream.request().prompt));
    const auto maxTokens = static_cast<std::uint64_t>(stream.request().maxTokens);
    move.contextTokens = promptTokens + delivered;
    move.remainingTokens = maxTokens - std::min(maxTokens, delivered);
    MoveCosts costs;
    costs.kvBytesPerToken = kvBytesPerToken;
    costs.transferBytesPerSecond = transferBytesPerSecond;
    costs.transferOverhead = transferOverhead;
    costs.prefillTokensPerSecond = target.report ? target.report->prefillTokensPerSecond : 0.0;
    costs.tokenTime = std::chrono::milliseconds(1);
    const auto plan = planEngineMoves(std::span(&move, 1), costs, shortestNotice);
    return plan.front().method == MoveMethod::Transfer;
}

void ModelService::checkLostEngine(const BackendView &engine)
{
    const HttpCall call {.method = "GET",
                         .url = engine.address + "/v1/load",
                         .headers = {},
                         .body = {},
                         .timeout = engineCheckTimeout};
    const BackendReply reply = callBackend(call);
    if (reply.status == CallStatus::Replied) {
        const JsonPtr body = parseJson(reply.reply.body);
        if (jsonInteger(body.get(), "incarnation", engine.incarnation) == engine.incarnation)
            return;
    }
    recordEngineCrash(engine);
}

void ModelService::recordEngineCrash(const BackendView &engine)
{
    const std::string incarnation = incarnationOf(engine);
    std::vector<Fingerprint> running;
    {
        const std::lock_guard lock(m_runningMutex);
        if (!m_crashed.insert(incarnation).second)
            return;
        const auto it = m_running.find(incarnation);
        if (it != m_running.end())
            running.assign(it->second.begin(), it->second.end());
    }
    logEvent(LogLevel::Warning, "engine died without notice",
             {{"engine", engine.id},
              {"incarnation", engine.incarnation},
              {"requests", static_cast<std::int64_t>(running.size())}});
    const Timestamp now = m_context.clock.now();
    m_context.suspects.lock()->recordCrash(incarnation, engine.zone, running, now);
}

void ModelService::leaveEngine(std::string_view id)
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
        m_context.retries.lock()->recordSuccess();
    }
    m_context.streams.remove(stream);
    stream->finish(result);
    logEvent(LogLevel::Info, "request ended",
             {{"request_id", stream->requestId()},
              {"account", stream->account()},
              {"rank", toString(stream->rank())},
              {"outcome", toString(result.outcome)},
              {"code", static_cast<std::int64_t>(result.code)},
              {"tokens", static_cast<std::int64_t>(tokens)}});
}

HttpResponse ModelService::resume(const HttpRequest &request, const Account &account)
{
    const auto offset = parseOffset(request.query("from"));
    if (!offset)
        return answerWith(notRun(
                {.code = ResultCode::MalformedRequest, .text = "from: must be a token offset"}));
    const auto token = ResumeToken::verify(request.query("token").value_or(""),
                                           m_context.settings.tokenKey, account.name,
                                           m_context.clock.wallMillis());
    if (!token)
        return answerWith(notRun(lastReason()));
    if (const ModelStreamPtr old = m_context.streams.find(account.name, token->requestId)) {
        old->detach(false);
        m_context.streams.remove(old);
    }
    const ModelStreamPtr stream = makeResumedStream(*token, *offset);
    m_context.streams.add(stream);
    m_context.workers.submit([this, stream, token = *token] {
        reattach(stream, token);
    });
    return respond(stream);
}

ModelStreamPtr ModelService::makeResumedStream(const ResumeToken &token, std::uint64_t offset)
{
    ModelStreamOptions options {.account = token.account,
                                .requestId = token.requestId,
                                .rank = token.rank,
                                .start = {.requestId = token.requestId,
                                          .account = token.account,
                                          .lastAttempt = token.attempt,
                                          .offset = offset,
                                          .text = {}}};
    const auto handedOver = m_handovers.take(token.account, token.requestId);
    if (handedOver && handedOver->deliveredTokens == static_cast<std::int64_t>(offset)) {
        if (auto chat = parseChatRequest(handedOver->body))
            options.request = std::move(*chat);
        options.start.text = handedOver->deliveredText;
        options.start.lastAttempt = std::max(token.attempt,
                                             static_cast<std::uint64_t>(handedOver->attempt));
    }
    options.request.model = token.model;
    options.request.stream = true;
    return std::make_shared<ModelStream>(std::move(options));
}

void ModelService::reattach(const ModelStreamPtr &stream, const ResumeToken &token)
{
    const AttemptEngine engine {.id = token.engineId,
                                .incarnation = token.engineIncarnation,
                                .address = token.engineAddress};
    const AttemptResult attempt = attachAttempt(m_context, *stream, engine, token.attempt);
    if (attempt.end == AttemptEnd::Completed) {
        finish(stream, {.outcome = Outcome::Complete, .code = ResultCode::Ok});
        return;
    }
    if (stream->hasPrompt()) {
        finish(stream, serve(stream));
        return;
    }
    // Without the prompt this node cannot run the request elsewhere. The caller sends it again
    // under its id with the text it has.
    finish(stream,
           {.outcome = Outcome::Unknown,
            .code = ResultCode::RequestNotFound,
            .reason
            = "the engine no longer has the request; send it again with the text received"});
}

} // namespace sesame
