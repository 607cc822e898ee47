#pragma once

#include "Core/Rollout/rolloutdecision.h"
#include "Core/storerevision.h"
#include "Serving/dutycoordinator.h"
#include "Serving/objectstoreclient.h"
#include "Serving/servingstate.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sesame {

/*!
    How the platform names and formats what the RolloutDuty writes.
*/
struct RolloutFormat
{
    std::string kind; //!< Kind of the orders.
    //! Returns the status of a roll-out to a target.
    std::function<std::shared_ptr<json_t>(RolloutState, const std::string &target)> formatStatus;
};

/*!
    Decides the steps of the roll-outs.

    The holder of the duties decides all steps. It records each step in the store before it takes
    effect, so that no successor goes back behind a roll-back or repeats a larger share. Each
    aggregator has the same evidence and may roll back a bad version by itself, which needs neither
    the duties nor the store; the holder records it when it can.
*/
class RolloutDuty
{
public:
    RolloutDuty(ServingState &state, const DutyCoordinator &duties,
                std::unique_ptr<ObjectStoreClient> store, RolloutFormat format);

    /*!
        Takes over the evidence, and decides and records the steps that are due.
    */
    void tick();

private:
    //! What the duty knows of the roll-outs of one service.
    struct Service
    {
        std::unique_ptr<RolloutDecision> decision; //!< Null if none is in progress.
        std::int64_t decidedOrder = 0; //!< Order of the decision.
        std::int64_t startMillis = 0; //!< Start of the latest order; 0 if unknown.
        Milliseconds duration {0}; //!< Duration of the latest order; 0 if unknown.
        //! Content of the record, as it was read or written last; null if there is none.
        std::shared_ptr<json_t> recorded;
        StoreRevision recordRevision; //!< Number 0 if there is no record.
        //! Era of the store in which the status of the order has been seen to be final.
        std::optional<std::uint64_t> finalReportEra;
        Timestamp nextStatusTime {};
        std::int64_t loggedMillis = 0; //!< Time at which the evidence was logged.
    };

    bool isNewOrder(const RolloutOrder &order, const Service &service) const;
    void decide(const std::string &name, std::span<const wire::VersionEvidence> evidence);
    RolloutInputs makeInputs(const wire::RolloutStep &step,
                             std::span<const wire::VersionEvidence> evidence) const;
    void applyChange(const std::string &name, const wire::RolloutStep &step,
                     const RolloutChange &change);
    void beginOrder(const RolloutOrder &order);
    bool synchronize(const std::string &name);
    void readRecords();
    void adoptRecord(const StoredObject &object, std::uint64_t era);
    std::shared_ptr<json_t> formatRecord(const std::string &name,
                                         const wire::RolloutStep &step) const;
    void writeRecord(const std::string &name, const wire::RolloutStep &step);
    void writeStatus(const std::string &name, const wire::RolloutStep &step);
    bool canWrite() const;

    ServingState &m_state;
    const DutyCoordinator &m_duties;
    std::unique_ptr<ObjectStoreClient> m_store;
    RolloutFormat m_format;
    std::map<std::string, Service> m_services;
    std::int64_t m_term = 0; //!< Term in which the records were read.
    bool m_isHolder = false;
    bool m_recordsRead = false;
    bool m_callPending = false;
    Timestamp m_nextCallTime {};
};

} // namespace sesame
