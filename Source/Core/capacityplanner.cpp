#include "Core/capacityplanner.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <string_view>

namespace sesame {

namespace {

// Absorbs the rounding errors of summed capacities.
constexpr double capacityTolerance = 1e-9;
constexpr int bisectionSteps = 20;
// Number of zone bounds to try for the total demand. One bound per instance would need about a
// thousand passes at the target fleet size.
constexpr double maxBoundSteps = 100.0;

using Counts = std::vector<std::uint32_t>;

/*!
    Sums of the capacities by zone, for a set of instances to which instances are added and removed.
*/
class ZoneCapacities
{
public:
    explicit ZoneCapacities(std::span<const CapacityOption> options) : m_options(options)
    {
        std::map<std::string_view, std::size_t> numbers;
        for (const CapacityOption &option : options)
            m_zoneByOption.push_back(
                    numbers.try_emplace(option.zone, numbers.size()).first->second);
        m_capacities.resize(numbers.size());
    }

    void add(std::size_t option, double instances)
    {
        const double capacity = instances * m_options[option].capacity;
        m_capacities[m_zoneByOption[option]] += capacity;
        m_total += capacity;
    }

    double zoneCapacityOf(std::size_t option) const { return m_capacities[m_zoneByOption[option]]; }
    bool coversTotal(const CapacityDemand &demand) const
    {
        return m_total >= demand.total - capacityTolerance;
    }
    bool coversUrgent(const CapacityDemand &demand) const
    {
        const double largest = *std::max_element(m_capacities.begin(), m_capacities.end());
        return m_total - largest >= demand.urgent - capacityTolerance;
    }
    bool covers(const CapacityDemand &demand) const
    {
        return coversTotal(demand) && coversUrgent(demand);
    }

private:
    std::span<const CapacityOption> m_options;
    std::vector<std::size_t> m_zoneByOption;
    std::vector<double> m_capacities;
    double m_total = 0.0;
};

/*!
    Adds instances in \a order, up to the capacity \a zoneBound in each zone, until \a demand is
    covered in total and after the loss of a zone. Then removes the instances that are superfluous
    because of rounding, the most expensive ones first.
*/
Counts addUntilCovered(const CapacityDemand &demand, std::span<const CapacityOption> options,
                       std::span<const std::size_t> order, const Counts &limits, double zoneBound)
{
    Counts counts(options.size(), 0);
    ZoneCapacities capacities(options);
    for (const std::size_t i : order) {
        const double maxZoneCapacity = zoneBound - options[i].capacity + capacityTolerance;
        while (counts[i] < limits[i] && capacities.zoneCapacityOf(i) <= maxZoneCapacity
               && !capacities.covers(demand)) {
            ++counts[i];
            capacities.add(i, 1.0);
        }
    }
    const std::vector<std::size_t> mostExpensiveFirst(order.rbegin(), order.rend());
    for (const std::size_t i : mostExpensiveFirst) {
        while (counts[i] > 0) {
            capacities.add(i, -1.0);
            if (!capacities.covers(demand)) {
                capacities.add(i, 1.0);
                break;
            }
            --counts[i];
        }
    }
    return counts;
}

std::uint32_t sum(const Counts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0U);
}

} // namespace

CapacityPlanner::CapacityPlanner(CapacityPlannerOptions options) : m_options(options) { }

void CapacityPlanner::raiseCapacityLimit(std::uint32_t limit)
{
    m_limit = std::max(m_limit, limit);
}

double CapacityPlanner::effectivePrice(const CapacityOption &option) const
{
    return option.pricePerHour * (1.0 + option.reclaimsPerHour * m_options.hoursLostPerReclaim);
}

/*!
    Returns the indexes of \a options in ascending order of the price per work. Options of equal
    price are ordered by descending number of running instances.
*/
std::vector<std::size_t> CapacityPlanner::sortByPrice(std::span<const CapacityOption> options) const
{
    std::vector<std::size_t> order(options.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const double first = effectivePrice(options[a]) / options[a].capacity;
        const double second = effectivePrice(options[b]) / options[b].capacity;
        return first != second ? first < second : options[a].running > options[b].running;
    });
    return order;
}

/*!
    Returns the best plan over a range of bounds on the capacity of a zone, from the smallest
    instance to the whole demand.
*/
CapacityPlan CapacityPlanner::planForDemand(const CapacityDemand &demand,
                                            std::span<const CapacityOption> options,
                                            Timestamp now) const
{
    Counts limits(options.size(), m_limit);
    double minCapacity = std::numeric_limits<double>::max();
    double maxCapacity = 0.0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        limits[i] = std::min(limits[i], options[i].maxInstances);
        if (isBackingOff(options[i], now))
            limits[i] = std::min(limits[i], options[i].running);
        minCapacity = std::min(minCapacity, options[i].capacity);
        maxCapacity = std::max(maxCapacity, options[i].capacity);
    }
    const auto order = sortByPrice(options);
    const double maxZoneBound = std::max(demand.total, 2 * demand.urgent) + maxCapacity;
    const double step = std::max(minCapacity, maxZoneBound / maxBoundSteps);
    CapacityPlan best;
    for (double bound = minCapacity; bound <= maxZoneBound + step; bound += step) {
        CapacityPlan plan;
        plan.counts = addUntilCovered(demand, options, order, limits, bound);
        computeTotals(plan, demand, options);
        const auto rank = [](const CapacityPlan &p) {
            return std::make_tuple(!p.urgentCovered, !p.totalCovered);
        };
        const bool better = rank(plan) < rank(best)
                || (rank(plan) == rank(best) && plan.pricePerHour < best.pricePerHour);
        if (best.counts.empty() || better)
            best = plan;
    }
    return best;
}

