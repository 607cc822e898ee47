#include "Serving/storewatcher.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds minRetryDelay = 60ms;
//! Limit of the exponent of the retry delay.
constexpr int maxDoublings = 7;
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
                           std::chrono::milliseconds watchWait, DurationProvider maxRetryDelay,
                           StoreWatchHandlers handlers)
    : m_timer(context), m_store(std::move(store)), m_kind(std::move(kind)), m_watchWait(watchWait),
      m_maxRetryDelay(std::move(maxRetryDelay)), m_handlers(std::move(handlers))
{
}

void StoreWatcher::start(std::uint64_t knownEra)
{
    if (m_isStarted)
        return;
    m_isStarted = true;
    m_revision.era = std::max(m_revision.era, knownEra);
    m_mustRelist = true;
    relist();
}

void StoreWatcher::stop()
{
    m_isStarted = false;
    ++m_callNumber;
    m_timer.cancel();
}

void StoreWatcher::relist()
{
    m_callStart = bootNow();
    m_store->list(m_kind, false, [this, call = ++m_callNumber](const StoreReadResult &result) {
        if (isCurrentCall(call))
            onListed(result);
    });
}

void StoreWatcher::watch()
{
    m_callStart = bootNow();
    m_store->watch(m_kind, m_revision.number, m_watchWait,
                   [this, call = ++m_callNumber](const StoreReadResult &result) {
                       if (isCurrentCall(call))
                           onWatched(result);
                   });
}

void StoreWatcher::onListed(const StoreReadResult &result)
{
    if (result.status != StoreCallStatus::Ok || result.era < m_revision.era) {
        onFailure();
        return;
    }
    onSuccess();
    if (m_revision.era != 0 && result.era > m_revision.era)
        noteRestoration(result);
    m_mustRelist = false;
    m_revision = {.era = result.era, .number = result.revision};
    if (m_isListComplete != result.isComplete)
        logEvent(result.isComplete ? LogLevel::Info : LogLevel::Warning,
                 result.isComplete ? "store.list_completed" : "store.list_incomplete",
                 {{"kind", m_kind}, {"objects", static_cast<std::int64_t>(result.objects.size())}});
    m_isListComplete = result.isComplete;
    // Objects that an incomplete list lacks may still exist.
    const auto &apply = result.isComplete ? m_handlers.listed : m_handlers.changed;
    apply(result.objects, readContext(m_callStart));
    watch();
}

void StoreWatcher::onWatched(const StoreReadResult &result)
{
    // The revision after which the watch began may belong to another change in a later era.
    const bool isRestored = result.status == StoreCallStatus::Ok && result.era > m_revision.era;
    if (result.status == StoreCallStatus::HistoryGone || isRestored) {
        m_mustRelist = true;
        relist();
        return;
    }
    if (result.status != StoreCallStatus::Ok || result.era < m_revision.era) {
        onFailure();
        return;
    }
    onSuccess();
    m_revision.number = std::max(m_revision.number, result.revision);
    // Without changes, the store has answered only after the whole wait.
    const Timestamp waitEnd = m_callStart + m_watchWait;
    const bool hasWaited = result.objects.empty() && bootNow() >= waitEnd;
    m_handlers.changed(result.objects, readContext(hasWaited ? waitEnd : m_callStart));
    if (m_isListComplete)
        watch();
    else
        relist();
}

void StoreWatcher::onFailure()
{
    const auto now = bootNow();
    if (m_failureCount++ == 0)
        m_outageStart = now;
    if (m_isReachable && m_failureCount > 1) {
        m_isReachable = false;
        logEvent(LogLevel::Warning, "store.lost", {{"kind", m_kind}});
        if (m_handlers.reachabilityChanged)
            m_handlers.reachabilityChanged(false);
    }
    const auto retryDelay = std::min(
            minRetryDelay * (1 << std::min(m_failureCount - 1, maxDoublings)), m_maxRetryDelay());
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    m_timer.expires_after(
            std::chrono::duration_cast<std::chrono::milliseconds>(retryDelay * jitter(m_random)));
    m_timer.async_wait([this, call = m_callNumber](const boost::system::error_code &ec) {
        if (ec || !isCurrentCall(call))
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
    const auto now = bootNow();
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

/*!
    Records that the store was restored from an older copy since the previous answer. What the copy
    lacks is written again within the same time as after an outage.
*/
void StoreWatcher::noteRestoration(const StoreReadResult &result)
{
    logEvent(LogLevel::Warning, "store.restored",
             {{"kind", m_kind},
              {"era", static_cast<std::int64_t>(result.era)},
              {"previous_era", static_cast<std::int64_t>(m_revision.era)},
              {"revision", static_cast<std::int64_t>(result.revision)},
              {"previous_revision", static_cast<std::int64_t>(m_revision.number)}});
    m_lastOutageEnd = bootNow();
}

StoreReadContext StoreWatcher::readContext(Timestamp knownAt) const
{
    StoreReadContext context {.revision = m_revision, .knownAt = knownAt};
    if (m_lastOutageEnd && bootNow() < *m_lastOutageEnd + lapseGrace)
        context.graceEnd = *m_lastOutageEnd + lapseGrace;
    return context;
}

} // namespace sesame
