#pragma once

#include "Core/dutyterm.h"
#include "Serving/dutyclient.h"
#include "Serving/objectstoreclient.h"
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
class DutyCoordinator
{
public:
    DutyCoordinator(ServingState &state, std::unique_ptr<ObjectStoreClient> store,
                    DutyClient &dutyClient);

    void start() { scheduleTick(); }

    /*!
        Gives the duties up at the next chance; takes them no more.
    */
    void withdraw();

    bool isHolder() const { return canPerformDuties() && !m_withdrawn; }
    std::int64_t term() const { return m_term.term(); }

private:
    void scheduleTick();
    void tick();
    void readRecord();
    void onRecordRead(const StoreReadResult &result);
    void rereadRecord();
    std::optional<DutyRecord> extractRecord(const StoreReadResult &result, std::uint64_t &revision);
    void writeRecord(const DutyRecord &record);
    void onRecordWritten(const DutyRecord &record, const StoreWriteResult &result,
                         Timestamp steadyStart, Timestamp bootStart);
    std::shared_ptr<json_t> formatRecord(const DutyRecord &record) const;
    std::optional<DutyRecord> parseRecord(const json_t *content);
    bool decideNextReport();
    void sendReport();
    bool canPerformDuties() const;

    ServingState &m_state;
    std::unique_ptr<ObjectStoreClient> m_store;
    DutyClient &m_dutyClient;
    DutyTerm m_term;
    asio::steady_timer m_timer;
    bool m_storeCallPending = false; //!< A call to the store is under way.
    bool m_recordExists = false; //!< The record is in the store.
    bool m_reportPending = false;
    bool m_withdrawn = false;
    bool m_isDecisionStored = false; //!< The decided report is in the confirmed record.
    std::int64_t m_reportedThrough = 0;
    std::int64_t m_decidedWindow = 0; //!< 0 if no report is decided.
    AccountCounts m_decidedCounts;
    Timestamp m_nextStoreCallTime;
    Timestamp m_nextReportTime;
};

} // namespace sesame
