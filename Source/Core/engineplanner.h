#pragma once

#include "Core/enginedirectory.h"
#include "Core/ports.h"
#include "Core/servingconfig.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sesame {

struct EngineOrder
{
    std::string service;
    std::string zone;
    int desired = 0;
    bool spot = false;
};

enum class OrderResult {
    Accepted,
    NoneAvailable, //!< The zone has no engines of the kind to give now.
    Failed //!< The order did not get through.
};

struct EnginePlannerOptions
{
    //! Part of an engine's slots that is planned to be in use; the rest keeps first events early
    //! while long prompts are read.
    double targetUtilization = 0.18;
    double zoneLossFactor
            = 1.34; //!< Factor that covers the loss of one of four availability zones.
    double maxGrowthFactor
            = 2.0; //!< Largest factor between the engines that are there and the plan.
    int growthFloorPerZone = 2; //!< The plan may reach this with any number of engines.
    double secondsPerRequest = 1.0; //!< That a refused request would have been in progress.
    //! Demand of the past that still counts. Longer than an engine takes to start, so that a
    //! short pause does not stop engines that are needed again at once.
    Duration demandWindow {std::chrono::seconds(20)};
    //! From the first engine seen to the first plan: engines register one by one after a start.
    Duration registrationTime {std::chrono::seconds(3)};
    Duration loadTimeConstant {std::chrono::milliseconds(1500)};
    Duration refusalRetryDelay {std::chrono::seconds(3)}; //!< A zone that had no engines to give.
    Duration failureRetryDelay {
            std::chrono::milliseconds(500)}; //!< An order that did not get through.
    Duration repeatDelay {
            std::chrono::seconds(6)}; //!< Before an order that has no effect is repeated.
};

/*!
    Decides how many engines of one service to order in each availability zone: enough for the
    recent demand and the loss of a zone, on spot engines where they are offered.

    Engines of the normal price that were there first stay until enough spot engines are ready.
*/
class EnginePlanner
{
public:
    explicit EnginePlanner(EnginePlannerOptions options = {}) : m_options(options) { }

    /*!
        Takes the present demand into account without ordering, so that a node that takes the
        duty over knows the demand of the time before. Returns false while the engines that are
        there first still register.
    */
    bool observeDemand(const ServiceSpec &service, const std::vector<EngineState *> &engines,
                       double refusedPerSecond, Timestamp now);

    /*!
        Forgets what was ordered, because another node may have ordered since.
    */
    void clearOrders();

    /*!
        Returns the orders to send now for \a service, whose engines are \a engines.
        \a refusedPerSecond is how many requests all nodes refuse for lack of room.
    */
    std::vector<EngineOrder> plan(const ServiceSpec &service,
                                  const std::vector<EngineState *> &engines,
                                  double refusedPerSecond, Timestamp now);

    /*!
        Takes what became of \a order.
    */
    void recordResult(const EngineOrder &order, OrderResult result, Timestamp now);

    /*!
        Returns the number of engines planned last.
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
        int desired = -1;
        Timestamp placedAt; //!< Of the last order with this number.
    };
    using OrderKey = std::pair<std::string, bool>; //!< Zone, and whether it is for spot engines.

    int estimateNeededEngines(const ScalingSpec &scaling, const std::vector<EngineState *> &engines,
                              double refusedPerSecond, Timestamp now);
    int planOnDemandEngines(int spot, int onDemand, int unplacedSpot) const;
    int moveFromZonesWithoutSpot(const ScalingSpec &scaling,
                                 const std::map<std::string, EngineCounts> &countsByZone,
                                 std::map<std::string, int> &wanted);
    static std::map<std::string, int> distributeOverZones(const ScalingSpec &scaling, int total,
                                                          int minPerZone);
    void addOrderIfDue(std::vector<EngineOrder> &orders, const EngineOrder &order, int present,
                       Timestamp now);

    EnginePlannerOptions m_options;
    std::deque<std::pair<Timestamp, int>> m_recentNeeds;
    double m_averageLoad = 0.0;
    int m_slotsPerEngine = 1; //!< Of an engine, as last seen.
    int m_initialEngines = 0; //!< Engines at the first plan.
    bool m_hasSeenLoad = false; //!< There has been a request since the plans began.
    Timestamp m_firstEngineAt;
    Timestamp m_lastEstimateAt;
    int m_plannedEngines = 0;
    std::map<OrderKey, PlacedOrder> m_placedOrders;
    std::map<OrderKey, Timestamp> m_retryAt;
    std::set<std::string>
            m_zonesWithoutSpot; //!< Refused an order of spot engines and lack some since.
};

} // namespace sesame
