#include "Adapter/log.h"
#include "Serving/clocks.h"
#include "Serving/enginegate.h"
#include "Serving/proxiedrequest.h"

namespace sesame {

namespace {

//! Bytes that may be pending for a slow caller before reading from the engine is paused.
constexpr std::size_t maxPendingBytes = 256U << 10U;
//! Maximum size of a response that is buffered until it is complete.
constexpr std::size_t maxBufferedResponseBytes = 8U << 20U;

// HTTP status codes.
constexpr unsigned firstErrorStatus = 400;
constexpr unsigned requestTimeout = 408;
constexpr unsigned misdirectedRequest = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned firstServerErrorStatus = 500;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;

bool isSuccessStatus(unsigned status)
{
    constexpr unsigned firstRedirect = 300;
    return status < firstRedirect;
}

//! Returns whether \a status means that the request was not executed and never will be.
bool isRefusalStatus(unsigned status)
{
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests
            || status == unavailable;
}

} // namespace

ResponseSink::Verdict ProxiedRequest::onResponseHead(const ResponseHead &head)
{
    const ResponseInfo info = m_state.format.readResponse(head);
    if (!info.id.empty() && info.id != m_requestInfo.id) {
        logEvent(LogLevel::Warning, "engine.stray_answer",
                 {{"request", m_requestInfo.id},
                  {"engine", m_assignment.engineId()},
                  {"answered", info.id}});
        return ResponseSink::Verdict::Skip;
    }
    m_responseInfo = info;
    m_responseHead = head;
    m_responseStatus = head.result_int();
    EngineGate(m_state).recordAnswer({.request = m_requestInfo.id,
                                      .engine = m_assignment.engineId(),
                                      .status = m_responseStatus,
                                      .info = info});
    m_state.metrics.recordFirstByte(selectService(), steadyNow() - m_sendStartTime);
    if (info.engineLoad)
        m_state.engines.recordStatedLoad(m_assignment.engineId(), *info.engineLoad, steadyNow());
    // An answer without an id may belong to an earlier request on the connection. Only events can
    // continue a stream of which the caller has received some.
    const bool isUnidentified = info.id.empty() && !m_requestInfo.id.empty();
    const bool isInvalid = isUnidentified
            || (isSuccessStatus(m_responseStatus)
                && (info.id.empty() || !info.isSigned || info.isEncoded
                    || (m_isStreamStarted && !info.isEventStream)));
    if (isUnidentified)
        logExchangeFailure("answer without an id");
    if (isInvalid
        || (m_isStreamStarted && !isSuccessStatus(m_responseStatus) && !info.notExecuted)) {
        m_assignment.connection()->close();
        handleUnsuccessfulSend(isInvalid ? SendOutcome::Unknown : SendOutcome::Failed);
    } else if (isSuccessStatus(m_responseStatus) && !info.isEventStream) {
        recordFirstEvent();
    }
    return ResponseSink::Verdict::Take;
}

void ProxiedRequest::onResponseBody(std::string_view piece)
{
    if (isSuccessStatus(m_responseStatus) && m_responseInfo.isEventStream) {
        const std::string events = m_eventSplitter.append(piece);
        // Bytes that do not add up to an event are no sign that the engine makes progress.
        if (!events.empty())
            restartStallTimer();
        relayEvents(events);
        if (m_eventSplitter.isOverrun())
            abandonEngine("bytes without end that are no events");
        else if (m_eventSplitter.hasUnusableId())
            abandonEngine("an event id that can't be sent back");
        return;
    }
    m_responseBody.append(piece);
    if (m_responseBody.size() > maxBufferedResponseBytes)
        abandonEngine("body without end");
    else if (!m_caller->setHandlerBytes(m_request.body().capacity() + m_responseBody.capacity()))
        endUnanswered("no memory for the answer", badGateway);
}

/*!
    Ends the exchange with an engine whose bytes are no answer, and avoids the engine for some time.
*/
void ProxiedRequest::abandonEngine(std::string_view reason)
{
    logExchangeFailure(reason);
    m_state.engines.recordConnectFailure(m_assignment.engineId(), steadyNow());
    m_assignment.connection()->close();
    handleUnsuccessfulSend(SendOutcome::Unknown);
}

void ProxiedRequest::relayEvents(const std::string &events)
{
    if (events.empty())
        return;
    if (!m_isStreamStarted) {
        m_firstEventTime = steadyNow();
        m_streamVersion = m_engineVersion;
        m_isVersionTentative = false;
        if (m_state.waiting)
            m_state.waiting->recordFirstEvent(selectService(), route(),
                                              m_firstEventTime - m_sendStartTime);
    }
    recordFirstEvent();
    recordVersionOutcome(SendEvidence::Answered);
    countUsageOnce();
    if (m_eventSplitter.eventCount() > eventsOfBeginning)
        recordAnswerOnce();
    beginStreamRelay();
    m_caller->sendChunk(events);
    if (m_assignment.connection() && m_caller->pendingBytes() > maxPendingBytes)
        m_assignment.connection()->setPaused(true);
}

/*!
    Records the time to the first event of the current send.
*/
void ProxiedRequest::recordFirstEvent()
{
    if (const auto times = m_assignment.recordFirstEvent())
        m_state.metrics.recordPrediction(routeKindName(route().kind), times->predictedMs,
                                         times->observedMs);
}

void ProxiedRequest::beginStreamRelay()
{
    if (m_isStreamStarted)
        return;
    m_isStreamStarted = true;
    m_caller->setDrainedHandler([self = shared_from_this()] {
        if (self->m_assignment.connection())
            self->m_assignment.connection()->setPaused(false);
    });
    m_caller->beginStream(m_responseStatus, copyEndToEndFields(m_responseHead));
}

/*!
    Returns whether a stream that has ended is incomplete: it ends inside an event, or it has
    neither a length nor events.
*/
bool ProxiedRequest::isStreamTruncated() const
{
    const bool isFramed = m_responseHead.count("Transfer-Encoding") > 0
            || m_responseHead.count("Content-Length") > 0;
    return !m_eventSplitter.partial().empty() || (!isFramed && m_eventSplitter.eventCount() == 0);
}

void ProxiedRequest::onResponseComplete()
{
    m_stallTimer.cancel();
    const bool isStream = isSuccessStatus(m_responseStatus) && m_responseInfo.isEventStream;
    if (isStream && isStreamTruncated()) {
        onStreamTruncated();
        return;
    }
    if (m_responseInfo.notExecuted && m_responseStatus >= firstErrorStatus) {
        handleUnsuccessfulSend(SendOutcome::NotExecuted);
        return;
    }
    if (m_responseStatus >= firstServerErrorStatus || isRefusalStatus(m_responseStatus)) {
        handleUnsuccessfulSend(SendOutcome::Failed);
        return;
    }
    countUsageOnce();
    m_state.metrics.recordSend(selectService(), "complete");
    m_state.crashes.recordSuccess(m_admitted.fingerprint);
    recordAnswerOnce();
    recordVersionOutcome(SendEvidence::Answered);
    m_state.engines.recordAnswer(m_assignment.engineId(), true, steadyNow() - m_sendStartTime);
    releaseEngine(true);
    if (!isStream) {
        if (m_state.waiting)
            m_state.waiting->recordFirstEvent(selectService(), route(),
                                              steadyNow() - m_sendStartTime);
        relayBufferedResponse();
        return;
    }
    beginStreamRelay();
    m_caller->endStream();
    finish("complete", m_responseStatus);
}

/*!
    Relays a response that was buffered until it was complete, with the engine's status.
*/
void ProxiedRequest::relayBufferedResponse()
{
    if (isRefusalStatus(m_responseStatus)) {
        sendLocalResponse(
                {badGateway, "the engine refused the request without saying that it did not run"});
        return;
    }
    m_caller->sendResponse(m_responseStatus, copyEndToEndFields(m_responseHead), m_responseBody);
    finish(isSuccessStatus(m_responseStatus) ? "complete" : "engine_failure", m_responseStatus);
}

void ProxiedRequest::onExchangeFailed(ExchangeFailure failure)
{
    logExchangeFailure(describe(failure));
    if (failure == ExchangeFailure::Closed)
        checkForCrash();
    else
        m_state.engines.recordConnectFailure(m_assignment.engineId(), steadyNow());
    handleUnsuccessfulSend(SendOutcome::Unknown);
}

/*!
    Treats a stream that ended too early like one whose connection was lost. Without a length and
    chunks, the end of the connection is the only sign that the engine broke off.
*/
void ProxiedRequest::onStreamTruncated()
{
    logExchangeFailure("stream ends too early");
    checkForCrash();
    handleUnsuccessfulSend(SendOutcome::Unknown);
}

void ProxiedRequest::logExchangeFailure(std::string_view reason) const
{
    logEvent(LogLevel::Warning, "engine.exchange_failed",
             {{"request", m_requestInfo.id},
              {"engine", m_assignment.engineId()},
              {"reason", reason},
              {"after_ms",
               std::chrono::duration<double, std::milli>(steadyNow() - m_sendStartTime).count()}});
}

} // namespace sesame
