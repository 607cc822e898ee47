#include "Core/capacityplanner.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <string_view>

namespace sesame {

namespace {

constexpr double tolerance = 1e-9; // Capacities are sums of rounded values.
constexpr int bisections = 20;

using Counts = std::vector<std::uint32_t>;

/*!
    Capacity by zone of a growing or shrinking mix.
*/
class ZoneSums
{
public:
    explicit ZoneSums(std::span<const CapacityOption> options) : m_options(options)
    {
        std::map<std::string_view, std::size_t> numbers;
        for (const CapacityOption &option : options)
            m_zoneOf.push_back(numbers.try_emplace(option.zone, numbers.size()).first->second);
        m_sums.resize(numbers.size());
    }

    void add(std::size_t option, double instances)
    {
        const double capacity = instances * m_options[option].capacity;
        m_sums[m_zoneOf[option]] += capacity;
        m_total += capacity;
    }

    double ofZone(std::size_t option) const { return m_sums[m_zoneOf[option]]; }
    bool coversTotal(const CapacityDemand &demand) const
    {
        return m_total >= demand.total - tolerance;
    }
    bool coversUrgent(const CapacityDemand &demand) const
    {
        const double largest = *std::max_element(m_sums.begin(), m_sums.end());
        return m_total - largest >= demand.urgent - tolerance;
    }
    bool covers(const CapacityDemand &demand) const
    {
        return coversTotal(demand) && coversUrgent(demand);
    }

private:
    std::span<const CapacityOption> m_options;
    std::vector<std::size_t> m_zoneOf;
    std::vector<double> m_sums;
    double m_total = 0.0;
};

/*!
    Takes instances in \a order, at most \a zoneBound of capacity per zone, until the total
    and the part that survives a zone loss reach \a demand. Then removes those that rounding
    has made superfluous, the most expensive ones first.
*/
Counts fill(const CapacityDemand &demand, std::span<const CapacityOption> options,
            std::span<const std::size_t> order, const Counts &limits, double zoneBound)
{
    Counts counts(options.size(), 0);
    ZoneSums sums(options);
    for (const std::size_t i : order) {
        const double highest = zoneBound - options[i].capacity + tolerance;
        while (counts[i] < limits[i] && sums.ofZone(i) <= highest && !sums.covers(demand)) {
            ++counts[i];
            sums.add(i, 1.0);
        }
    }
    const std::vector<std::size_t> dearestFirst(order.rbegin(), order.rend());
    for (const std::size_t i : dearestFirst) {
        while (counts[i] > 0) {
            sums.add(i, -1.0);
            if (!sums.covers(demand)) {
                sums.add(i, 1.0);
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
    Returns the options by the price of their work, and with equal prices those that run.
*/
std::vector<std::size_t>
CapacityPlanner::cheapestFirst(std::span<const CapacityOption> options) const
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
    Tries every bound on the capacity of a zone between an even spread and the whole demand.
*/
CapacityPlan CapacityPlanner::planWithin(const CapacityDemand &demand,
                                         std::span<const CapacityOption> options,
                                         Timestamp now) const
{
    Counts limits(options.size(), m_limit);
    double smallest = std::numeric_limits<double>::max();
    double largest = 0.0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        limits[i] = std::min(limits[i], options[i].most);
        if (isBackingOff(options[i], now))
            limits[i] = std::min(limits[i], options[i].running);
        smallest = std::min(smallest, options[i].capacity);
        largest = std::max(largest, options[i].capacity);
    }
    const auto order = cheapestFirst(options);
    const double most = std::max(demand.total, 2 * demand.urgent) + largest;
    // At target size a step per instance would take a thousand passes.
    const double step = std::max(smallest, most / 100.0);
    CapacityPlan best;
    for (double bound = smallest; bound <= most + step; bound += step) {
        CapacityPlan plan;
        plan.counts = fill(demand, options, order, limits, bound);
        finishPlan(plan, demand, options);
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

void CapacityPlanner::finishPlan(CapacityPlan &plan, const CapacityDemand &demand,
                                 std::span<const CapacityOption> options) const
{
    plan.pricePerHour = 0.0;
    if (options.empty())
        return;
    ZoneSums sums(options);
    for (std::size_t i = 0; i < options.size(); ++i) {
        plan.pricePerHour += plan.counts[i] * options[i].pricePerHour;
        sums.add(i, plan.counts[i]);
    }
    plan.totalCovered = sums.coversTotal(demand);
    plan.urgentCovered = sums.coversUrgent(demand);
}

CapacityPlan CapacityPlanner::plan(const CapacityDemand &demand,
                                   std::span<const CapacityOption> options, Timestamp now) const
{
    CapacityPlan plan {.counts = Counts(options.size(), 0)};
    if (options.empty() || m_limit == 0) {
        finishPlan(plan, demand, options);
        return plan;
    }
    plan = planWithin(demand, options, now);
    if (sum(plan.counts) <= m_limit)
        return plan;
    // Over the limit: keep the urgent demand if it fits, and as much of the rest as fits.
    const CapacityDemand urgentOnly {.urgent = demand.urgent, .total = 0.0};
    const bool urgentFits = sum(planWithin(urgentOnly, options, now).counts) <= m_limit;
    double low = 0.0;
    double high = 1.0;
    CapacityPlan fitting {.counts = Counts(options.size(), 0)};
    for (int i = 0; i < bisections; ++i) {
        const double part = (low + high) / 2;
        const CapacityDemand reduced {.urgent = urgentFits ? demand.urgent : demand.urgent * part,
                                      .total = urgentFits ? demand.total * part : 0.0};
        CapacityPlan candidate = planWithin(reduced, options, now);
        if (sum(candidate.counts) > m_limit) {
            high = part;
            continue;
        }
        low = part;
        fitting = candidate;
    }
    finishPlan(fitting, demand, options);
    return fitting;
}

std::vector<PlannedStart> CapacityPlanner::nextStarts(const CapacityPlan &plan,
                                                      std::span<const CapacityOption> options,
                                                      const LoadState &loads) const
{
    const std::uint32_t peerLoads = loads.warmPeers * m_options.loadsPerWarmPeer;
    std::uint32_t fromPeers = peerLoads - std::min(peerLoads, loads.fromPeers);
    std::uint32_t fromStore = m_options.parallelStoreLoads
            - std::min(m_options.parallelStoreLoads, loads.fromStore);
    Counts counts(options.size());
    ZoneSums sums(options);
    for (std::size_t i = 0; i < options.size(); ++i) {
        counts[i] = options[i].running;
        sums.add(i, counts[i]);
    }
    std::vector<PlannedStart> starts;
    while (fromPeers + fromStore > 0) {
        std::size_t best = options.size();
        for (std::size_t i = 0; i < options.size(); ++i) {
            if (counts[i] >= plan.counts[i])
                continue;
            if (best == options.size() || sums.ofZone(i) < sums.ofZone(best))
                best = i;
        }
        if (best == options.size())
            break;
        ++counts[best];
        sums.add(best, 1.0);
        starts.push_back(PlannedStart {.option = best, .fromPeer = fromPeers > 0});
        --(fromPeers > 0 ? fromPeers : fromStore);
    }
    return starts;
}

CapacityPlanner::Refusal &CapacityPlanner::refusalFor(const CapacityOption &option)
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
