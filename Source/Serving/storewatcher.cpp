#include "Serving/storewatcher.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr auto minRetryDelay = 60ms;
constexpr auto maxRetryDelay = 400ms;
//! Minimum length of an outage in which entries may have lapsed. Entries lapse after three missed
//! heartbeats, so a shorter outage cannot be the cause of a missing entry.
constexpr auto minLapsingOutage = 1500ms;
//! Time after the end of an outage of the object store during which engines are kept although their
//! entries lapsed in the outage. Engines that are still running register again within about two
//! seconds after its end.
constexpr Duration lapseGrace = 2000ms;

} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context &context,
                           std::unique_ptr<ObjectStoreClient> store, std::string kind,
                           WatchWaitProvider watchWait, StoreWatchHandlers handlers)
    : m_timer(context), m_store(std::move(store)), m_kind(std::move(kind)),
      m_watchWait(std::move(watchWait)), m_handlers(std::move(handlers))
{
}

void StoreWatcher::relist()
{
    m_store->list(m_kind, false, [this, call = ++m_callNumber](const StoreReadResult &result) {
        if (isCurrentCall(call))
            onListed(result);
    });
}

void StoreWatcher::watch()
{
    m_store->watch(m_kind, m_revision, m_watchWait(),
                   [this, call = ++m_callNumber](const StoreReadResult &result) {
                       if (isCurrentCall(call))
                           onWatched(result);
                   });
}

void StoreWatcher::refresh()
{
    // After a failure, another call is already in progress or scheduled.
    if (m_failureCount > 0 || m_mustRelist)
        return;
    m_mustRelist = true;
    relist();
}

void StoreWatcher::onListed(const StoreReadResult &result)
{
    if (result.status != StoreCallStatus::Ok) {
        onFailure();
        return;
    }
    onSuccess();
    m_mustRelist = false;
    m_revision = result.revision;
    m_handlers.listed(result.objects, graceEnd());
    watch();
}

void StoreWatcher::onWatched(const StoreReadResult &result)
{
    if (result.status == StoreCallStatus::HistoryGone) {
        m_mustRelist = true;
        relist();
        return;
    }
    if (result.status != StoreCallStatus::Ok) {
        onFailure();
        return;
    }
    onSuccess();
    m_revision = std::max(m_revision, result.revision);
    for (const StoredObject &object : result.objects)
        m_handlers.changed(object, graceEnd());
    watch();
}

void StoreWatcher::onFailure()
{
    const auto now = steadyNow();
    if (m_failureCount++ == 0)
        m_outageStart = now;
    if (m_isReachable && m_failureCount > 1) {
        m_isReachable = false;
        logEvent(LogLevel::Warning, "store.lost", {{"kind", m_kind}});
        if (m_handlers.reachabilityChanged)
            m_handlers.reachabilityChanged(false);
    }
    const auto retryDelay = std::min(minRetryDelay * (1 << std::min(m_failureCount - 1, 4)),
                                     maxRetryDelay);
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    m_timer.expires_after(
            std::chrono::duration_cast<std::chrono::milliseconds>(retryDelay * jitter(m_random)));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        if (m_mustRelist)
            relist();
        else
            watch();
    });
}

void StoreWatcher::onSuccess()
{
    if (m_failureCount == 0)
        return;
    const auto now = steadyNow();
    if (now - m_outageStart >= minLapsingOutage) {
        m_lastOutageEnd = now;
    }
    m_failureCount = 0;
    if (m_isReachable)
        return;
    m_isReachable = true;
    logEvent(LogLevel::Info, "store.regained", {{"kind", m_kind}});
    if (m_handlers.reachabilityChanged)
        m_handlers.reachabilityChanged(true);
}

std::optional<Timestamp> StoreWatcher::graceEnd() const
{
    if (!m_lastOutageEnd || steadyNow() >= *m_lastOutageEnd + lapseGrace)
        return std::nullopt;
    return *m_lastOutageEnd + lapseGrace;
}

} // namespace sesame
