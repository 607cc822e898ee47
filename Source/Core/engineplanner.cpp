#include "Core/engineplanner.h"

#include <algorithm>
#include <cmath>

namespace sesame {

bool EnginePlanner::observe(const ServiceSpec &service, const std::vector<EngineState *> &engines,
                            double refusedPerSecond, Timestamp now)
{
    if (!service.scaling || service.scaling->zonePrices.empty())
        return false;
    if (m_firstEngine == Timestamp {})
        m_firstEngine = now;
    if (now - m_firstEngine < m_options.settling)
        return false;
    m_planned = estimateNeed(*service.scaling, engines, refusedPerSecond, now);
    return true;
}

void EnginePlanner::forgetOrders()
{
    m_placed.clear();
    m_refusedUntil.clear();
    m_shortZones.clear();
}

std::vector<EngineOrder> EnginePlanner::plan(const ServiceSpec &service,
                                             const std::vector<EngineState *> &engines,
                                             double refusedPerSecond, Timestamp now)
{
    std::vector<EngineOrder> orders;
    if (!observe(service, engines, refusedPerSecond, now))
        return orders;
    const ScalingSpec &scaling = *service.scaling;
    std::map<std::string, Supply> supplies;
    int spot = 0;
    int normal = 0;
    for (const EngineState *engine : engines) {
        Supply &supply = supplies[engine->entry.zone];
        ++(engine->entry.spot ? supply.spot : supply.normal);
        ++(engine->entry.spot ? spot : normal);
    }
    const bool useSpot = scaling.spotPrice && *scaling.spotPrice < 1.0;
    std::map<std::string, int> wantedSpot = distribute(scaling, useSpot ? m_planned : 0,
                                                       scaling.min);
    const int unplaced = moveFromShortZones(scaling, supplies, wantedSpot);
    const int normalTotal = useSpot ? planNormal(spot, normal, unplaced) : m_planned;
    const std::map<std::string, int> wantedNormal = distribute(scaling, normalTotal, 0);
    for (const auto &[zone, supply] : wantedSpot) {
        if (useSpot)
            addOrder(orders,
                     {.service = service.name, .zone = zone, .desired = supply, .spot = true},
                     supplies[zone].spot, now);
        // Engines of the normal price are given up only all together, so that the plan does not
        // move them from zone to zone.
        const int present = supplies[zone].normal;
        const int wanted = normalTotal == 0 || !useSpot ? wantedNormal.at(zone)
                                                        : std::max(present, wantedNormal.at(zone));
        addOrder(orders, {.service = service.name, .zone = zone, .desired = wanted}, present, now);
    }
    return orders;
}

/*!
    Returns how many engines of the normal price to have beside \a spot spot engines: those that
    are there until the planned spot engines are ready, and what the recent demand lacks while
    spot engines are not to be had.
*/
int EnginePlanner::planNormal(int spot, int normal, int unplaced) const
{
    if (spot >= m_planned)
        return 0;
    const auto needed = static_cast<int>(std::ceil(m_planned / m_options.reserve));
    const int lacking = std::min(unplaced, std::max(0, needed - spot));
    // Spot engines that are enough for the demand without the reserve make the others needless.
    const int kept = spot >= needed ? 0 : normal;
    return std::max(lacking, kept);
}

/*!
    Moves what the zones without spot engines lack in \a wanted to the other zones, the cheapest
    first. Returns how many engines no zone can take.
*/
int EnginePlanner::moveFromShortZones(const ScalingSpec &scaling,
                                      const std::map<std::string, Supply> &supplies,
                                      std::map<std::string, int> &wanted)
{
    int missing = 0;
    for (auto zone = m_shortZones.begin(); zone != m_shortZones.end();) {
        const auto supply = supplies.find(*zone);
        const int lack = wanted[*zone] - (supply == supplies.end() ? 0 : supply->second.spot);
        missing += std::max(0, lack);
        zone = lack > 0 ? std::next(zone) : m_shortZones.erase(zone);
    }
    std::vector<std::pair<double, std::string>> open;
    for (const auto &[zone, price] : scaling.zonePrices) {
        if (!m_shortZones.contains(zone))
            open.emplace_back(price, zone);
    }
    std::sort(open.begin(), open.end());
    for (int round = 0; round < scaling.max && missing > 0; ++round) {
        for (const auto &[price, zone] : open) {
            if (missing > 0 && wanted[zone] < scaling.max) {
                ++wanted[zone];
                --missing;
            }
        }
    }
    return missing;
}

int EnginePlanner::estimateNeed(const ScalingSpec &scaling,
                                const std::vector<EngineState *> &engines, double refusedPerSecond,
                                Timestamp now)
{
    double load = refusedPerSecond * m_options.secondsPerRequest;
    for (const EngineState *engine : engines) {
        load += engine->own.requests + engine->peers.requests;
        m_slots = std::max(m_slots, engine->entry.slots);
    }
    const double elapsed = std::chrono::duration<double>(now - m_lastPlan).count();
    const double averaging = std::chrono::duration<double>(m_options.averaging).count();
    m_averageLoad += (1.0 - std::exp(-elapsed / averaging)) * (load - m_averageLoad);
    m_lastPlan = now;
    m_loadSeen = m_loadSeen || load > 0.0;
    const auto spot = static_cast<int>(
            std::count_if(engines.begin(), engines.end(), [](const EngineState *engine) {
                return engine->entry.spot;
            }));
    // While one kind replaces the other, both are there, and only one will stay.
    const int present = std::max(spot, static_cast<int>(engines.size()) - spot);
    if (m_initial == 0)
        m_initial = present;
    const double perEngine = m_slots * m_options.plannedUse;
    int need = static_cast<int>(std::ceil(m_averageLoad / perEngine * m_options.reserve));
    // Requests pile up while engines start; the pile must not be taken for demand.
    const int floor = m_options.growthFloorPerZone * static_cast<int>(scaling.zonePrices.size());
    need = std::min(need, std::max(floor, static_cast<int>(std::ceil(present * m_options.growth))));
    // Until there is demand to judge by, what is there is kept.
    if (!m_loadSeen)
        need = std::max(need, m_initial);
    while (!m_needs.empty() && m_needs.back().second <= need)
        m_needs.pop_back();
    m_needs.emplace_back(now, need);
    while (now - m_needs.front().first > m_options.memory)
        m_needs.pop_front();
    return m_needs.front().second;
}

/*!
    Spreads \a total engines evenly over the zones, at least \a smallest in each, the remainder
    over the cheapest zones.
*/
std::map<std::string, int> EnginePlanner::distribute(const ScalingSpec &scaling, int total,
                                                     int smallest)
{
    std::vector<std::pair<double, std::string>> zones;
    std::map<std::string, int> wanted;
    for (const auto &[zone, price] : scaling.zonePrices) {
        wanted[zone] = smallest;
        zones.emplace_back(price, zone);
    }
    std::sort(zones.begin(), zones.end());
    int left = total - smallest * static_cast<int>(zones.size());
    for (int round = smallest; round < scaling.max; ++round) {
        for (const auto &[price, zone] : zones) {
            if (left-- > 0)
                ++wanted[zone];
        }
    }
    return wanted;
}

void EnginePlanner::addOrder(std::vector<EngineOrder> &orders, const EngineOrder &order,
                             int present, Timestamp now)
{
    const auto refused = m_refusedUntil.find({order.zone, order.spot});
    if (refused != m_refusedUntil.end() && refused->second > now)
        return;
    const Placed &placed = m_placed[{order.zone, order.spot}];
    const bool isOverdue = present != order.desired && now - placed.since >= m_options.repeatPause;
    if (placed.desired != order.desired || isOverdue)
        orders.push_back(order);
}

void EnginePlanner::recordResult(const EngineOrder &order, OrderResult result, Timestamp now)
{
    const OrderKey key(order.zone, order.spot);
    if (result == OrderResult::Accepted)
        m_placed[key] = {.desired = order.desired, .since = now};
    else
        m_refusedUntil[key] = now
                + (result == OrderResult::Failed ? m_options.failurePause : m_options.refusalPause);
    if (result == OrderResult::NoneAvailable && order.spot)
        m_shortZones.insert(order.zone);
}

} // namespace sesame
