#include "Node/routeservice.h"

#include "Adapter/json.h"
#include "Adapter/log.h"
#include "Core/backoff.h"
#include "Http/httptypes.h"
#include "Node/requestedpause.h"

#include <algorithm>
#include <cctype>
#include <thread>

namespace sesame {

namespace {

constexpr int minServerErrorStatus = 500;
constexpr int maxIdempotentAttempts = 3;
constexpr std::size_t maxKeyLength = 200;
constexpr std::chrono::milliseconds storeRetryAfter {2000};
constexpr std::chrono::milliseconds backendRetryAfter {500};
constexpr std::chrono::milliseconds lookupTimeout {1000};
constexpr const char *keyHeader = "Idempotency-Key";
constexpr std::string_view keyPlaceholder = "{key}";

bool isValidIdempotencyKey(std::string_view key)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
    };
    return !key.empty() && key.size() <= maxKeyLength
            && std::all_of(key.begin(), key.end(), allowed);
}

/*!
    Returns the idempotency key that backend servers receive. It contains the account, because two
    accounts may choose the same key and a status lookup for one account must not find the call of
    the other.
*/
std::string makeBackendKey(const Account &account, std::string_view key)
{
    return account.name + "~" + std::string(key);
}

HttpCall makeCall(const HttpRequest &request, const Route &route)
{
    HttpCall call {.method = request.method,
                   .url = request.encodedPath,
                   .headers = {},
                   .body = request.body,
                   .timeout = route.timeout};
    if (const auto type = request.header("Content-Type"))
        call.headers.emplace_back("Content-Type", *type);
    return call;
}

HttpCall makeKeyedCall(const HttpRequest &request, const Route &route, const Account &account,
                       std::string_view key)
{
    HttpCall call = makeCall(request, route);
    call.headers.emplace_back(keyHeader, makeBackendKey(account, key));
    return call;
}

RequestResult makeBackendFailure(const BackendReply &reply)
{
    return {.outcome = Outcome::Failed, .code = ResultCode::BackendFailed, .reason = reply.reason};
}

RequestResult makeUnknownResult(ResultCode code, std::string reason)
{
    return {.outcome = Outcome::Unknown, .code = code, .reason = std::move(reason)};
}

RequestResult makeResult(int status)
{
    if (status < minServerErrorStatus)
        return {.outcome = Outcome::Complete, .code = ResultCode::Ok};
    return {.outcome = Outcome::Failed,
            .code = ResultCode::BackendFailed,
            .reason = "the backend server answered with status " + std::to_string(status)};
}

HttpResponse forwardReply(const HttpReply &reply, const RequestResult &result)
{
    HttpResponse response;
    response.status = reply.status;
    response.body = reply.body;
    const std::string_view type = reply.header("content-type");
    if (!type.empty())
        response.headers.emplace_back("Content-Type", type);
    addResultHeaders(&response, result);
    return response;
}

RecordedAnswer makeRecordedAnswer(const HttpReply &reply)
{
    const RequestResult result = makeResult(reply.status);
    return {.outcome = result.outcome,
            .code = result.code,
            .httpStatus = reply.status,
            .contentType = std::string(reply.header("content-type")),
            .body = reply.body};
}

HttpResponse replayAnswer(const RecordedAnswer &answer)
{
    const RequestResult result {.outcome = answer.outcome, .code = answer.code};
    if (answer.bodyOmitted) {
        HttpResponse response = makeResultResponse(result);
        response.headers.emplace_back("X-Answer-Omitted", "true");
        return response;
    }
    HttpReply reply {.status = answer.httpStatus, .body = answer.body, .headers = {}};
    if (!answer.contentType.empty())
        reply.headers.emplace_back("content-type", answer.contentType);
    return forwardReply(reply, result);
}

std::string makeLookupPath(const Route &route, std::string_view key)
{
    std::string path = route.statusLookup;
    path.replace(path.find(keyPlaceholder), keyPlaceholder.size(), encodeUrlComponent(key));
    return path;
}

} // namespace

HttpResponse RouteService::call(const HttpRequest &request, const Account &account,
                                const Route &route)
{
    const Timestamp start = m_context.clock.now();
    HttpResponse response = route.idempotent ? callIdempotent(request, route)
                                             : callAtMostOnce(request, account, route);
    recordServiceLevel(route, response, m_context.clock.now() - start);
    return response;
}

