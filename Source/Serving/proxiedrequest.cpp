#include "Serving/proxiedrequest.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"
#include "Serving/enginecrashcheck.h"
#include "Serving/enginegate.h"

#include <xxhash.h>

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Time for a response to reach the caller. With less time left, no engine is tried.
constexpr Milliseconds minUsefulTime = 10ms;
//! Number of failed connections to engines after which the request fails. Nothing has been sent on
//! a connection that failed, so other engines can be tried.
constexpr int maxConnectFailures = 4;
//! Lower limit of the stall timeout for routes with short latency targets.
constexpr Milliseconds minStallTimeout = 300ms;
//! A repeatable request is sent to another engine if its engine sends no data for this multiple of
//! the target latency.
constexpr int stallTimeoutFactor = 3;

// HTTP status codes.
constexpr unsigned misdirectedRequest = 421;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

} // namespace

ProxiedRequest::ProxiedRequest(ServingState &state, std::shared_ptr<ServerConnection> caller,
                               RequestMessage request)
    : m_state(state), m_caller(std::move(caller)), m_request(std::move(request)),
      m_requestInfo(state.format.readRequest(m_request)), m_config(state.config),
      m_assignment(state, m_requestInfo.id), m_arrivalTime(steadyNow()),
      m_deadlineTimer(state.context), m_stallTimer(state.context)
{
}

void ProxiedRequest::start()
{
    RequestAdmission admission(m_state, m_config.get());
    if (!admission.admit(m_requestInfo, m_request.body(), m_admitted)) {
        sendLocalResponse(admission.refusal());
        return;
    }
    if (m_requestInfo.hasTokenCounts)
        m_state.promptTokens.record(selectService(), m_requestInfo.work.promptTokens, steadyNow());
    m_state.openRequests.emplace(this, weak_from_this());
    m_caller->setClosedHandler([self = shared_from_this()] {
        self->onCallerDisconnected();
    });
    startDeadlineTimer();
    if (isResumableStream() && m_requestInfo.lastEventId && m_state.streamOriginStore) {
        resolveStreamVersion();
        return;
    }
    contain([this] {
        sendToEngine();
    });
}

/*!
    Ends the request after an error that bytes from outside caused.
*/
void ProxiedRequest::endForError(std::string_view reason)
{
    logEvent(LogLevel::Error, "request.internal_error",
             {{"request", m_requestInfo.id}, {"reason", reason}});
    if (!m_isFinished)
        endUnanswered("internal error", badGateway);
}

void ProxiedRequest::startDeadlineTimer()
{
    m_deadline = m_arrivalTime + m_admitted.timeLimit;
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && !self->m_isFinished)
            self->onDeadlineExpired();
    });
}

Milliseconds ProxiedRequest::remainingTime() const
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - steadyNow());
}

/*!
    Returns the service for the request. All sends of one request, and those that take its stream
    up, go to the same service.
*/
const std::string &ProxiedRequest::selectService() const
{
    return route().selectService(XXH3_64bits(streamId().data(), streamId().size()));
}

void ProxiedRequest::sendToEngine()
{
    // Requests that wait for the service go first, in the order of the queue.
    const bool mustWait = m_state.waiting && m_state.waiting->isBusy(selectService());
    if (mustWait && waitForEngine())
        return;
    if (!assignEngine() && !waitForEngine())
        refuseFull();
    else if (m_state.waiting && !m_assignment.engineId().empty())
        m_state.waiting->recordDirect(waitingDemand());
}

