#pragma once

#include "Core/dutyterm.h"
#include "Serving/dutycalls.h"
#include "Serving/objectstore.h"
#include "Serving/servingstate.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace sesame {

/*!
    Competes for the duties and performs them while this node holds them.

    The record in the store carries, beside the holder, the usage counts of recent windows and the
    reports that are decided, so that a successor repeats a report exactly and a restart of all
    nodes loses little.
*/
class DutyKeeper
{
public:
    DutyKeeper(ServingState &state, std::unique_ptr<ObjectStoreCalls> store, DutyCalls &calls);

    void start() { schedule(); }

    /*!
        Gives the duties up at the next chance; takes them no more.
    */
    void withdraw();

    bool isHeld() const { return mayAct() && !m_withdrawn; }
    std::int64_t term() const { return m_term.term(); }

private:
    void schedule();
    void tick();
    void readRecord();
    void onRead(const StoreListing &listing);
    void readBack();
    std::optional<DutyRecord> takeListing(const StoreListing &listing, std::uint64_t &revision);
    void write(const DutyRecord &record);
    void onWritten(const DutyRecord &record, const StoreWrite &written, Timestamp steady,
                   Timestamp boot);
    std::shared_ptr<json_t> formatRecord(const DutyRecord &record) const;
    std::optional<DutyRecord> readState(const json_t *content);
    bool decideReport();
    void sendReport();
    bool mayAct() const;

    ServingState &m_state;
    std::unique_ptr<ObjectStoreCalls> m_store;
    DutyCalls &m_calls;
    DutyTerm m_term;
    asio::steady_timer m_timer;
    bool m_busy = false; //!< A call to the store is under way.
    bool m_exists = false; //!< The record is in the store.
    bool m_reporting = false;
    bool m_withdrawn = false;
    bool m_decidedInStore = false; //!< The decided report is in the confirmed record.
    std::int64_t m_reportedThrough = 0;
    std::int64_t m_decidedWindow = 0; //!< 0 if no report is decided.
    AccountCounts m_decidedCounts;
    Timestamp m_nextStep;
    Timestamp m_nextReport;
};

} // namespace sesame
