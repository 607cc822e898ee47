#include "Adapter/log.h"
#include "Serving/clocks.h"
#include "Serving/enginegate.h"
#include "Serving/proxiedrequest.h"
#include "Serving/streamoriginstore.h"

#include <utility>

namespace sesame {

bool ProxiedRequest::isResumableStream() const
{
    return route().kind == RouteKind::Streaming && route().resumable;
}

/*!
    Returns the attempt that brought the first event of the stream of this request.
*/
const std::string &ProxiedRequest::streamId() const
{
    return m_requestInfo.lastEventId && !m_requestInfo.resumedId.empty() ? m_requestInfo.resumedId
                                                                         : m_requestInfo.id;
}

/*!
    Finds out which version began the stream that the caller takes up, and sends the request to an
    engine of it. If that is not known, no engine may run the request.
*/
void ProxiedRequest::resolveStreamVersion()
{
    m_state.streamOriginStore->find(
            selectService(), m_requestInfo.resumedId,
            [self = shared_from_this()](const std::optional<std::string> &version) {
                if (self->m_isFinished)
                    return;
                self->contain([&] {
                    self->m_streamVersion = version;
                    if (version) {
                        self->sendToEngine();
                        return;
                    }
                    logEvent(LogLevel::Warning, "request.version_unknown",
                             {{"request", self->m_requestInfo.id},
                              {"resumes", self->streamId()},
                              {"service", self->selectService()},
                              {"engines_known", EngineGate(self->m_state).knowsVersions()}});
                    self->refuseSend("the version that began the stream is not known",
                                     EngineAssignment::randomRetryAfter(self->m_state));
                });
            });
}

/*!
    Sends a stream that has not begun to an engine of another version than before, once the store
    does not name the version of the earlier send any more: a caller could otherwise be led there if
    this node is killed. Returns false if the request is not bound to a version.
*/
bool ProxiedRequest::assignOtherVersion()
{
    if (!m_streamVersion || !m_isVersionTentative)
        return false;
    m_streamVersion.reset();
    m_isVersionTentative = false;
    m_state.streamOrigins.forget(streamId());
    m_state.streamOriginStore->whenStored([self = shared_from_this()](bool isStored) {
        if (self->m_isFinished)
            return;
        self->contain([&] {
            if (isStored)
                self->sendToEngine();
            else
                self->refuseSend("no engine of the version has room",
                                 EngineAssignment::randomRetryAfter(self->m_state));
        });
    });
    return true;
}

/*!
    Returns whether the stream may begin or go on at the version of \a engine, whose entry may have
    changed since the engine was assigned.
*/
bool ProxiedRequest::mayUseVersionOf(const EngineState &engine) const
{
    if (!isResumableStream())
        return true;
    const EngineEntry &entry = engine.entry;
    return m_streamVersion ? entry.version == *m_streamVersion
                           : m_state.streamOrigins.mayBegin(entry.service, entry.version);
}

void ProxiedRequest::recordVersionSend()
{
    const EngineState *engine = m_state.engines.find(m_assignment.engineId());
    m_needsVersionOutcome = m_state.settings.rollout && engine;
    if (m_needsVersionOutcome)
        m_state.rollouts.recordSend(engine->entry, route().name);
}

/*!
    Records the outcome of the current send as evidence for the version of its engine. A stream that
    breaks off after its first event counts a second time, as a failure.
*/
void ProxiedRequest::recordVersionOutcome(SendEvidence outcome)
{
    const EngineState *engine = m_state.engines.find(m_assignment.engineId());
    const bool isBreak = outcome == SendEvidence::Failed && m_isStreamStarted;
    if (!m_state.settings.rollout || !engine
        || (!std::exchange(m_needsVersionOutcome, false) && !isBreak))
        return;
    m_state.rollouts.recordOutcome(engine->entry, route().name, outcome,
                                   steadyNow() - m_sendStartTime);
}

} // namespace sesame
