#include "support/placementsimulation.h"

#include <criterion/criterion.h>

#include <array>
#include <cstdio>

using namespace sesame;
using Simulation = PlacementSimulation;

namespace {

//! Mean times to the first event in milliseconds.
struct Comparison
{
    double rule = 0.0;
    double ruleOff = 0.0;
    double leastLoaded = 0.0;
    double twoChoices = 0.0;
    double roundRobin = 0.0;
};

double meanMs(Simulation::Load load, Simulation::Policy policy, bool hasModel,
              const EngineChooserOptions &options = {})
{
    constexpr std::array seeds {7U, 101U, 4001U};
    double sum = 0.0;
    for (const unsigned seed : seeds) {
        load.seed = seed;
        sum += Simulation(load, policy, hasModel, options).run().meanMs;
    }
    return sum / seeds.size();
}

Comparison compare(const char *name, const Simulation::Load &load, double ruleOffMs)
{
    const Comparison result {.rule = meanMs(load, Simulation::Policy::Chooser, true),
                             .ruleOff = ruleOffMs,
                             .leastLoaded = meanMs(load, Simulation::Policy::LeastLoaded, false),
                             .twoChoices = meanMs(load, Simulation::Policy::TwoChoices, false),
                             .roundRobin = meanMs(load, Simulation::Policy::RoundRobin, false)};
    std::printf("%s: rule %.1f off %.1f least loaded %.1f two choices %.1f round robin %.1f\n",
                name, result.rule, result.ruleOff, result.leastLoaded, result.twoChoices,
                result.roundRobin);
    return result;
}

void expectBest(const Comparison &result, double mostOfRuleOff)
{
    cr_expect_lt(result.rule, mostOfRuleOff * result.ruleOff);
    cr_expect_lt(result.rule, result.leastLoaded);
    cr_expect_lt(result.rule, result.twoChoices);
    cr_expect_lt(result.rule, result.roundRobin);
}

double mixedSpeed(int engine)
{
    constexpr std::array speeds {0.6, 1.0, 1.6};
    return speeds.at(static_cast<std::size_t>(engine) % speeds.size());
}

//! Returns whether an engine belongs to the 15% that are slow in the current 600 ms.
bool isDisturbed(int engine, double ms)
{
    constexpr double disturbanceMs = 600.0;
    std::minstd_rand random(static_cast<unsigned>(engine + 1)
                            + 7919U * static_cast<unsigned>(ms / disturbanceMs));
    random.discard(3);
    return random() % 100 < 15;
}

} // namespace

// Load: 80 nodes, reports 200 to 400 ms old. Guards against nodes that all choose the engine whose
// last report was the best, although its prompts have long been read.
Test(placement, manyNodesDoNotHerd)
{
    const Simulation::Load load;
    Simulation::Load latest = load;
    latest.averagesReports = false;
    const EngineChooserOptions off {
            .maxNodesForAllEngines = 1000, .tokensReadPerReport = 0.0, .costJitter = 0.0};
    expectBest(compare("many nodes", load, meanMs(latest, Simulation::Policy::Chooser, true, off)),
               0.9);
}

// Load: engines at 0.6, 1.0 and 1.6 of the usual speed. Guards against prompts that wait at slow
// engines while fast ones are free.
Test(placement, slowEnginesGetLess)
{
    const Simulation::Load load {.speed = [](int engine, double) {
        return mixedSpeed(engine);
    }};
    expectBest(compare("uneven speeds", load, meanMs(load, Simulation::Policy::Chooser, false)),
               0.9);
}

// Load: 15% of the engines take 2.5 times as long, others every 600 ms, at mixed speeds. Guards
// against learned delays that are worse than none where they change faster than they are learned.
Test(placement, shortDisturbancesAreAvoided)
{
    const Simulation::Load load {.speed = [](int engine, double ms) {
        return mixedSpeed(engine) / (isDisturbed(engine, ms) ? 2.5 : 1.0);
    }};
    expectBest(compare("disturbances", load, meanMs(load, Simulation::Policy::Chooser, false)),
               0.9);
}

// Load: one long prompt prefix in 28% of the requests. Guards against two engines with all of them,
// and others that read the prefix again.
Test(placement, hotPrefixUsesMoreEngines)
{
    const Simulation::Load load {.hotShare = 0.28, .sharedTokens = 9000.0};
    const EngineChooserOptions off {.maxPrefixUtilization = 1e9};
    expectBest(compare("hot prefix", load, meanMs(load, Simulation::Policy::Chooser, true, off)),
               0.98);
}

// Load: 60% of the demand in one of four zones. Guards against engines of other zones that stay
// idle while those of the zone are full.
Test(placement, otherZonesTakeOver)
{
    const Simulation::Load load {.firstZoneShare = 0.6};
    const EngineChooserOptions off {.zoneCrossingMs = 1000.0};
    expectBest(compare("one zone", load, meanMs(load, Simulation::Policy::Chooser, true, off)),
               0.9);
}

// Load: the engines of a zone leave for 4 s and return without caches, at mixed speeds. Guards
// against a model that fails when the rest has to carry the load of the whole.
Test(placement, lostZoneIsCarriedByTheRest)
{
    const Simulation::Load load {.speed = [](int engine, double ms) {
        const bool isLost = engine % 4 == 0 && ms > 3500.0 && ms < 7500.0;
        return isLost ? 0.0 : mixedSpeed(engine);
    }};
    expectBest(compare("lost zone", load, meanMs(load, Simulation::Policy::Chooser, false)), 0.9);
}
