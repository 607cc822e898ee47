#include "Serving/dutykeeper.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 200ms;
//! A holder renews three times in a lease, so that one lost answer does not end its term.
constexpr Duration renewInterval = 800ms;
constexpr Duration watchInterval = 1000ms;
//! Wait after a window before its counts are final: reports of peers, and requests that were
//! sent in it and had their first answer after it, arrive in this time.
constexpr std::int64_t settleMillis = 2500;
//! Windows older than this are not reported; they are overdue.
constexpr std::int64_t windowsKept = 4;
//! Pause before a report that was not accepted is repeated.
constexpr Duration reportPause = 700ms;
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
    // The iteration macro takes a mutable object and does not change it.
    json_object_foreach(const_cast<json_t *>(object), account, value) counts[account]
            = json_integer_value(value);
    return counts;
}

} // namespace

DutyKeeper::DutyKeeper(ServingState &state, std::unique_ptr<ObjectStoreCalls> store,
                       DutyCalls &calls)
    : m_state(state), m_store(std::move(store)), m_calls(calls),
      m_term({.leaseDuration = state.settings.lease}, state.settings.node, state.incarnation),
      m_timer(state.context)
{
}

void DutyKeeper::withdraw()
{
    m_withdrawn = true;
    m_nextStep = {};
}

void DutyKeeper::schedule()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        tick();
        schedule();
    });
}

bool DutyKeeper::mayAct() const
{
    return m_term.canAct(steadyNow(), bootNow());
}

void DutyKeeper::tick()
{
    m_state.usage.removeBefore(m_state.currentWindow() - windowsKept);
    const Timestamp now = steadyNow();
    if (m_term.term() != 0 && !m_term.isHeld(now, bootNow())) {
        logEvent(LogLevel::Warning, "duties.lost", {{"term", m_term.term()}, {"reason", "lapsed"}});
        m_term.endTerm();
    }
    if (mayAct() && !m_withdrawn) {
        // A report is written down before it is sent, so that nobody ever sends another one.
        if (m_decidedWindow == 0 && decideReport())
            m_nextStep = now;
        if (m_decidedWindow != 0 && m_decidedInStore)
            sendReport();
    }
    if (m_busy || now < m_nextStep)
        return;
    if (m_term.term() == 0) {
        readRecord();
        return;
    }
    DutyRecord record = m_term.currentRecord();
    if (m_withdrawn)
        record.holder.clear();
    write(record);
}

void DutyKeeper::readRecord()
{
    if (m_withdrawn)
        return;
    m_busy = true;
    m_nextStep = steadyNow() + watchInterval;
    // A stale read is safe: the write that takes over names the revision that was read.
    m_store->list(recordKind, true, [this](const StoreListing &listing) {
        m_busy = false;
        onRead(listing);
    });
}

std::optional<DutyRecord> DutyKeeper::takeListing(const StoreListing &listing,
                                                  std::uint64_t &revision)
{
    std::optional<DutyRecord> record;
    for (const StoredObject &object : listing.objects) {
        if (object.name != recordName)
            continue;
        record = readState(object.content.get());
        revision = object.revision;
    }
    m_exists = record.has_value();
    return record;
}

/*!
    Reads the record after a refused renewal: the earlier write may have been this node's own.
*/
void DutyKeeper::readBack()
{
    m_busy = true;
    m_store->list(recordKind, false, [this](const StoreListing &listing) {
        m_busy = false;
        if (listing.status != StoreCallStatus::Ok)
            return;
        std::uint64_t revision = 0;
        const std::optional<DutyRecord> record = takeListing(listing, revision);
        if (m_term.adoptRevision(record, revision))
            return;
        logEvent(LogLevel::Warning, "duties.lost",
                 {{"term", m_term.term()}, {"reason", "another holder"}});
        m_term.endTerm();
        m_term.observe(record, revision, steadyNow());
    });
}

void DutyKeeper::onRead(const StoreListing &listing)
{
    if (listing.status != StoreCallStatus::Ok || m_withdrawn)
        return;
    std::uint64_t revision = 0;
    const std::optional<DutyRecord> record = takeListing(listing, revision);
    m_term.observe(record, revision, steadyNow());
    if (const auto proposal = m_term.proposeTakeover(steadyNow()))
        write(*proposal);
}

std::optional<DutyRecord> DutyKeeper::readState(const json_t *content)
{
    DutyRecord record;
    record.holder = jsonString(content, "holder");
    record.incarnation = jsonInteger(content, "incarnation");
    record.term = jsonInteger(content, "term");
    m_reportedThrough = std::max(m_reportedThrough, jsonInteger(content, "reportedThrough"));
    m_decidedWindow = jsonInteger(content, "decidedWindow");
    m_decidedCounts = readCounts(json_object_get(content, "decidedCounts"));
    m_decidedInStore = m_decidedWindow != 0;
    const char *window = nullptr;
    json_t *reporters = nullptr;
    json_object_foreach(json_object_get(content, "began"), window, reporters)
    {
        const char *reporter = nullptr;
        json_t *counts = nullptr;
        json_object_foreach(reporters, reporter, counts)
                m_state.usage.merge(std::atoll(window), reporter, readCounts(counts));
    }
    return record;
}