void RouteService::recordServiceLevel(const Route &route, const HttpResponse &response,
                                      Duration time)
{
    const auto config = m_context.config();
    const RankPolicy &policy = config->ranks[static_cast<std::size_t>(route.rank)];
    const bool complete = response.status < minServerErrorStatus;
    m_context.metrics.recordFirstToken(route.rank, time);
    m_context.metrics.count(complete ? "service_calls_complete" : "service_calls_other");
    const bool good = complete && time <= policy.firstTokenTarget;
    m_context.burnAccumulator.lock()->record(m_context.clock.now(), route.rank, route.prefix, good);
}

std::optional<BackendView> RouteService::chooseServer(const Route &route,
                                                      const std::vector<std::string> &excluded)
{
    const Timestamp now = m_context.clock.now();
    const auto servers = m_context.backends.lock()->usableServices(route.service, now);
    std::vector<BackendServerView> views;
    for (const BackendView &server : servers) {
        BackendServerView view;
        view.id = server.id;
        view.zone = server.zone;
        view.ownInFlight = server.inFlight;
        views.push_back(std::move(view));
    }
    const ServiceQuery query {.entryZone = m_context.settings.zone, .excluded = excluded};
    const auto choice = ServiceRouter().choose(query, views);
    if (!choice)
        return std::nullopt;
    const BackendView &server = servers[*choice];
    if (!m_context.backends.lock()->beginCall(server.id, server.incarnation, now))
        return fail(ResultCode::NoBackendServer, "the backend server is leaving");
    return server;
}

BackendReply RouteService::send(const HttpCall &call, const BackendView &server)
{
    HttpCall addressed = call;
    addressed.url = server.address + call.url;
    BackendReply reply = callBackend(addressed);
    const bool good = reply.status == CallStatus::Replied
            && reply.reply.status < minServerErrorStatus;
    m_context.backends.lock()->endCall(server.id, server.incarnation,
                                       good ? HealthResult::Success : HealthResult::Failure,
                                       m_context.clock.now());
    recordRequestedPause(m_context, server, requestedPause(reply));
    return reply;
}

HttpResponse RouteService::callIdempotent(const HttpRequest &request, const Route &route)
{
    const HttpCall call = makeCall(request, route);
    std::vector<std::string> excluded;
    BackendReply reply;
    bool sent = false;
    Backoff backoff;
    thread_local std::mt19937_64 generator(makeRandomSeed());
    for (int n = 0; n < maxIdempotentAttempts; ++n) {
        if (n > 0 && !m_context.retryBudget.lock()->tryRetry())
            break;
        if (n > 0)
            std::this_thread::sleep_for(backoff.nextDelay(generator));
        const auto server = chooseServer(route, excluded);
        if (!server)
            break;
        reply = send(call, *server);
        sent = sent || reply.status != CallStatus::NotSent;
        if (reply.status == CallStatus::Replied && reply.reply.status < minServerErrorStatus) {
            m_context.retryBudget.lock()->recordSuccess();
            return forwardReply(reply.reply, makeResult(reply.reply.status));
        }
        excluded.push_back(server->id);
    }
    if (!sent) {
        return makeResultResponse(
                makeNotRunResult({.code = ResultCode::NoBackendServer,
                                  .text = "no backend server of " + route.service + " is usable"},
                                 backendRetryAfter));
    }
    return makeResultResponse(makeBackendFailure(reply));
}

HttpResponse RouteService::callAtMostOnce(const HttpRequest &request, const Account &account,
                                          const Route &route)
{
    const auto idempotencyKey = request.header(keyHeader);
    if (!idempotencyKey || !isValidIdempotencyKey(*idempotencyKey)) {
        return makeResultResponse(
                makeNotRunResult({.code = ResultCode::IdempotencyKeyMissing,
                                  .text = "Idempotency-Key: needs 1 to 200 letters, digits, "
                                          "'-', '_', '.' or ':'"}));
    }
    const KeyedCall call {.route = route,
                          .call = makeKeyedCall(request, route, account, *idempotencyKey),
                          .backendKey = makeBackendKey(account, *idempotencyKey)};
    ClaimRequest claim;
    claim.key = computeClaimKey(account.name, *idempotencyKey);
    claim.fingerprint = computeCallFingerprint({request.method, request.path, request.body});
    claim.callTimeout = route.timeout;
    const ClaimResult result = m_context.ledger.claim(claim);
    if (result.status == ClaimStatus::Granted)
        return sendClaimedCall(call, result.claim);
    return answerFromClaim(call, claim.key, result);
}

