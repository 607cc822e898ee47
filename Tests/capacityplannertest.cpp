#include "Core/sesamecore.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

const Timestamp start {Duration(1h)};

CapacityOption makeOption(std::string zone, Market market, double price, double capacity = 1.0)
{
    CapacityOption option;
    option.zone = std::move(zone);
    option.backendClass = "c" + std::to_string(static_cast<int>(capacity));
    option.market = market;
    option.pricePerHour = price;
    option.capacity = capacity;
    return option;
}

std::vector<CapacityOption> makeFourZones()
{
    std::vector<CapacityOption> options;
    for (int z = 0; z < 4; ++z) {
        const std::string zone = "z" + std::to_string(z);
        options.push_back(makeOption(zone, Market::Reclaimable, 1.0 + 0.1 * z));
        options.push_back(makeOption(zone, Market::OnDemand, 3.0));
    }
    return options;
}

bool covers(const CapacityDemand &demand, const std::vector<CapacityOption> &options,
            const std::vector<std::uint32_t> &counts)
{
    std::map<std::string, double> zones;
    double total = 0.0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        zones[options[i].zone] += counts[i] * options[i].capacity;
        total += counts[i] * options[i].capacity;
    }
    return total >= demand.total && std::all_of(zones.begin(), zones.end(), [&](const auto &zone) {
               return total - zone.second >= demand.urgent;
           });
}

/*!
    Returns the lowest price of all plans with at most \a limit instances, or a negative value if
    none covers the demand.
*/
double lowestPrice(const CapacityDemand &demand, const std::vector<CapacityOption> &options,
                   std::vector<std::uint32_t> &counts, std::size_t next, std::uint32_t limit,
                   double price)
{
    if (next == options.size())
        return covers(demand, options, counts) ? price : -1.0;
    double best = -1.0;
    for (std::uint32_t n = 0; n <= limit; ++n) {
        counts[next] = n;
        const double found = lowestPrice(demand, options, counts, next + 1, limit - n,
                                         price + n * options[next].pricePerHour);
        if (found >= 0.0 && (best < 0.0 || found < best))
            best = found;
    }
    counts[next] = 0;
    return best;
}

} // namespace

// Guards against a plan that concentrates urgent capacity in the cheapest zone.
Test(capacityPlanner, urgentDemandIsCoveredAfterLossOfAnyZone)
{
    CapacityPlanner planner;
    planner.raiseCapacityLimit(20);
    const auto options = makeFourZones();
    const CapacityDemand demand {.urgent = 6.0, .total = 10.0};
    const CapacityPlan plan = planner.plan(demand, options, start);
    cr_expect(plan.urgentCovered && plan.totalCovered);
    cr_expect(covers(demand, options, plan.counts));
    cr_expect_lt(plan.pricePerHour, 11.0);
}

// Guards against a plan that exceeds the limit, a limit that decreases, and a plan that does not
// state which demand is not covered.
Test(capacityPlanner, limitOnlyGrowsAndUrgentComesFirst)
{
    CapacityPlanner planner;
    planner.raiseCapacityLimit(8);
    planner.raiseCapacityLimit(2);
    cr_expect_eq(planner.capacityLimit(), 8U);
    const auto options = makeFourZones();
    const CapacityPlan plan = planner.plan({.urgent = 6.0, .total = 30.0}, options, start);
    cr_expect(plan.urgentCovered);
    cr_expect_not(plan.totalCovered);
    std::uint32_t n = 0;
    for (const std::uint32_t count : plan.counts)
        n += count;
    cr_expect_eq(n, 8U);
}

// Guards against a plan that relies on refused starts, and against a backoff that ends too early.
Test(capacityPlanner, refusedStartsAreReplaced)
{
    std::mt19937_64 random(5);
    CapacityPlanner planner;
    planner.raiseCapacityLimit(20);
    auto options = makeFourZones();
    options[0].running = 1;
    const CapacityDemand demand {.urgent = 3.0, .total = 8.0};
    CapacityPlan plan = planner.plan(demand, options, start);
    cr_expect_gt(plan.counts[0], 1U);
    options[0].maxInstances = 1;
    plan = planner.plan(demand, options, start);
    cr_expect_eq(plan.counts[0], 1U, "the plan exceeds the quota");
    options[0].maxInstances = 20;
    for (std::size_t i = 0; i < options.size(); i += 2)
        planner.recordRefusal(options[i], start, random);
    plan = planner.plan(demand, options, start + 1s);
    cr_expect(plan.urgentCovered && plan.totalCovered);
    cr_expect_eq(plan.counts[0], 1U, "a running instance is not kept");
    cr_expect_eq(plan.counts[2] + plan.counts[4] + plan.counts[6], 0U);
    cr_expect_not(planner.isBackingOff(options[0], start + 31s));
    planner.recordRefusal(options[0], start + 31s, random);
    cr_expect(planner.isBackingOff(options[0], start + 60s), "the second delay is not longer");
    planner.recordStart(options[0]);
    cr_expect_not(planner.isBackingOff(options[0], start + 32s));
}

