#pragma once

#include "Adapter/cloudclient.h"
#include "Core/capacityplanner.h"
#include "Core/leaseholder.h"
#include "Core/orderissuer.h"
#include "Core/startrecord.h"
#include "Node/engineordertarget.h"
#include "Node/nodecontext.h"
#include "Node/peerexchange.h"

#include <array>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Starts and stops model engines and orders them to load models while this node holds the
    lease "capacity". Not thread-safe.

    The capacity limit is enforced by counting recorded slots instead of replies of the cloud API:
    every start uses the client token of a recorded slot, and a slot is only added while slots and
    other listed engines together stay within the limit. The controller only stops instances that
    it started.
*/
class CapacityController
{
public:
    CapacityController(NodeContext &context, PeerExchange &peers);

    /*!
        Samples the demand, renews the lease and, once per capacity interval, reconciles the fleet
        with the capacity plan. Must be called several times a second.
    */
    void tick();

private:
    using Lease = LeaseHolder<ObjectServiceClient, SystemClock>;
    using Issuer = OrderIssuer<ObjectServiceClient, SystemClock, EngineOrderTarget>;
    using Slots = std::vector<StartSlot>;

    //! State of the fleet that one reconciliation works on.
    struct FleetView
    {
        std::vector<ListedInstance> listed; //!< Model engines in the list of the cloud API.
        std::vector<BackendView> engines;
        std::uint32_t limit = 0;
    };

    void sampleDemand(const FleetConfig &config, Timestamp now);
    bool maintainLease(Timestamp now);
    void releaseLease();
    void reconcileFleet(const FleetConfig &config);

    std::optional<FleetView> observeFleet();
    bool updateSlots(const FleetView &view, bool listEmpty);
    void retryUnansweredStarts();
    void stopDrainedInstances(const FleetView &view);
    void applyPlan(const FleetConfig &config, const BackendClass &backendClass,
                   const FleetView &view);
    void startInstance(const CapacityOption &option, const FleetView &view);
    bool sendStartOrder(const std::string &token);
    void stopSurplus(const BackendClass &backendClass, const CapacityPlan &plan,
                     std::span<const CapacityOption> options, const FleetView &view);
    CapacityDemand computeDemand(const FleetConfig &config, const BackendClass &backendClass) const;
    std::vector<CapacityOption> listOptions(const FleetConfig &config,
                                            const BackendClass &backendClass,
                                            const FleetView &view) const;
    std::uint32_t countRunning(const CapacityOption &option, const FleetView &view) const;
    WeightLoadState computeLoadState(const std::string &className, const FleetView &view) const;
    bool isOwned(std::string_view instance) const;

    void reconcileModelOrders(const FleetConfig &config, Fencing fencing, Issuer &issuer);

    NodeContext &m_context;
    PeerExchange &m_peers;
    CloudClient m_cloud;
    EngineOrderTarget m_orderTarget;
    Lease m_lease;
    StartRecord<ObjectServiceClient> m_startRecord;
    Issuer m_checkedOrders; //!< For engines that check fencing numbers.
    Issuer m_uncheckedOrders; //!< For engines that ignore fencing numbers.
    std::map<std::string, CapacityPlanner> m_planners; //!< The key is the backend class.
    //! Open requests for each model and rank, with decay.
    std::map<std::string, std::array<double, rankCount>> m_demand;
    //! Times at which this node, as lease holder, first saw each slot. The key is the slot's token.
    std::map<std::string, Timestamp> m_slotSeenAt;
    //! Times at which this node, as lease holder, first saw each slot as leaving. The key is the
    //! slot's token.
    std::map<std::string, Timestamp> m_leavingSeenAt;
    //! Number of consecutive reconciliations with a surplus, for each backend class.
    std::map<std::string, std::uint32_t> m_surplusCycles;
    std::mt19937_64 m_random;
    std::uint64_t m_loggedFencingNumber = 0; //!< 0 while this node does not hold the lease.
    Timestamp m_nextLeaseAttempt;
    Timestamp m_nextReconcile;
    Timestamp m_demandSampledAt;
};

} // namespace sesame
