// How a node leaves: it withdraws, answers what is open and ends.
#include "Adapter/log.h"
#include "Serving/clocks.h"
#include "Serving/proxiedrequest.h"
#include "Serving/servingnode.h"

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Interval at which a node that stops checks whether it may end.
constexpr auto stopCheckInterval = 100ms;

} // namespace

/*!
    Starts the shutdown: withdraws this node from the directory and from the duties. The node
    accepts requests while callers may still use an old directory response, but only those that it
    can be expected to answer in time, then closes the entry, and stops after the last response.
*/
void ServingNode::beginShutdown()
{
    if (m_state.stop)
        return;
    m_state.stop.emplace(steadyNow(), m_state.settings.stopGrace);
    m_dutyCoordinator.withdraw();
    if (m_state.waiting)
        m_state.waiting->refuseAll();
    m_exchange.setReady(false);
    m_exchange.sendReports();
    m_entryListener.announceClose();
    logEvent(LogLevel::Info, "node.stopping",
             {{"open_requests", static_cast<std::int64_t>(m_entryListener.openRequests())}});
    continueShutdown();
}

/*!
    Closes the entry, answers the requests that are still open and stops the event loop as soon as
    the time for each has come; until then, checks again at every tick.
*/
void ServingNode::continueShutdown()
{
    const Timestamp now = steadyNow();
    if (!m_isEntryClosed && now >= m_state.stop->entryCloseTime()) {
        m_isEntryClosed = true;
        m_entryListener.close();
    }
    if (now >= m_state.stop->answerTime())
        answerOpenRequests();
    const bool isIdle = m_entryListener.openRequests() == 0;
    if ((m_isEntryClosed && isIdle) || now >= m_state.stop->exitTime()) {
        m_exchange.sendReports();
        logEvent(LogLevel::Info, "node.stopped",
                 {{"open_requests", static_cast<std::int64_t>(m_entryListener.openRequests())}});
        m_context.stop();
        return;
    }
    m_stopTimer.expires_after(stopCheckInterval);
    m_stopTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            continueShutdown();
    });
}

/*!
    Ends the requests whose engines have not answered in time for the end of the process, so that
    their callers learn it.
*/
void ServingNode::answerOpenRequests()
{
    for (const auto &[key, weak] : std::exchange(m_state.openRequests, {})) {
        if (const auto request = weak.lock())
            request->endForShutdown();
    }
}

} // namespace sesame