/*!
    Sends the request to an engine, or finishes it if it must not be sent. Returns false if all
    engines are full.
*/
bool ProxiedRequest::assignEngine()
{
    if (remainingTime() < minUsefulTime) {
        onDeadlineExpired();
        return true;
    }
    // The request may have crashed an engine itself, or others may have since it was admitted.
    const auto crashRefusalTime = m_state.crashRefusalTime(m_admitted.fingerprint,
                                                           m_requestInfo.work.parts);
    if (crashRefusalTime) {
        refuseSend("requests like this one crash engines", *crashRefusalTime);
        return true;
    }
    const std::string &service = selectService();
    // A second version may have come since the last send.
    if (m_isVersionTentative && m_state.streamOrigins.hasSeveralVersions(service))
        m_streamVersion = m_engineVersion;
    if (m_state.settings.rollout && !std::exchange(m_isVersionChosen, true))
        m_prefersRolloutTarget = m_streamVersion || m_state.rollouts.choosesTarget(service);
    const auto refusal = m_assignment.assign(
            {.service = service,
             .spec = m_config->findService(service),
             .work = m_requestInfo.work,
             .priority = requestPriority(),
             .isRepeatable = route().isRepeatable(),
             .prefersRolloutTarget = m_prefersRolloutTarget,
             .isResumable = isResumableStream(),
             .version = m_streamVersion ? &*m_streamVersion : nullptr},
            [self = shared_from_this()](const boost::system::error_code &ec) {
                self->contain([&] {
                    self->onConnectionResult(ec);
                });
            });
    if (!refusal)
        return true;
    // A request that the target has no room for can be sent to the other versions.
    if (std::exchange(m_prefersRolloutTarget, false))
        return assignEngine();
    if (assignOtherVersion())
        return true;
    if (refusal->isFull)
        return false;
    if (!m_mayHaveRun)
        m_state.refusals.record(service, 1, steadyNow());
    refuseSend(refusal->reason, refusal->retryAfter);
    return true;
}

/*!
    Sends the request to an engine after it has waited. Returns false if all engines are full.
*/
bool ProxiedRequest::resumeFromQueue()
{
    bool hasLeft = true;
    contain([&] {
        hasLeft = assignEngine();
    });
    if (hasLeft)
        m_waitingId = 0;
    return hasLeft;
}

int ProxiedRequest::requestPriority() const
{
    return account() && account()->priority ? *account()->priority : route().priority;
}

/*!
    Finishes a request that is not sent to another engine. The caller is told to come back after
    \a retryAfter if no engine may have run the request.
*/
void ProxiedRequest::refuseSend(std::string_view reason, Milliseconds retryAfter)
{
    if (m_isStreamStarted)
        abortStream(reason);
    else if (m_mayHaveRun)
        sendLocalResponse({badGateway, reason});
    else
        sendLocalResponse({unavailable, reason, retryAfter});
}

void ProxiedRequest::onConnectionResult(const boost::system::error_code &ec)
{
    const EngineState *engine = m_state.engines.find(m_assignment.engineId());
    if (!ec && engine && EngineGate(m_state).maySend(*engine) && mayUseVersionOf(*engine)) {
        sendRequest();
        return;
    }
    if (ec) {
        logEvent(LogLevel::Warning, "engine.connect_failed",
                 {{"request", m_requestInfo.id},
                  {"engine", m_assignment.engineId()},
                  {"reason", ec.message()}});
        m_state.engines.recordConnectFailure(m_assignment.engineId(), steadyNow());
        m_state.connectionPool.closeIdle(m_assignment.engineId());
    }
    releaseEngine(true);
    if (++m_connectFailureCount >= maxConnectFailures && !m_isStreamStarted) {
        sendLocalResponse({m_mayHaveRun ? badGateway : unavailable, "no engine can be reached",
                           m_mayHaveRun
                                   ? std::nullopt
                                   : std::optional(EngineAssignment::randomRetryAfter(m_state))});
        return;
    }
    sendToEngine();
}

