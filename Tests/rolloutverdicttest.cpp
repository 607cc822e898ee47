#include "support/rolloutsimulation.h"

#include <criterion/criterion.h>

#include <string_view>
#include <utility>
#include <vector>

using namespace sesame;
using namespace sesame::test;

// Guards against good versions that are rolled back or not completed in two thirds of the time, for
// failures that have nothing to do with the version.
Test(rolloutverdict, goodVersionsAreCompleted)
{
    for (const double rate : {30.0, 100.0, 400.0}) {
        const std::vector<std::pair<const char *, RunOptions>> cases {
                {"good", {.requestsPerSecond = rate}},
                {"good, bursts of failures", {.requestsPerSecond = rate, .burstFailures = 0.45}},
                {"good, lost answers", {.requestsPerSecond = rate, .usualFailures = 0.05}},
                {"good, slow engines", {.requestsPerSecond = rate, .faultyEngines = 0.15}},
                {"good, load doubles times", {.requestsPerSecond = rate, .loadFactor = 2.0}}};
        for (const auto &[name, options] : cases) {
            const Summary summary = runSeeds(name, options, true);
            cr_expect_leq(summary.wrong, 1, "%s", name);
            cr_expect_leq(summary.latestEnd, durationMillis * 2 / 3, "%s", name);
        }
    }
}

// Guards against bad versions that few answers show: a fifth of them fails, or half of those on one
// of the routes.
Test(rolloutverdict, weaklyBadVersionsAreRolledBack)
{
    for (const double rate : {30.0, 100.0, 400.0}) {
        const auto onOneRoute = [](int, double, int route) {
            return route == 1 ? 0.5 : 0.0;
        };
        const std::vector<std::pair<const char *, VersionBehaviour>> cases {
                {"20% failures", failing(0.2)},
                {"failures on one route", {.failureShare = onOneRoute}}};
        for (const auto &[name, behaviour] : cases) {
            const Summary summary = runSeeds(name, {.requestsPerSecond = rate, .target = behaviour},
                                             false);
            cr_expect_leq(summary.wrong, 1, "%s", name);
            cr_expect_leq(summary.worstExposure, 1.0, "%s", name);
        }
    }
}