// Guards against parallel starts that overload the weight store.
Test(capacityPlanner, weightLoadsAreStaggered)
{
    CapacityPlanner planner({.maxStoreLoads = 2});
    planner.raiseCapacityLimit(20);
    const auto options = makeFourZones();
    const CapacityPlan plan = planner.plan({.urgent = 6.0, .total = 12.0}, options, start);
    const auto starts = planner.nextStarts(plan, options, {.fromStore = 1, .warmPeers = 3});
    cr_assert_eq(starts.size(), 4U);
    cr_expect(starts[0].fromPeer && starts[2].fromPeer);
    cr_expect_not(starts[3].fromPeer);
    cr_expect_neq(options[starts[0].option].zone, options[starts[1].option].zone);
    cr_expect(planner.nextStarts(plan, options, {.fromStore = 2}).empty());
}

// Guards against prices above the documented bound, compared with an exhaustive search.
Test(capacityPlanner, priceIsNearTheOptimumInRandomRuns)
{
    const auto run = [](std::uint64_t seed) -> std::string {
        std::mt19937_64 random(seed);
        for (int step = 0; step < 150; ++step) {
            std::vector<CapacityOption> options;
            const bool mixed = random() % 2 == 0;
            double highestPrice = 0.0;
            for (int i = 0; i < 5; ++i) {
                const double capacity = mixed ? 1.0 + static_cast<double>(random() % 3) : 1.0;
                const double price = 1.0 + static_cast<double>(random() % 400) / 100.0;
                options.push_back(makeOption("z" + std::to_string(i % 3),
                                             i < 3 ? Market::Reclaimable : Market::OnDemand, price,
                                             capacity));
                highestPrice = std::max(highestPrice, price);
            }
            const CapacityDemand demand {.urgent = static_cast<double>(random() % 5),
                                         .total = static_cast<double>(1 + random() % 7)};
            CapacityPlanner planner;
            planner.raiseCapacityLimit(12);
            const CapacityPlan plan = planner.plan(demand, options, start);
            std::vector<std::uint32_t> counts(options.size());
            const double best = lowestPrice(demand, options, counts, 0, 12, 0.0);
            if (!plan.urgentCovered || !plan.totalCovered || !covers(demand, options, plan.counts))
                return "step " + std::to_string(step) + ": demand not covered";
            if (plan.pricePerHour > best + highestPrice * (mixed ? 3.0 : 1.0) + 1e-9)
                return "step " + std::to_string(step) + ": price above the bound";
        }
        return {};
    };
    cr_expect_eq(runSeeds({41, 42}, run), 0);
}

// Guards against invalid plans while starts are refused and instances disappear.
Test(capacityPlanner, plansStayValidInRandomRuns)
{
    const auto run = [](std::uint64_t seed) -> std::string {
        std::mt19937_64 random(seed);
        CapacityPlanner planner;
        auto options = makeFourZones();
        Timestamp now = start;
        for (int step = 0; step < 2500; ++step) {
            now += Duration(random() % 30000000);
            planner.raiseCapacityLimit(static_cast<std::uint32_t>(random() % 30));
            const CapacityDemand demand {.urgent = static_cast<double>(random() % 10),
                                         .total = static_cast<double>(10 + random() % 15)};
            const CapacityPlan plan = planner.plan(demand, options, now);
            std::uint32_t n = 0;
            for (std::size_t i = 0; i < options.size(); ++i) {
                n += plan.counts[i];
                if (planner.isBackingOff(options[i], now) && plan.counts[i] > options[i].running)
                    return "a start is planned in backoff";
            }
            if (n > planner.capacityLimit())
                return "the plan exceeds the capacity limit";
            const CapacityDemand claimed {.urgent = plan.urgentCovered ? demand.urgent : 0.0,
                                          .total = plan.totalCovered ? demand.total : 0.0};
            if (!covers(claimed, options, plan.counts))
                return "the plan reports demand as covered that it does not cover";
            auto &option = options[random() % options.size()];
            option.running = static_cast<std::uint32_t>(random() % 3);
            if (random() % 2 == 0)
                planner.recordRefusal(option, now, random);
        }
        return {};
    };
    cr_expect_eq(runSeeds({51, 52, 53, 54, 55, 56, 57, 58}, run), 0);
}