void ProxiedRequest::sendRequest()
{
    EngineRequestInfo engineRequest;
    engineRequest.engineId = m_assignment.engineId();
    engineRequest.account = account() ? account()->name : std::string();
    engineRequest.remainingTime = remainingTime();
    engineRequest.priority = requestPriority();
    engineRequest.isModelWork = m_requestInfo.hasTokenCounts;
    engineRequest.lastEventId = m_requestInfo.lastEventId;
    if (!m_eventSplitter.lastId().empty())
        engineRequest.lastEventId = m_eventSplitter.lastId();
    if (engineRequest.remainingTime < minUsefulTime) {
        releaseEngine(true);
        onDeadlineExpired();
        return;
    }
    const std::string_view method = toStd(m_request.method_string());
    std::string head = formatRequestHead(
            method, toStd(m_request.target()),
            m_state.format.formatEngineRequestFields(m_request, engineRequest),
            m_request.body().size());
    ++m_sendCount;
    if (m_sendCount == 1)
        m_state.resendBudget.recordRequest(selectService(), steadyNow());
    m_mayHaveRunEarlier = m_mayHaveRun;
    m_mayHaveRun = true;
    m_sendStartTime = steadyNow();
    m_sentMillis = m_state.commonMillis();
    m_responseBody.clear();
    m_responseStatus = 0;
    m_eventSplitter.dropPartial();
    const EngineState *engine = m_state.engines.find(m_assignment.engineId());
    m_engineVersion = engine ? engine->entry.version : std::string();
    if (isResumableStream()) {
        m_state.streamOrigins.begin(streamId(), selectService(), m_engineVersion, steadyNow());
        // Until its first event, the stream can still begin at another version.
        m_isVersionTentative = m_isVersionTentative || !m_streamVersion;
    }
    m_assignment.recordSent(m_requestInfo.work);
    recordVersionSend();
    m_assignment.connection()->send(
            std::move(head),
            std::shared_ptr<const std::string>(shared_from_this(), &m_request.body()),
            method == "HEAD", makeResponseSink());
    restartStallTimer();
    logSend(engineRequest.remainingTime);
}

/*!
    Logs which engine the request was sent to, and the inputs to that choice.
*/
void ProxiedRequest::logSend(Milliseconds remainingTime) const
{
    logEvent(LogLevel::Info, "request.sent",
             {{"request", m_requestInfo.id},
              {"send", static_cast<std::int64_t>(m_sendCount)},
              {"engine", m_assignment.engineId()},
              {"version", m_engineVersion},
              {"resumes", m_requestInfo.resumedId},
              {"config", m_config->version},
              {"engine_requests", static_cast<std::int64_t>(m_assignment.inputs().requests)},
              {"engine_tokens", m_assignment.inputs().tokens},
              {"estimate_ms", m_assignment.inputs().costMs},
              {"predicted_ms", m_assignment.inputs().predictedMs},
              {"silent_peers", m_state.quotaShares.silentShare()},
              {"after", m_eventSplitter.lastId()},
              {"remaining_ms", static_cast<std::int64_t>(remainingTime.count())}});
}

ResponseSink ProxiedRequest::makeResponseSink()
{
    const auto self = shared_from_this();
    return {.head =
                    [self](const ResponseHead &head) {
                        auto verdict = ResponseSink::Verdict::Take;
                        self->contain([&] {
                            verdict = self->onResponseHead(head);
                        });
                        return verdict;
                    },
            .body =
                    [self](std::string_view piece) {
                        self->contain([&] {
                            self->onResponseBody(piece);
                        });
                    },
            .done =
                    [self] {
                        self->contain([&] {
                            self->onResponseComplete();
                        });
                    },
            .failed =
                    [self](ExchangeFailure failure) {
                        self->contain([&] {
                            self->onExchangeFailed(failure);
                        });
                    }};
}

void ProxiedRequest::checkForCrash()
{
    EngineCrashCheck(m_state).start({.id = m_requestInfo.id,
                                     .engine = m_assignment.engineId(),
                                     .service = selectService(),
                                     .fingerprint = m_admitted.fingerprint,
                                     .sharedParts = sharedPartIds(m_requestInfo.work.parts),
                                     .events = m_eventSplitter.eventCount(),
                                     .sentMillis = m_sentMillis});
}

std::string_view ProxiedRequest::sendOutcomeName(SendOutcome outcome)
{
    if (outcome == SendOutcome::NotExecuted)
        return "not_run";
    return outcome == SendOutcome::Failed ? "failed" : "lost";
}

