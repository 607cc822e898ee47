#pragma once

#include "Core/Capacity/slidingmaximum.h"
#include "Core/enginedirectory.h"
#include "Core/ports.h"
#include "Core/servingconfig.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sesame {

/*!
    Request to the cloud platform to run a number of engines of one kind in one zone.
*/
struct EngineOrder
{
    std::string service;
    std::string zone;
    int desired = 0; //!< Number of engines to run, not the change.
    bool spot = false; //!< True for spot engines, false for on-demand engines.
};

/*!
    Demand for a service over all nodes, besides the requests in progress at its engines.
*/
struct ServiceDemand
{
    double refusedPerSecond = 0.0; //!< Requests that are refused for lack of capacity.
    //! Number of engines that reading the prompts of all requests keeps busy; unset if it is not
    //! known. It does not grow when engines become slow or lose requests, as the requests in
    //! progress do.
    std::optional<double> busyEngines {};
};

enum class OrderResult {
    Accepted,
    NoneAvailable, //!< No engines of this kind are available in the zone now.
    Failed //!< The call to the platform failed.
};

struct EnginePlannerOptions
{
    //! Share of an engine's slots that is planned to be in use. The rest keeps the time to the
    //! first event short while the engine prefills long prompts.
    double targetUtilization = 0.18;
    //! Requests that an engine with few slots is planned to have in progress. The time that prompts
    //! take does not depend on the number of slots.
    double minLoadPerEngine = 4.5;
    //! Largest number of requests that an engine is planned to have in progress, however many slots
    //! it has, because it reads prompts one after the other.
    double maxLoadPerEngine = 6.0;
    double maxUtilization = 0.5; //!< Limit of the share of the slots for minLoadPerEngine.
    //! Share of the time that an engine is planned to read prompts. Limits the on-demand engines
    //! if the busy engines are known: requests in progress pile up while engines are lost, and
    //! on-demand engines that answered this pile would cost more than they serve.
    double readingUtilization = 0.4;
    //! Factor on the needed engines that covers the loss of one of four availability zones.
    double zoneLossFactor = 1.34;
    //! Limit for the planned engines, as a multiple of the present engines.
    double maxGrowthFactor = 2.0;
    //! Engines per zone that may be planned regardless of maxGrowthFactor.
    int growthFloorPerZone = 2;
    //! Time that a refused request would have been in progress, in seconds.
    double secondsPerRequest = 1.0;
    //! The largest demand within this time determines the plan. It is longer than the start of an
    //! engine, so that a short pause does not stop engines that are needed again at once.
    Duration demandWindow {std::chrono::seconds(20)};
    //! Replaces demandWindow for on-demand engines, which cost several times as much.
    Duration onDemandWindow {std::chrono::seconds(8)};
    //! Time from the first call of observeDemand() to the first plan. Engines register one by one
    //! after they start, and an earlier plan would not count all of them.
    Duration registrationTime {std::chrono::seconds(3)};
    //! Time constant of the exponential average of the load.
    Duration loadTimeConstant {std::chrono::milliseconds(1500)};
    //! Delay before the next order in a zone that had no engines available.
    Duration refusalRetryDelay {std::chrono::seconds(3)};
    //! Delay before the next order after a call to the platform failed.
    Duration failureRetryDelay {std::chrono::milliseconds(500)};
    //! Delay before an accepted order that has had no effect is repeated.
    Duration repeatDelay {std::chrono::seconds(6)};
};

/*!
    Decides how many engines of one service to order in each availability zone. The plan covers the
    recent demand and the loss of one zone, and uses spot engines where they are offered.

    On-demand engines that already run are kept until enough spot engines are ready, or until the
    demand has fallen for some seconds.
*/
class EnginePlanner
{
public:
    explicit EnginePlanner(EnginePlannerOptions options = {}) : m_options(options) { }

    /*!
        Records the present demand without planning orders, so that a node that takes over the
        duty knows the demand of the preceding time. Returns false while the first engines
        still register, or if the service cannot be scaled.
    */
    bool observeDemand(const ServiceSpec &service, const std::vector<EngineState *> &engines,
                       const ServiceDemand &demand, Timestamp now);

    /*!
        Takes over that an earlier holder of the duty needed \a engines engines until \a now, so
       that a node which knows no demand of before does not release them.
    */
    void adoptNeed(int engines, Timestamp now);

    /*!
        Forgets all previous orders. Another node may have placed newer ones.
    */
    void clearOrders();

    /*!
        Returns the orders to send now for \a service, whose engines are \a engines.
    */
    std::vector<EngineOrder> plan(const ServiceSpec &service,
                                  const std::vector<EngineState *> &engines,
                                  const ServiceDemand &demand, Timestamp now);

    /*!
        Records the \a result of \a order.
    */
    void recordResult(const EngineOrder &order, OrderResult result, Timestamp now);

    /*!
        Returns the total number of engines in the last plan, in all zones.
    */
    int plannedEngines() const { return m_plannedEngines; }

private:
    struct EngineCounts
    {
        int onDemand = 0;
        int spot = 0;
    };
    struct PlacedOrder
    {
        int desired = -1; //!< Negative if nothing has been ordered.
        Timestamp placedAt; //!< Time of the last order with this number.
    };
    using OrderKey = std::pair<std::string, bool>; //!< Zone, and true for spot engines.

    int estimateNeededEngines(const ScalingSpec &scaling, const std::vector<EngineState *> &engines,
                              const ServiceDemand &demand, Timestamp now);
    double plannedLoadPerEngine() const;
    int planOnDemandEngines(const ScalingSpec &scaling, int spot, int onDemand,
                            int unplacedSpot) const;
    static std::map<std::string, int>
    placeOnDemandEngines(const ScalingSpec &scaling,
                         const std::map<std::string, EngineCounts> &countsByZone, int total);
    int moveFromZonesWithoutSpot(const ScalingSpec &scaling,
                                 const std::map<std::string, EngineCounts> &countsByZone,
                                 std::map<std::string, int> &wanted);
    static std::map<std::string, int> distributeOverZones(const ScalingSpec &scaling, int total,
                                                          int minPerZone);
    void addOrderIfDue(std::vector<EngineOrder> &orders, const EngineOrder &order, int present,
                       Timestamp now);

    EnginePlannerOptions m_options;
    SlidingMaximum m_needs; //!< Needed engines by the requests in progress.
    SlidingMaximum m_readingNeeds; //!< Needed engines by ServiceDemand::busyEngines.
    double m_averageLoad = 0.0;
    int m_slotsPerEngine = 1; //!< Largest number of slots of an engine so far.
    int m_initialEngines = 0; //!< Number of engines at the first plan.
    bool m_hasSeenLoad = false; //!< True once there has been load since the first plan.
    Timestamp m_firstObservedAt;
    Timestamp m_lastEstimateAt;
    int m_plannedEngines = 0;
    //! Largest need within EnginePlannerOptions::onDemandWindow.
    int m_onDemandNeed = 0;
    std::map<OrderKey, PlacedOrder> m_placedOrders;
    std::map<OrderKey, Timestamp> m_retryAt;
    //! Zones that refused an order of spot engines and have had too few of them since.
    std::set<std::string> m_zonesWithoutSpot;
};

} // namespace sesame
