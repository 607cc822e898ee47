#include "Serving/dutycoordinator.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 200ms;
//! The holder renews three times within a lease, so that one lost response does not end its term.
constexpr Duration renewInterval = 800ms;
constexpr Duration recordPollInterval = 1000ms;
//! A holder that is no longer an aggregator keeps the duties for this time, because its place among
//! the nodes may change for a moment when others start.
constexpr Duration eligibilityGrace = 3s;
//! Delay after the end of a usage window until its counts are final. Within this time, the reports
//! of peers arrive, and so do the first responses to requests that were sent in the window.
constexpr std::int64_t windowSettleMillis = 2500;
//! Number of recent windows that are kept. Older ones are not reported because they are overdue.
constexpr std::int64_t retainedWindows = 4;
//! Delay until a report that was not accepted is sent again.
constexpr Duration reportRetryDelay = 700ms;
constexpr const char *recordKind = "duties";
constexpr const char *recordName = "deployment";

json_t *formatCounts(const AccountCounts &counts)
{
    json_t *object = json_object();
    for (const auto &[account, n] : counts)
        json_object_set_new(object, account.c_str(), json_integer(n));
    return object;
}

AccountCounts readCounts(const json_t *object)
{
    AccountCounts counts;
    const char *account = nullptr;
    json_t *value = nullptr;
    // json_object_foreach() requires a mutable object but does not modify it.
    json_object_foreach(const_cast<json_t *>(object), account, value) counts[account]
            = json_integer_value(value);
    return counts;
}

std::optional<DutyRecord> parseRecord(const StoredObject *object)
{
    if (!object)
        return std::nullopt;
    const json_t *content = object->content.get();
    return DutyRecord {.holder = jsonString(content, "holder"),
                       .incarnation = jsonInteger(content, "incarnation"),
                       .term = jsonInteger(content, "term"),
                       .era = static_cast<std::uint64_t>(jsonInteger(content, "era")),
                       .isWaiting = jsonBool(content, "waiting")};
}

/*!
    Returns the revision of \a object in \a result, which is null if the object does not exist.
*/
StoreRevision revisionOf(const StoreReadResult &result, const StoredObject *object)
{
    return {.era = result.era, .number = object ? object->revision : 0};
}

} // namespace

DutyCoordinator::DutyCoordinator(ServingState &state, std::unique_ptr<ObjectStoreClient> store,
                                 DutyClient &dutyClient)
    : m_state(state), m_store(std::move(store)), m_dutyClient(dutyClient),
      m_term({.leaseDuration = state.settings.lease, .isFirstStart = state.settings.isFirstStart},
             state.settings.node, state.incarnation),
      m_timer(state.context)
{
}

void DutyCoordinator::withdraw()
{
    m_withdrawn = true;
    m_nextStoreCallTime = {};
}

void DutyCoordinator::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        tick();
        scheduleTick();
    });
}

bool DutyCoordinator::canPerformDuties() const
{
    return m_term.canAct(steadyNow(), bootNow());
}

void DutyCoordinator::tick()
{
    m_state.usage.removeBefore(m_state.currentWindow() - retainedWindows);
    const Timestamp now = steadyNow();
    if (m_term.term() != 0 && !m_term.isHeld(now, bootNow())) {
        logEvent(LogLevel::Warning, "duties.lost", {{"term", m_term.term()}, {"reason", "lapsed"}});
        m_term.endTerm();
    }
    if (canPerformDuties() && !m_withdrawn) {
        // A report is stored before it is sent, so that no holder can send a different report for
        // the same window.
        if (m_decidedWindow == 0 && decideNextReport())
            m_nextStoreCallTime = now;
        if (m_decidedWindow != 0 && m_isDecisionStored)
            sendReport();
    }
    if (m_storeCallPending || now < m_nextStoreCallTime)
        return;
    if (m_term.term() == 0) {
        if (m_state.tally.isAggregator())
            readRecord(true);
        return;
    }
    DutyRecord record = m_term.currentRecord(now);
    if (m_withdrawn || !isEligible(now))
        record.holder.clear();
    writeRecord(record);
}

/*!
    Returns whether this node may go on to hold the duties. Only an aggregator receives the counts
    of all zones.
*/
bool DutyCoordinator::isEligible(Timestamp now)
{
    if (m_state.tally.isAggregator())
        m_lastEligibleTime = now;
    return now - m_lastEligibleTime < eligibilityGrace;
}

void DutyCoordinator::readRecord(bool allowStale)
{
    if (m_withdrawn)
        return;
    m_storeCallPending = true;
    m_nextStoreCallTime = steadyNow() + recordPollInterval;
    m_store->list(recordKind, allowStale, [this, allowStale](const StoreReadResult &result) {
        m_storeCallPending = false;
        onRecordRead(result, allowStale);
    });
}

