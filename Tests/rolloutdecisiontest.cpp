#include "support/rolloutsimulation.h"

#include <criterion/criterion.h>

#include <string_view>
#include <utility>
#include <vector>

using namespace sesame;
using namespace sesame::test;

// Guards against bad versions that are completed, or that get more requests than allowed.
Test(rolloutdecision, badVersionsAreRolledBack)
{
    for (const double rate : {30.0, 100.0, 400.0}) {
        const auto later = [](int time, double, int) {
            return time > 3500 ? 0.4 : 0.0;
        };
        const auto underLoad = [](int, double share, int) {
            return share > 0.1 ? 0.5 : 0.0;
        };
        const std::vector<std::pair<const char *, VersionBehaviour>> cases {
                {"50% failures", failing(0.5)},
                {"3 times slower", slow(3.0)},
                {"6 times slower", slow(6.0)},
                {"failures later", {.failureShare = later}},
                {"failures under load", {.failureShare = underLoad}}};
        for (const auto &[name, behaviour] : cases) {
            const Summary summary = runSeeds(name, {.requestsPerSecond = rate, .target = behaviour},
                                             false);
            cr_expect_leq(summary.wrong, 1, "%s", name);
            cr_expect_leq(summary.worstExposure, 1.0, "%s", name);
        }
    }
}