/*!
    Sets the price of \a plan and which part of \a demand it covers.
*/
void CapacityPlanner::computeTotals(CapacityPlan &plan, const CapacityDemand &demand,
                                    std::span<const CapacityOption> options) const
{
    plan.pricePerHour = 0.0;
    if (options.empty())
        return;
    ZoneCapacities capacities(options);
    for (std::size_t i = 0; i < options.size(); ++i) {
        plan.pricePerHour += plan.counts[i] * options[i].pricePerHour;
        capacities.add(i, plan.counts[i]);
    }
    plan.totalCovered = capacities.coversTotal(demand);
    plan.urgentCovered = capacities.coversUrgent(demand);
}

CapacityPlan CapacityPlanner::plan(const CapacityDemand &demand,
                                   std::span<const CapacityOption> options, Timestamp now) const
{
    CapacityPlan plan {.counts = Counts(options.size(), 0)};
    if (options.empty() || m_limit == 0) {
        computeTotals(plan, demand, options);
        return plan;
    }
    plan = planForDemand(demand, options, now);
    if (sum(plan.counts) <= m_limit)
        return plan;
    // The plan exceeds the limit. Search for the largest demand that fits: all of the urgent demand
    // and a share of the rest if the urgent demand fits, else a share of the urgent demand.
    const CapacityDemand urgentOnly {.urgent = demand.urgent, .total = 0.0};
    const bool urgentFits = sum(planForDemand(urgentOnly, options, now).counts) <= m_limit;
    double feasibleShare = 0.0;
    double infeasibleShare = 1.0;
    CapacityPlan fittingPlan {.counts = Counts(options.size(), 0)};
    for (int i = 0; i < bisectionSteps; ++i) {
        const double share = (feasibleShare + infeasibleShare) / 2;
        const CapacityDemand reduced {.urgent = urgentFits ? demand.urgent : demand.urgent * share,
                                      .total = urgentFits ? demand.total * share : 0.0};
        CapacityPlan candidate = planForDemand(reduced, options, now);
        if (sum(candidate.counts) > m_limit) {
            infeasibleShare = share;
            continue;
        }
        feasibleShare = share;
        fittingPlan = candidate;
    }
    computeTotals(fittingPlan, demand, options);
    return fittingPlan;
}

std::vector<PlannedStart> CapacityPlanner::nextStarts(const CapacityPlan &plan,
                                                      std::span<const CapacityOption> options,
                                                      const WeightLoadState &loads) const
{
    const std::uint32_t peerLoads = loads.warmPeers * m_options.maxLoadsPerWarmPeer;
    std::uint32_t fromPeers = peerLoads - std::min(peerLoads, loads.fromPeers);
    std::uint32_t fromStore = m_options.maxStoreLoads
            - std::min(m_options.maxStoreLoads, loads.fromStore);
    Counts counts(options.size());
    ZoneCapacities capacities(options);
    for (std::size_t i = 0; i < options.size(); ++i) {
        counts[i] = options[i].running;
        capacities.add(i, counts[i]);
    }
    std::vector<PlannedStart> starts;
    while (fromPeers + fromStore > 0) {
        std::size_t nextOption = options.size();
        for (std::size_t i = 0; i < options.size(); ++i) {
            if (counts[i] >= plan.counts[i])
                continue;
            if (nextOption == options.size()
                || capacities.zoneCapacityOf(i) < capacities.zoneCapacityOf(nextOption))
                nextOption = i;
        }
        if (nextOption == options.size())
            break;
        ++counts[nextOption];
        capacities.add(nextOption, 1.0);
        starts.push_back(PlannedStart {.option = nextOption, .fromPeer = fromPeers > 0});
        --(fromPeers > 0 ? fromPeers : fromStore);
    }
    return starts;
}

CapacityPlanner::Refusal &CapacityPlanner::findOrAddRefusal(const CapacityOption &option)
{
    const Key key {option.zone, option.backendClass, option.market};
    return m_refusals.try_emplace(key, Refusal {.backoff = Backoff(m_options.refusalBackoff)})
            .first->second;
}

void CapacityPlanner::recordStart(const CapacityOption &option)
{
    m_refusals.erase(Key {option.zone, option.backendClass, option.market});
}

bool CapacityPlanner::isBackingOff(const CapacityOption &option, Timestamp now) const
{
    const auto it = m_refusals.find(Key {option.zone, option.backendClass, option.market});
    return it != m_refusals.end() && now < it->second.until;
}

} // namespace sesame