/*!
    Returns the record in \a result, or null if there is none, and remembers whether it exists.
*/
const StoredObject *DutyCoordinator::findRecord(const StoreReadResult &result)
{
    const auto found = std::find_if(result.objects.begin(), result.objects.end(),
                                    [](const StoredObject &object) {
                                        return object.name == recordName;
                                    });
    m_recordExists = found != result.objects.end();
    return m_recordExists ? &*found : nullptr;
}

/*!
    Reads the record again after a write was refused. The conflicting revision may come from an
    earlier write of this node whose response was lost, or the store may have lost the record.
*/
void DutyCoordinator::rereadRecord()
{
    m_storeCallPending = true;
    m_store->list(recordKind, false, [this](const StoreReadResult &result) {
        m_storeCallPending = false;
        if (result.status != StoreCallStatus::Ok || result.era < m_term.observedRevision().era)
            return;
        const StoredObject *object = findRecord(result);
        const std::optional<DutyRecord> record = parseRecord(object);
        const StoreRevision revision = revisionOf(result, object);
        if (m_term.adoptRevision(record, revision)) {
            // What this node decided may be missing from the record, which it replaces now.
            m_isDecisionStored = false;
            m_nextStoreCallTime = steadyNow();
            return;
        }
        logEvent(LogLevel::Warning, "duties.lost",
                 {{"term", m_term.term()}, {"reason", "another holder"}});
        m_term.endTerm();
        m_term.observe(record, revision, steadyNow());
        adoptContent(object ? object->content.get() : nullptr);
    });
}

void DutyCoordinator::onRecordRead(const StoreReadResult &result, bool isStale)
{
    if (result.status != StoreCallStatus::Ok || m_withdrawn
        || result.era < m_term.observedRevision().era)
        return;
    const StoredObject *object = findRecord(result);
    adoptContent(object ? object->content.get() : nullptr);
    m_term.observe(parseRecord(object), revisionOf(result, object), steadyNow());
    const auto proposal = m_term.proposeTakeover(steadyNow());
    if (!proposal)
        return;
    // A stale answer may be from before a restoration, after which its revision belongs to another
    // holder's record.
    if (isStale) {
        readRecord(false);
        return;
    }
    if (m_term.isRecordOutdated())
        skipUncertainWindows();
    writeRecord(*proposal);
}

/*!
    Takes over the counts and the decided report of a record, of which \a content may be null.
*/
void DutyCoordinator::adoptContent(const json_t *content)
{
    m_reportedThrough = std::max(m_reportedThrough, jsonInteger(content, "reportedThrough"));
    m_decidedWindow = jsonInteger(content, "decidedWindow");
    m_decidedCounts = readCounts(json_object_get(content, "decidedCounts"));
    m_isDecisionStored = m_decidedWindow != 0;
    const char *service = nullptr;
    json_t *engines = nullptr;
    json_object_foreach(json_object_get(content, "neededEngines"), service, engines)
            m_state.neededEngines[service]
            = static_cast<int>(json_integer_value(engines));
    const char *window = nullptr;
    json_t *zones = nullptr;
    json_object_foreach(json_object_get(content, "began"), window, zones)
    {
        const char *zone = nullptr;
        json_t *counts = nullptr;
        json_object_foreach(zones, zone, counts)
                m_state.usage.mergeZone(std::atoll(window), zone, readCounts(counts));
    }
}

std::shared_ptr<json_t> DutyCoordinator::formatRecord(const DutyRecord &record) const
{
    std::shared_ptr<json_t> content(json_object(), JsonDeleter {});
    const auto set = [&content](const char *key, json_t *value) {
        json_object_set_new(content.get(), key, value);
    };
    set("holder", json_string(record.holder.c_str()));
    set("incarnation", json_integer(record.incarnation));
    set("term", json_integer(record.term));
    set("era", json_integer(static_cast<json_int_t>(record.era)));
    set("waiting", json_boolean(record.isWaiting));
    set("reportedThrough", json_integer(m_reportedThrough));
    set("decidedWindow", json_integer(m_decidedWindow));
    set("decidedCounts", formatCounts(m_decidedCounts));
    // Makes every write change the object. The store keeps the revision if a write changes nothing,
    // and the term would then appear to have lapsed.
    set("renewedAt", json_integer(bootMillis()));
    json_t *needed = json_object();
    for (const auto &[service, engines] : m_state.neededEngines)
        json_object_set_new(needed, service.c_str(), json_integer(engines));
    set("neededEngines", needed);
    json_t *began = json_object();
    const std::int64_t lastWindow = m_state.usage.lastWindow();
    const std::int64_t firstWindow = std::max(m_reportedThrough + 1, lastWindow - retainedWindows);
    for (std::int64_t window = firstWindow; window <= lastWindow; ++window) {
        json_t *entry = json_object();
        for (const auto &[zone, counts] : m_state.usage.zoneTotals(window))
            json_object_set_new(entry, zone.c_str(), formatCounts(counts));
        json_object_set_new(began, std::to_string(window).c_str(), entry);
    }
    set("began", began);
    return content;
}