/*!
    Records the outcome of a send without a relayed response, then sends the request again or
    finishes it.
*/
void ProxiedRequest::handleUnsuccessfulSend(SendOutcome outcome)
{
    m_stallTimer.cancel();
    m_state.metrics.recordSend(selectService(), sendOutcomeName(outcome));
    if (m_responseStatus != 0)
        logEvent(LogLevel::Info, "engine.answer_failed",
                 {{"request", m_requestInfo.id},
                  {"engine", m_assignment.engineId()},
                  {"status", static_cast<std::int64_t>(m_responseStatus)},
                  {"result", sendOutcomeName(outcome)}});
    if (outcome == SendOutcome::NotExecuted) {
        if (m_responseStatus == misdirectedRequest)
            m_state.engines.recordConnectFailure(m_assignment.engineId(), steadyNow());
        else
            m_state.engines.recordNoCapacity(m_assignment.engineId(), steadyNow());
        m_mayHaveRun = m_mayHaveRunEarlier;
    } else {
        m_state.engines.recordAnswer(m_assignment.engineId(), false, {});
        // An engine has begun a stream only once it has sent an event. Any other request without a
        // response has probably been begun.
        if (outcome == SendOutcome::Failed || route().kind != RouteKind::Streaming)
            countUsageOnce();
    }
    recordVersionOutcome(outcome == SendOutcome::NotExecuted ? SendEvidence::Unfinished
                                                             : SendEvidence::Failed);
    releaseEngine(outcome != SendOutcome::Unknown);
    resendOrFinish(outcome);
}

void ProxiedRequest::resendOrFinish(SendOutcome outcome)
{
    if (canResend(outcome)) {
        sendToEngine();
        return;
    }
    if (m_isStreamStarted) {
        abortStream("the engine broke off the stream");
        return;
    }
    if (outcome == SendOutcome::Failed) {
        relayBufferedResponse();
        return;
    }
    if (outcome == SendOutcome::NotExecuted && !m_mayHaveRun) {
        m_state.refusals.record(selectService(), 1, steadyNow());
        sendLocalResponse({unavailable, "the engine had no room", retryAfterFull()});
        return;
    }
    sendLocalResponse({badGateway, "the engine did not answer"});
}

bool ProxiedRequest::canResend(SendOutcome outcome)
{
    const bool allowed = outcome == SendOutcome::NotExecuted || route().isRepeatable();
    if (!allowed || m_sendCount >= route().maxAttempts || remainingTime() < minUsefulTime)
        return false;
    return m_state.resendBudget.tryResend(
            selectService(), static_cast<std::size_t>(m_state.quotaShares.nodes), steadyNow());
}

void ProxiedRequest::countUsageOnce()
{
    if (m_isUsageCounted)
        return;
    m_isUsageCounted = true;
    if (account())
        m_state.countUsage(account()->name);
}

void ProxiedRequest::recordAnswerOnce()
{
    if (!std::exchange(m_isAnswerRecorded, true))
        m_state.promptCrashes.recordAnswer(m_requestInfo.work.parts, m_state.commonMillis());
}

void ProxiedRequest::releaseEngine(bool keepConnection)
{
    m_stallTimer.cancel();
    m_assignment.release(keepConnection);
}

void ProxiedRequest::onCallerDisconnected()
{
    if (m_isFinished)
        return;
    // The answer would have taken longer than the caller waited.
    if (m_mayHaveRun && steadyNow() - m_sendStartTime > 2 * route().targetLatency)
        recordVersionOutcome(SendEvidence::Answered);
    releaseEngine(false);
    finish("caller_gone", 0);
}

void ProxiedRequest::onDeadlineExpired()
{
    recordVersionOutcome(SendEvidence::Failed);
    endUnanswered(m_mayHaveRun ? "the engine did not answer in time" : "no engine was free in time",
                  gatewayTimeout);
}

void ProxiedRequest::endForShutdown()
{
    endUnanswered("this node is shutting down", gatewayTimeout);
}

