#pragma once

#include "Core/dutyterm.h"
#include "Serving/dutyclient.h"
#include "Serving/objectstoreclient.h"
#include "Serving/servingstate.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace sesame {

/*!
    Acquires and renews the lease on the duties, and reports usage while this node holds them.

    Besides the holder, the lease record in the object store contains the usage counts of recent
    windows and the decided usage report, whose content is final but which may not have been
    delivered. A successor can therefore repeat a report exactly, and few counts are lost when
    all nodes restart.
*/
class DutyCoordinator
{
public:
    DutyCoordinator(ServingState &state, std::unique_ptr<ObjectStoreClient> store,
                    DutyClient &dutyClient);

    /*!
        Starts to compete for the duties.
    */
    void start() { scheduleTick(); }

    /*!
        Releases the duties with the next write of the record and does not acquire them again.
    */
    void withdraw();

    /*!
        Returns whether this node holds the duties and may perform them now.
    */
    bool isHolder() const { return canPerformDuties() && !m_withdrawn; }

    /*!
        Returns the fencing token of the held term, or 0 if this node does not hold the duties.
    */
    std::int64_t term() const { return m_term.term(); }

private:
    void scheduleTick();
    void tick();
    bool isEligible(Timestamp now);
    void readRecord(bool allowStale);
    void onRecordRead(const StoreReadResult &result, bool isStale);
    void rereadRecord();
    const StoredObject *findRecord(const StoreReadResult &result);
    void writeRecord(const DutyRecord &record);
    void onRecordWritten(const DutyRecord &record, const StoreWriteResult &result,
                         Timestamp steadyStart, Timestamp bootStart);
    std::shared_ptr<json_t> formatRecord(const DutyRecord &record) const;
    void adoptContent(const json_t *content);
    void skipUncertainWindows();
    std::int64_t lastSettledWindow() const;
    bool decideNextReport();
    void sendReport();
    bool canPerformDuties() const;

    ServingState &m_state;
    std::unique_ptr<ObjectStoreClient> m_store;
    DutyClient &m_dutyClient;
    DutyTerm m_term;
    asio::steady_timer m_timer;
    bool m_storeCallPending = false; //!< A call to the object store is in progress.
    bool m_recordExists = false; //!< The object store contains the record.
    bool m_reportPending = false; //!< A usage report is being sent.
    bool m_withdrawn = false; //!< withdraw() was called.
    bool m_isDecisionStored = false; //!< The stored record contains the decided report.
    std::int64_t m_reportedThrough = 0; //!< Latest window whose report was accepted.
    std::int64_t m_decidedWindow = 0; //!< Window of the decided report; 0 if there is none.
    AccountCounts m_decidedCounts; //!< Counts of the decided report.
    Timestamp m_nextStoreCallTime; //!< Earliest time of the next read or write of the record.
    Timestamp m_nextReportTime; //!< Earliest time of the next usage report.
    Timestamp m_lastEligibleTime; //!< Last time at which this node was an aggregator.
};

} // namespace sesame