void DutyCoordinator::writeRecord(const DutyRecord &record)
{
    m_storeCallPending = true;
    const Timestamp steadyStart = steadyNow();
    const Timestamp bootStart = bootNow();
    m_nextStoreCallTime = steadyStart + renewInterval;
    const std::shared_ptr<json_t> content = formatRecord(record);
    const StoreRevision expected = m_term.observedRevision();
    const auto done = [this, record, steadyStart, bootStart, expected,
                       writtenWindow = m_decidedWindow](StoreWriteResult result) {
        m_storeCallPending = false;
        // After a restoration, the condition of the write refers to another revision.
        if (result.status == StoreCallStatus::Ok && result.era != expected.era)
            result.status = StoreCallStatus::Conflict;
        // Another report may have been decided since the write began.
        if (result.status == StoreCallStatus::Ok)
            m_isDecisionStored = writtenWindow != 0 && m_decidedWindow == writtenWindow;
        onRecordWritten(record, result, steadyStart, bootStart);
    };
    if (m_recordExists)
        m_store->replace(recordKind, recordName, content.get(), expected.number, done);
    else
        m_store->create(recordKind, recordName, content.get(), done);
}

void DutyCoordinator::onRecordWritten(const DutyRecord &record, const StoreWriteResult &result,
                                      Timestamp steadyStart, Timestamp bootStart)
{
    if (result.status == StoreCallStatus::Ok) {
        m_recordExists = true;
        if (record.holder.empty()) {
            logEvent(LogLevel::Info, "duties.released", {{"term", record.term}});
            m_term.endTerm();
            return;
        }
        const bool isNewTerm = m_term.term() == 0;
        m_term.confirmWrite(record, {.era = result.era, .number = result.revision}, steadyStart,
                            bootStart);
        if (isNewTerm)
            logEvent(LogLevel::Info, "duties.taken",
                     {{"term", record.term},
                      {"era", static_cast<std::int64_t>(result.era)},
                      {"revision", static_cast<std::int64_t>(result.revision)}});
        return;
    }
    m_nextStoreCallTime = steadyNow() + tickInterval;
    const bool isRefused = result.status == StoreCallStatus::Conflict
            || result.status == StoreCallStatus::NotFound;
    if (isRefused && m_term.term() != 0)
        rereadRecord();
}

/*!
    Leaves out the windows that a holder whose record was lost may have reported, except for a
    decided report, which all holders send with the same counts.
*/
void DutyCoordinator::skipUncertainWindows()
{
    if (!m_state.settings.metersUsage)
        return;
    const std::int64_t through = lastSettledWindow();
    if (through <= m_reportedThrough)
        return;
    logEvent(LogLevel::Warning, "usage.skipped",
             {{"after_window", m_reportedThrough},
              {"through_window", through},
              {"decided_window", m_decidedWindow}});
    m_reportedThrough = through;
}

std::int64_t DutyCoordinator::lastSettledWindow() const
{
    const std::int64_t now = m_state.trueTime.now(bootMillis());
    return (now - windowSettleMillis) / m_state.settings.usageWindow.count() - 1;
}

/*!
    Decides the report of the oldest complete window that has not been reported. Returns whether
    there is such a window.
*/
bool DutyCoordinator::decideNextReport()
{
    if (!m_state.settings.metersUsage)
        return false;
    const std::int64_t lastWindow = lastSettledWindow();
    const std::int64_t firstWindow = std::max(m_reportedThrough + 1,
                                              lastWindow - retainedWindows + 1);
    for (std::int64_t window = firstWindow; window <= lastWindow; ++window) {
        const AccountCounts counts = m_state.usage.total(window);
        if (counts.empty())
            continue;
        m_decidedWindow = window;
        m_decidedCounts = counts;
        m_isDecisionStored = false;
        return true;
    }
    return false;
}

void DutyCoordinator::sendReport()
{
    if (m_reportPending || steadyNow() < m_nextReportTime)
        return;
    m_reportPending = true;
    m_nextReportTime = steadyNow() + reportRetryDelay;
    const std::int64_t window = m_decidedWindow;
    logEvent(LogLevel::Info, "usage.sent", {{"window", window}, {"term", m_term.term()}});
    m_dutyClient.reportUsage(
            window, m_decidedCounts, m_term.term(), [this, window](DutyCallStatus status) {
                m_reportPending = false;
                if (status != DutyCallStatus::Accepted || m_decidedWindow != window)
                    return;
                logEvent(LogLevel::Info, "usage.reported", {{"window", window}});
                m_reportedThrough = std::max(m_reportedThrough, window);
                m_decidedWindow = 0;
                m_decidedCounts.clear();
                m_isDecisionStored = false;
            });
}

} // namespace sesame