std::shared_ptr<json_t> DutyKeeper::formatRecord(const DutyRecord &record) const
{
    std::shared_ptr<json_t> content(json_object(), JsonDeleter {});
    const auto set = [&content](const char *key, json_t *value) {
        json_object_set_new(content.get(), key, value);
    };
    set("holder", json_string(record.holder.c_str()));
    set("incarnation", json_integer(record.incarnation));
    set("term", json_integer(record.term));
    set("reportedThrough", json_integer(m_reportedThrough));
    set("decidedWindow", json_integer(m_decidedWindow));
    set("decidedCounts", formatCounts(m_decidedCounts));
    // Changes with each write: a write that changes nothing keeps the revision, and the term
    // would look lapsed.
    set("renewedAt", json_integer(bootMillis()));
    json_t *began = json_object();
    for (const auto &[window, reporters] : m_state.usage.windows()) {
        if (window <= m_reportedThrough)
            continue;
        json_t *entry = json_object();
        for (const auto &[reporter, counts] : reporters)
            json_object_set_new(entry, reporter.c_str(), formatCounts(counts));
        json_object_set_new(began, std::to_string(window).c_str(), entry);
    }
    set("began", began);
    return content;
}

void DutyKeeper::write(const DutyRecord &record)
{
    m_busy = true;
    const Timestamp steady = steadyNow();
    const Timestamp boot = bootNow();
    m_nextStep = steady + renewInterval;
    const std::shared_ptr<json_t> content = formatRecord(record);
    const bool carriesDecision = m_decidedWindow != 0;
    const auto done = [this, record, steady, boot, carriesDecision](const StoreWrite &written) {
        m_busy = false;
        if (written.status == StoreCallStatus::Ok)
            m_decidedInStore = carriesDecision && m_decidedWindow != 0;
        onWritten(record, written, steady, boot);
    };
    if (m_exists)
        m_store->replace(recordKind, recordName, content.get(), m_term.observedRevision(), done);
    else
        m_store->create(recordKind, recordName, content.get(), done);
}

void DutyKeeper::onWritten(const DutyRecord &record, const StoreWrite &written, Timestamp steady,
                           Timestamp boot)
{
    if (written.status == StoreCallStatus::Ok) {
        m_exists = true;
        if (record.holder.empty()) {
            logEvent(LogLevel::Info, "duties.released", {{"term", record.term}});
            m_term.endTerm();
            return;
        }
        const bool isNew = m_term.term() == 0;
        m_term.confirmWrite(record, written.revision, steady, boot);
        if (isNew)
            logEvent(LogLevel::Info, "duties.taken", {{"term", record.term}});
        return;
    }
    m_nextStep = steadyNow() + tickInterval;
    if (written.status == StoreCallStatus::Conflict && m_term.term() != 0)
        readBack();
}

/*!
    Fixes the report of the oldest window that is complete and not reported. Returns whether there
    is one.
*/
bool DutyKeeper::decideReport()
{
    if (!m_state.settings.metersUsage)
        return false;
    const std::int64_t length = m_state.settings.usageWindow.count();
    const std::int64_t now = m_state.trueTime.now(bootMillis());
    const std::int64_t last = (now - settleMillis) / length - 1;
    const std::int64_t first = std::max(m_reportedThrough + 1, last - windowsKept + 1);
    for (std::int64_t window = first; window <= last; ++window) {
        const AccountCounts counts = m_state.usage.total(window);
        if (counts.empty())
            continue;
        m_decidedWindow = window;
        m_decidedCounts = counts;
        m_decidedInStore = false;
        return true;
    }
    return false;
}

void DutyKeeper::sendReport()
{
    if (m_reporting || steadyNow() < m_nextReport)
        return;
    m_reporting = true;
    m_nextReport = steadyNow() + reportPause;
    const std::int64_t window = m_decidedWindow;
    m_calls.reportUsage(window, m_decidedCounts, m_term.term(),
                        [this, window](DutyCallStatus status) {
                            m_reporting = false;
                            if (status != DutyCallStatus::Accepted || m_decidedWindow != window)
                                return;
                            logEvent(LogLevel::Info, "usage.reported", {{"window", window}});
                            m_reportedThrough = std::max(m_reportedThrough, window);
                            m_decidedWindow = 0;
                            m_decidedCounts.clear();
                            m_decidedInStore = false;
                        });
}

} // namespace sesame