RouteService::SendResult RouteService::sendBeforeDeadline(const KeyedCall &keyed,
                                                          const Claim &claim)
{
    std::vector<std::string> excluded;
    while (true) {
        const auto server = chooseServer(keyed.route, excluded);
        if (!server)
            return {.reply = {.status = CallStatus::NotSent,
                              .reply = {},
                              .reason = lastReason().text}};
        if (!m_context.ledger.canStillSend(claim, m_context.clock.now())) {
            m_context.backends.lock()->endCall(server->id, server->incarnation,
                                               HealthResult::Neutral, m_context.clock.now());
            return {.reply = {.status = CallStatus::NotSent, .reply = {}, .reason = {}},
                    .deadlinePassed = true};
        }
        BackendReply reply = send(keyed.call, *server);
        // A call may only be sent to another server if no byte of it was written.
        if (reply.status != CallStatus::NotSent)
            return {.reply = std::move(reply)};
        excluded.push_back(server->id);
    }
}

HttpResponse RouteService::sendClaimedCall(const KeyedCall &keyed, const Claim &claim)
{
    const Route &route = keyed.route;
    const SendResult sent = sendBeforeDeadline(keyed, claim);
    const BackendReply &reply = sent.reply;
    if (reply.status == CallStatus::Replied) {
        m_context.ledger.recordOutcome(claim, makeRecordedAnswer(reply.reply));
        return forwardReply(reply.reply, makeResult(reply.reply.status));
    }
    if (reply.status == CallStatus::NotSent) {
        m_context.ledger.recordOutcome(
                claim, {.outcome = Outcome::NotRun, .code = ResultCode::NoBackendServer});
        return makeResultResponse(
                makeNotRunResult({.code = ResultCode::NoBackendServer,
                                  .text = "no backend server of " + route.service + " is usable"},
                                 backendRetryAfter));
    }
    logEvent(LogLevel::Warning, "connection lost during call",
             {{"route", route.prefix}, {"reason", reply.reason}});
    m_context.ledger.recordOutcome(
            claim, {.outcome = Outcome::Unknown, .code = ResultCode::OutcomeUnknown});
    if (const auto answer = resolveByStatusLookup(keyed, claim.key))
        return replayAnswer(*answer);
    return makeResultResponse(makeUnknownResult(ResultCode::OutcomeUnknown,
                                                "the connection broke; the call may have run"));
}

std::optional<RecordedAnswer> RouteService::resolveByStatusLookup(const KeyedCall &keyed,
                                                                  const std::string &key)
{
    const Route &route = keyed.route;
    if (route.statusLookup.empty())
        return std::nullopt;
    const auto server = chooseServer(route, {});
    if (!server)
        return std::nullopt;
    const HttpCall call {.method = "GET",
                         .url = makeLookupPath(route, keyed.backendKey),
                         .headers = {},
                         .body = {},
                         .timeout = lookupTimeout};
    const BackendReply reply = send(call, *server);
    if (reply.status != CallStatus::Replied)
        return std::nullopt;
    const JsonPtr body = parseJson(reply.reply.body);
    if (!jsonBool(body.get(), "executed"))
        return std::nullopt;
    const LookupResult settled = m_context.ledger.applyStatusLookup(key, true);
    if (settled.status != LookupStatus::Completed)
        return std::nullopt;
    return settled.answer;
}

HttpResponse RouteService::answerFromClaim(const KeyedCall &keyed, const std::string &key,
                                           const ClaimResult &result)
{
    switch (result.status) {
    case ClaimStatus::CompletedEarlier:
        return replayAnswer(result.answer);
    case ClaimStatus::InProgress:
        return makeResultResponse(makeUnknownResult(
                ResultCode::ExecutionInProgress, "another attempt with this key is in progress"));
    case ClaimStatus::Unknown:
        if (const auto answer = resolveByStatusLookup(keyed, key))
            return replayAnswer(*answer);
        return makeResultResponse(makeUnknownResult(
                ResultCode::OutcomeUnknown, "an earlier attempt with this key may have run"));
    case ClaimStatus::KeyReused:
        return makeResultResponse(
                makeNotRunResult({.code = ResultCode::IdempotencyKeyReused,
                                  .text = "Idempotency-Key: used before with another call"}));
    default:
        return makeResultResponse(makeNotRunResult(
                {.code = ResultCode::StoreUnavailable, .text = "the claim cannot be recorded"},
                storeRetryAfter));
    }
}

} // namespace sesame
