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
    Kind of instance that can be started in one zone.
*/
struct CapacityOption
{
    std::string zone;
    std::string backendClass;
    Market market = Market::OnDemand;
    double pricePerHour = 0.0;
    double reclaimsPerHour = 0.0; //!< Expected reclaims per instance and hour.
    double capacity = 1.0; //!< Work per second that one instance serves; greater than zero.
    std::uint32_t running = 0; //!< Instances that run and are not leaving.
    std::uint32_t maxInstances
            = std::numeric_limits<std::uint32_t>::max(); //!< Quota set by the cloud.
};

/*!
    Capacity that a plan must provide.
*/
struct CapacityDemand
{
    double urgent = 0.0; //!< Work per second that must be served even after the loss of a zone.
    double total = 0.0; //!< Work per second of all ranks.
};

/*!
    Number of instances to run for each option.
*/
struct CapacityPlan
{
    std::vector<std::uint32_t> counts; //!< Instances per option, in the order of the options.
    double pricePerHour = 0.0;
    bool urgentCovered = false; //!< The urgent demand is met after the loss of any one zone.
    bool totalCovered = false; //!< The total demand is met while all zones are available.
};

struct CapacityPlannerOptions
{
    //! Hours of an instance that are wasted per reclaim, for loading weights and recomputing work.
    double hoursLostPerReclaim = 0.25;
    BackoffOptions refusalBackoff {.initialBound = std::chrono::seconds(30),
                                   .maxBound = std::chrono::minutes(15)};
    std::uint32_t maxStoreLoads = 2; //!< Loads that the weight store supports in parallel.
    std::uint32_t maxLoadsPerWarmPeer = 1; //!< Parallel loads that one warm peer can serve.
};

/*!
    Number of engines that are loading weights, by source.
*/
struct WeightLoadState
{
    std::uint32_t fromStore = 0; //!< Loads from the weight store in progress.
    std::uint32_t fromPeers = 0; //!< Loads from warm peers in progress.
    std::uint32_t warmPeers = 0; //!< Engines that have the weights loaded.
};

struct PlannedStart
{
    std::size_t option = 0; //!< Index into the options.
    bool fromPeer = false; //!< Load the weights from a warm peer instead of the store.
};

/*!
    Decides how many instances of each kind run in each zone.

    If the capacity of each zone is bounded, it is optimal except for rounding to take the cheapest
    options first until the total is reached; plan() tries a range of bounds. For instances of
    equal capacity, the price exceeds the optimum by less than the price of one instance. For mixed
    capacities, capacityplannertest checks against an exhaustive search that the price exceeds the
    optimum by at most one instance per zone.
*/
class CapacityPlanner
{
public:
    explicit CapacityPlanner(CapacityPlannerOptions options = {});

    /*!
        Raises the limit on the number of engines. A lower value is ignored, because the limit
        must never decrease.
    */
    void raiseCapacityLimit(std::uint32_t limit);
    std::uint32_t capacityLimit() const { return m_limit; }

    /*!
        Returns the cheapest plan found for \a demand. If the capacity limit or refused starts do
        not allow enough instances, urgent demand is covered first, and the plan states which
        demand is not covered. An option in backoff keeps its running instances and starts no
        others.
    */
    CapacityPlan plan(const CapacityDemand &demand, std::span<const CapacityOption> options,
                      Timestamp now) const;

    /*!
        Returns the instances to start next for \a plan, beginning with the zone that has the
        least capacity. Their number is limited by the weight loads that the store and the warm
        peers can serve in addition to \a loads.
    */
    std::vector<PlannedStart> nextStarts(const CapacityPlan &plan,
                                         std::span<const CapacityOption> options,
                                         const WeightLoadState &loads) const;

    /*!
        Records that a start of \a option was refused. No further start is planned for the option
        until a random delay has passed, which is drawn with \a generator.
    */
    template <std::uniform_random_bit_generator G>
    void recordRefusal(const CapacityOption &option, Timestamp now, G &generator)
    {
        Refusal &refusal = findOrAddRefusal(option);
        const Duration bound = refusal.backoff.nextBound();
        // The delay is at least half the bound, because a cloud that has just refused a start
        // rarely has capacity again at once.
        std::uniform_int_distribution<std::int64_t> pick(bound.count() / 2, bound.count());
        refusal.until = now + Duration(pick(generator));
    }

    /*!
        Records that a start of \a option succeeded, which ends its backoff.
    */
    void recordStart(const CapacityOption &option);

    /*!
        Returns whether no start of \a option may be planned at \a now because of a refusal.
    */
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
