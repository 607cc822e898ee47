#pragma once

#include "Core/backoff.h"
#include "Core/market.h"
#include "Core/ports.h"

#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace sesame {

/*!
    One kind of instance that can be started.
*/
struct CapacityOption
{
    std::string zone;
    std::string backendClass;
    Market market = Market::OnDemand;
    double pricePerHour = 0.0;
    double reclaimsPerHour = 0.0; //!< Expected reclaims per instance.
    double capacity = 1.0; //!< Work per second that one instance serves; above zero.
    std::uint32_t running = 0; //!< Instances that run and are not leaving.
    std::uint32_t maxInstances = std::numeric_limits<std::uint32_t>::max(); //!< Quota of the cloud.
};

struct CapacityDemand
{
    double urgent = 0.0; //!< Work per second that must be served after the loss of a zone.
    double total = 0.0; //!< Work per second of all ranks.
};

struct CapacityPlan
{
    std::vector<std::uint32_t> counts; //!< Instances per option, in the order of the options.
    double pricePerHour = 0.0;
    bool urgentCovered = false; //!< Urgent demand is met after the loss of any one zone.
    bool totalCovered = false;
};

struct CapacityPlannerOptions
{
    //! Hours of an instance that a reclaim wastes: loading, and the work that is recomputed.
    double hoursLostPerReclaim = 0.25;
    BackoffOptions refusalBackoff {.first = std::chrono::seconds(30),
                                   .longest = std::chrono::minutes(15)};
    std::uint32_t maxStoreLoads = 2; //!< Loads that the weight store sustains at once.
    std::uint32_t maxLoadsPerWarmPeer = 1; //!< Loads that an engine with the weights can feed.
};

/*!
    What is loading weights now.
*/
struct WeightLoadState
{
    std::uint32_t fromStore = 0;
    std::uint32_t fromPeers = 0;
    std::uint32_t warmPeers = 0; //!< Engines that have the weights loaded.
};

struct PlannedStart
{
    std::size_t option = 0; //!< Index into the options.
    bool fromPeer = false; //!< Load the weights from a warm peer instead of the store.
};

/*!
    Chooses how many instances of which kind run in which zone.

    For each bound on the capacity of a zone, taking the cheapest options first until the
    total is reached is optimal except for rounding; plan() tries all bounds. For instances
    of equal capacity the price exceeds the optimum by less than one instance; for mixed
    capacities capacityplannertest checks one instance per zone against an exhaustive search.
*/
class CapacityPlanner
{
public:
    explicit CapacityPlanner(CapacityPlannerOptions options = {});

    /*!
        Raises the limit on the number of engines. A lower value is ignored, because the
        limit may only grow.
    */
    void raiseCapacityLimit(std::uint32_t limit);
    std::uint32_t capacityLimit() const { return m_limit; }

    /*!
        Returns the cheapest mix found for \a demand. If the capacity limit or refused
        starts leave too little, urgent demand is covered first, and the plan tells what
        is missing. An option in backoff keeps what runs and starts nothing.
    */
    CapacityPlan plan(const CapacityDemand &demand, std::span<const CapacityOption> options,
                      Timestamp now) const;

    /*!
        Returns the next starts towards \a plan: as many as the weight store and the warm
        peers can feed, for the zone with the least capacity first.
    */
    std::vector<PlannedStart> nextStarts(const CapacityPlan &plan,
                                         std::span<const CapacityOption> options,
                                         const WeightLoadState &loads) const;

    /*!
        Records that a start of \a option was refused; no start is planned there until a
        delay drawn from \a generator is over.
    */
    template <std::uniform_random_bit_generator G>
    void recordRefusal(const CapacityOption &option, Timestamp now, G &generator)
    {
        Refusal &refusal = findOrAddRefusal(option);
        const Duration bound = refusal.backoff.nextBound();
        // At least half the bound: a cloud that has just refused seldom has room at once.
        std::uniform_int_distribution<std::int64_t> pick(bound.count() / 2, bound.count());
        refusal.until = now + Duration(pick(generator));
    }

    void recordStart(const CapacityOption &option);
    bool isBackingOff(const CapacityOption &option, Timestamp now) const;

private:
    using Key = std::tuple<std::string, std::string, Market>;
    struct Refusal
    {
        Backoff backoff;
        Timestamp until {};
    };

    Refusal &findOrAddRefusal(const CapacityOption &option);
    double effectivePrice(const CapacityOption &option) const;
    std::vector<std::size_t> sortByPrice(std::span<const CapacityOption> options) const;
    CapacityPlan planForDemand(const CapacityDemand &demand,
                               std::span<const CapacityOption> options, Timestamp now) const;
    void computeTotals(CapacityPlan &plan, const CapacityDemand &demand,
                       std::span<const CapacityOption> options) const;

    CapacityPlannerOptions m_options;
    std::uint32_t m_limit = 0;
    std::map<Key, Refusal> m_refusals;
};

} // namespace sesame
