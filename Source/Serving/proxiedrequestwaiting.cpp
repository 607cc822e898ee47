#include "Serving/clocks.h"
#include "Serving/proxiedrequest.h"

namespace sesame {

namespace {

constexpr std::string_view fullReason = "all engines are full";
constexpr unsigned unavailable = 503;

} // namespace

/*!
    Lets the request wait for an engine, or answers it if it would wait too long. Returns false if
    requests do not wait on this node or this one must not: a refusal after a wait promises that no
    engine has run the request.
*/
bool ProxiedRequest::waitForEngine()
{
    // A request that needs one version would hold those up that wait for any.
    if (!m_state.waiting || m_mayHaveRun || m_streamVersion || m_state.stop)
        return false;
    Milliseconds retryAfter {0};
    const std::uint64_t id = m_state.waiting->offer(
            waitingDemand(),
            {.resume =
                     [self = shared_from_this()] {
                         return self->resumeFromQueue();
                     },
             .refuse =
                     [self = shared_from_this()](std::string_view reason, Milliseconds time) {
                         self->m_waitingId = 0;
                         self->refuseWaiting(reason, time);
                     }},
            retryAfter);
    if (id == 0)
        refuseWaiting(fullReason, retryAfter);
    else
        m_waitingId = id;
    return true;
}

void ProxiedRequest::refuseWaiting(std::string_view reason, Milliseconds retryAfter)
{
    m_state.refusals.record(selectService(), 1, steadyNow());
    sendLocalResponse({unavailable, reason, retryAfter});
}

/*!
    Finishes the request because all engines are full and it does not wait.
*/
void ProxiedRequest::refuseFull()
{
    if (m_mayHaveRun || m_isStreamStarted)
        refuseSend(fullReason, {});
    else
        refuseWaiting(fullReason, retryAfterFull());
}

/*!
    Returns the time after which the caller should return because the engines are full.
*/
Milliseconds ProxiedRequest::retryAfterFull()
{
    return m_state.waiting ? m_state.waiting->retryAfter(waitingDemand())
                           : EngineAssignment::randomRetryAfter(m_state);
}

WaitingDemand ProxiedRequest::waitingDemand() const
{
    const RequestSize &work = m_requestInfo.work;
    return {.request = m_requestInfo.id,
            .service = selectService(),
            .route = route(),
            .account = account() ? account()->name : std::string(),
            .priority = requestPriority(),
            .callerKey = m_admitted.fingerprint,
            .cost = m_requestInfo.hasTokenCounts ? static_cast<double>(work.tokens()) : 1.0,
            .bytes = m_request.body().size(),
            .arrival = m_arrivalTime,
            .deadline = m_deadline};
}

} // namespace sesame
