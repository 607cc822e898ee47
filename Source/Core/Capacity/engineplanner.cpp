#include "Core/Capacity/engineplanner.h"

#include <algorithm>
#include <cmath>

namespace sesame {

bool EnginePlanner::observeDemand(const ServiceSpec &service,
                                  const std::vector<EngineState *> &engines,
                                  const ServiceDemand &demand, Timestamp now)
{
    if (!service.scaling || service.scaling->zonePrices.empty())
        return false;
    if (m_firstObservedAt == Timestamp {})
        m_firstObservedAt = now;
    if (now - m_firstObservedAt < m_options.registrationTime)
        return false;
    m_plannedEngines = estimateNeededEngines(*service.scaling, engines, demand, now);
    return true;
}

void EnginePlanner::adoptNeed(int engines, Timestamp now)
{
    m_needs.add(engines, m_options.demandWindow, now);
}

void EnginePlanner::clearOrders()
{
    m_placedOrders.clear();
    m_retryAt.clear();
    m_zonesWithoutSpot.clear();
}

std::vector<EngineOrder> EnginePlanner::plan(const ServiceSpec &service,
                                             const std::vector<EngineState *> &engines,
                                             const ServiceDemand &demand, Timestamp now)
{
    std::vector<EngineOrder> orders;
    if (!observeDemand(service, engines, demand, now))
        return orders;
    const ScalingSpec &scaling = *service.scaling;
    std::map<std::string, EngineCounts> countsByZone;
    int spot = 0;
    int onDemand = 0;
    for (const EngineState *engine : engines) {
        EngineCounts &counts = countsByZone[engine->entry.zone];
        ++(engine->entry.spot ? counts.spot : counts.onDemand);
        ++(engine->entry.spot ? spot : onDemand);
    }
    const bool useSpot = scaling.spotPrice && *scaling.spotPrice < 1.0;
    std::map<std::string, int> wantedSpot = distributeOverZones(
            scaling, useSpot ? m_plannedEngines : 0, scaling.min);
    const int unplacedSpot = moveFromZonesWithoutSpot(scaling, countsByZone, wantedSpot);
    const std::map<std::string, int> wantedOnDemand = useSpot
            ? placeOnDemandEngines(scaling, countsByZone,
                                   planOnDemandEngines(scaling, spot, onDemand, unplacedSpot))
            : distributeOverZones(scaling, m_plannedEngines, 0);
    for (const auto &[zone, desiredSpot] : wantedSpot) {
        const EngineCounts &present = countsByZone[zone];
        // The limit of a zone applies to both kinds together.
        const int room = std::max(scaling.max - present.onDemand, 0);
        if (useSpot)
            addOrderIfDue(orders,
                          {.service = service.name,
                           .zone = zone,
                           .desired = std::min(desiredSpot, room),
                           .spot = true},
                          present.spot, now);
        addOrderIfDue(orders,
                      {.service = service.name, .zone = zone, .desired = wantedOnDemand.at(zone)},
                      present.onDemand, now);
    }
    return orders;
}

/*!
    Returns the number of on-demand engines to run in addition to \a spot spot engines. The
    \a onDemand existing ones are kept until enough spot engines are ready. If no zone can provide
    \a unplacedSpot of the spot engines, on-demand engines replace them as far as the recent demand
    requires.
*/
int EnginePlanner::planOnDemandEngines(const ScalingSpec &scaling, int spot, int onDemand,
                                       int unplacedSpot) const
{
    const auto needed = static_cast<int>(std::ceil(m_onDemandNeed / m_options.zoneLossFactor));
    // On-demand engines are not kept if the spot engines cover the demand without the reserve for
    // the loss of a zone.
    if (spot >= needed)
        return 0;
    const int missingEngines = std::min(unplacedSpot, needed - spot);
    // Spot engines can replace on-demand engines in full zones only if some of these leave first.
    const bool isFull = spot + onDemand
            >= scaling.max * static_cast<int>(scaling.zonePrices.size());
    const int keptOnDemand = std::min(onDemand, (isFull ? needed : m_onDemandNeed) - spot);
    return std::max(missingEngines, keptOnDemand);
}

/*!
    Distributes \a total on-demand engines over the zones. Existing ones are not moved to another
    zone: if there are too many, the zones with the most of them release some.
*/
std::map<std::string, int>
EnginePlanner::placeOnDemandEngines(const ScalingSpec &scaling,
                                    const std::map<std::string, EngineCounts> &countsByZone,
                                    int total)
{
    const auto present = [&](const std::string &zone) {
        const auto counts = countsByZone.find(zone);
        return counts == countsByZone.end() ? 0 : counts->second.onDemand;
    };
    std::map<std::string, int> wanted = distributeOverZones(scaling, total, 0);
    int sum = 0;
    for (auto &[zone, engines] : wanted) {
        engines = std::max(engines, present(zone));
        sum += engines;
    }
    for (; sum > total; --sum) {
        const auto rank = [&](const std::pair<const std::string, int> &zone) {
            const int added = std::max(zone.second - present(zone.first), 0);
            return std::pair(added, zone.second);
        };
        const auto largest = std::max_element(wanted.begin(), wanted.end(),
                                              [&](const auto &a, const auto &b) {
                                                  return rank(a) < rank(b);
                                              });
        --largest->second;
    }
    return wanted;
}

/*!
    Distributes the shortfall of the zones in which no spot engines are available over the other
    zones in \a wanted, in rounds of one engine per zone that start with the cheapest zone. Returns
    the number of engines for which no zone has room. A zone without a shortfall counts as available
    again.
*/
int EnginePlanner::moveFromZonesWithoutSpot(const ScalingSpec &scaling,
                                            const std::map<std::string, EngineCounts> &countsByZone,
                                            std::map<std::string, int> &wanted)
{
    int unplacedEngines = 0;
    for (auto zone = m_zonesWithoutSpot.begin(); zone != m_zonesWithoutSpot.end();) {
        const auto wantedOfZone = wanted.find(*zone);
        if (wantedOfZone == wanted.end()) {
            zone = m_zonesWithoutSpot.erase(zone);
            continue;
        }
        const auto counts = countsByZone.find(*zone);
        const int zoneMissing = wantedOfZone->second
                - (counts == countsByZone.end() ? 0 : counts->second.spot);
        unplacedEngines += std::max(0, zoneMissing);
        zone = zoneMissing > 0 ? std::next(zone) : m_zonesWithoutSpot.erase(zone);
    }
    std::vector<std::pair<double, std::string>> zonesWithSpot;
    for (const auto &[zone, price] : scaling.zonePrices) {
        if (!m_zonesWithoutSpot.contains(zone))
            zonesWithSpot.emplace_back(price, zone);
    }
    std::sort(zonesWithSpot.begin(), zonesWithSpot.end());
    for (int round = 0; round < scaling.max && unplacedEngines > 0; ++round) {
        for (const auto &[price, zone] : zonesWithSpot) {
            if (unplacedEngines > 0 && wanted[zone] < scaling.max) {
                ++wanted[zone];
                --unplacedEngines;
            }
        }
    }
    return unplacedEngines;
}

/*!
    Returns the largest number of engines that was needed within the demand window.
*/
int EnginePlanner::estimateNeededEngines(const ScalingSpec &scaling,
                                         const std::vector<EngineState *> &engines,
                                         const ServiceDemand &demand, Timestamp now)
{
    double load = demand.refusedPerSecond * m_options.secondsPerRequest;
    for (const EngineState *engine : engines) {
        load += engine->ownLoad.requests + engine->peerLoad.requests;
        m_slotsPerEngine = std::max(m_slotsPerEngine, engine->entry.slots);
    }
    const double elapsed = std::chrono::duration<double>(now - m_lastEstimateAt).count();
    const double timeConstant = std::chrono::duration<double>(m_options.loadTimeConstant).count();
    m_averageLoad += (1.0 - std::exp(-elapsed / timeConstant)) * (load - m_averageLoad);
    m_lastEstimateAt = now;
    m_hasSeenLoad = m_hasSeenLoad || load > 0.0;
    const auto spot = static_cast<int>(
            std::count_if(engines.begin(), engines.end(), [](const EngineState *engine) {
                return engine->entry.spot;
            }));
    // While spot and on-demand engines replace each other, both are present, but only one kind
    // will remain.
    const int present = std::max(spot, static_cast<int>(engines.size()) - spot);
    if (m_initialEngines == 0)
        m_initialEngines = present;
    int need = static_cast<int>(
            std::ceil(m_averageLoad / plannedLoadPerEngine() * m_options.zoneLossFactor));
    // Requests accumulate while engines start. Limiting the growth keeps the plan from treating
    // this backlog as demand.
    const int floor = m_options.growthFloorPerZone * static_cast<int>(scaling.zonePrices.size());
    need = std::min(
            need,
            std::max(floor, static_cast<int>(std::ceil(present * m_options.maxGrowthFactor))));
    need = std::min(need, scaling.max * static_cast<int>(scaling.zonePrices.size()));
    // The present engines are kept until there has been any load to estimate the demand from.
    if (!m_hasSeenLoad)
        need = std::max(need, m_initialEngines);
    m_needs.add(need, m_options.demandWindow, now);
    m_onDemandNeed = m_needs.largest(m_options.onDemandWindow, now);
    if (demand.busyEngines && m_hasSeenLoad) {
        m_readingNeeds.add(
                static_cast<int>(std::ceil(*demand.busyEngines / m_options.readingUtilization
                                           * m_options.zoneLossFactor)),
                m_options.demandWindow, now);
        m_onDemandNeed = std::min(m_onDemandNeed,
                                  m_readingNeeds.largest(m_options.onDemandWindow, now));
    }
    return m_needs.largest(m_options.demandWindow, now);
}

/*!
    Returns the requests that are planned to be in progress at one engine.
*/
double EnginePlanner::plannedLoadPerEngine() const
{
    const double load = std::max(m_slotsPerEngine * m_options.targetUtilization,
                                 m_options.minLoadPerEngine);
    return std::min(
            {load, m_options.maxLoadPerEngine, m_slotsPerEngine * m_options.maxUtilization});
}

/*!
    Distributes \a total engines evenly over the zones, with at least \a minPerZone in each. The
    remainder goes to the cheapest zones.
*/
std::map<std::string, int> EnginePlanner::distributeOverZones(const ScalingSpec &scaling, int total,
                                                              int minPerZone)
{
    std::vector<std::pair<double, std::string>> zones;
    std::map<std::string, int> wanted;
    for (const auto &[zone, price] : scaling.zonePrices) {
        wanted[zone] = minPerZone;
        zones.emplace_back(price, zone);
    }
    std::sort(zones.begin(), zones.end());
    int remaining = total - minPerZone * static_cast<int>(zones.size());
    for (int round = minPerZone; round < scaling.max; ++round) {
        for (const auto &[price, zone] : zones) {
            if (remaining-- > 0)
                ++wanted[zone];
        }
    }
    return wanted;
}

/*!
    Appends \a order to \a orders unless the zone is in a retry delay or the same order was placed
    recently. \a present is the number of engines of this kind that run in the zone.
*/
void EnginePlanner::addOrderIfDue(std::vector<EngineOrder> &orders, const EngineOrder &order,
                                  int present, Timestamp now)
{
    const auto retryAt = m_retryAt.find({order.zone, order.spot});
    if (retryAt != m_retryAt.end() && retryAt->second > now)
        return;
    const PlacedOrder &placed = m_placedOrders[{order.zone, order.spot}];
    const bool isOverdue = present != order.desired
            && now - placed.placedAt >= m_options.repeatDelay;
    if (placed.desired != order.desired || isOverdue)
        orders.push_back(order);
}

void EnginePlanner::recordResult(const EngineOrder &order, OrderResult result, Timestamp now)
{
    const OrderKey key(order.zone, order.spot);
    if (result == OrderResult::Accepted)
        m_placedOrders[key] = {.desired = order.desired, .placedAt = now};
    else
        m_retryAt[key] = now
                + (result == OrderResult::Failed ? m_options.failureRetryDelay
                                                 : m_options.refusalRetryDelay);
    if (result == OrderResult::NoneAvailable && order.spot)
        m_zonesWithoutSpot.insert(order.zone);
}

} // namespace sesame