/*!
    Ends a request whose engine has not answered it. The caller gets \a status if an engine may have
    run the request, and otherwise the promise that it has not run.
*/
void ProxiedRequest::endUnanswered(std::string_view reason, unsigned status)
{
    if (m_isStreamStarted) {
        abortStream(reason);
        return;
    }
    if (m_mayHaveRun && route().kind != RouteKind::Streaming)
        countUsageOnce();
    if (m_mayHaveRun)
        sendLocalResponse({status, reason});
    else
        sendLocalResponse({unavailable, reason, EngineAssignment::randomRetryAfter(m_state)});
}

void ProxiedRequest::restartStallTimer()
{
    if (!route().isRepeatable())
        return;
    const Milliseconds target = std::max(route().targetLatency, route().targetGap);
    m_stallTimer.expires_after(std::max(minStallTimeout, target * stallTimeoutFactor));
    m_stallTimer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && !self->m_isFinished && self->m_assignment.connection())
            self->contain([&] {
                self->onStallTimeout();
            });
    });
}

/*!
    Abandons an engine that has stopped sending data if the request may be sent again. Otherwise,
    keeps waiting until the deadline.
*/
void ProxiedRequest::onStallTimeout()
{
    if (m_caller->pendingBytes() > 0 || m_sendCount >= route().maxAttempts)
        return;
    logEvent(LogLevel::Warning, "engine.stalled",
             {{"request", m_requestInfo.id}, {"engine", m_assignment.engineId()}});
    m_assignment.connection()->close();
    handleUnsuccessfulSend(SendOutcome::Unknown);
}

void ProxiedRequest::sendLocalResponse(const LocalResponse &response)
{
    releaseEngine(false);
    std::string body(response.reason);
    body += "\n";
    m_caller->sendResponse(
            response.status,
            m_state.format.formatLocalResponseFields(m_requestInfo.id, response.retryAfter), body);
    finish(response.reason, response.status);
}

/*!
    Aborts the caller's connection, so that the caller can tell that the stream is incomplete.
*/
void ProxiedRequest::abortStream(std::string_view reason)
{
    releaseEngine(false);
    m_caller->abort();
    finish(reason, 0);
}

void ProxiedRequest::finish(std::string_view outcome, unsigned status)
{
    m_isFinished = true;
    m_state.openRequests.erase(this);
    if (m_sendCount > 0 && isResumableStream()) {
        if (m_isVersionTentative)
            m_state.streamOrigins.forget(streamId());
        else
            m_state.streamOrigins.end(streamId(), m_isStreamStarted && status != 0, steadyNow());
    }
    if (m_waitingId != 0)
        m_state.waiting->withdraw(std::exchange(m_waitingId, 0));
    m_deadlineTimer.cancel();
    m_stallTimer.cancel();
    if (account() && m_admitted.quotaCost > 0.0 && !m_mayHaveRun)
        m_state.refreshQuota(*account()).refund(m_admitted.quotaCost);
    const Duration time = steadyNow() - m_arrivalTime;
    m_state.metrics.recordRequest(m_admitted.route ? routeKindName(route().kind) : "none", status,
                                  time);
    const auto elapsedMillis = std::chrono::duration<double, std::milli>(time);
    const std::chrono::duration<double, std::milli> timeToFirstEvent = m_firstEventTime
                    == Timestamp {}
            ? time
            : m_firstEventTime - m_arrivalTime;
    logEvent(LogLevel::Info, "request.finished",
             {{"request", m_requestInfo.id},
              {"route", m_admitted.route ? std::string_view(route().name) : std::string_view()},
              {"config", m_config ? m_config->version : 0},
              {"account", account() ? std::string_view(account()->name) : std::string_view()},
              {"engine", m_assignment.lastEngine()},
              {"sends", static_cast<std::int64_t>(m_sendCount)},
              {"status", static_cast<std::int64_t>(status)},
              {"outcome", outcome},
              {"first_ms", timeToFirstEvent.count()},
              {"ms", elapsedMillis.count()}});
}

} // namespace sesame
