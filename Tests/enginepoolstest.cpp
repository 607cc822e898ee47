#include "Core/enginepools.h"

#include <criterion/criterion.h>

using namespace sesame;

// Guards against ranks that are not compared between models that share engines.
Test(enginepools, modelsThatShareEnginesShareAPool)
{
    FleetConfig config;
    config.models = {{.name = "a", .backendClasses = {"large"}},
                     {.name = "b", .backendClasses = {"small"}},
                     {.name = "c", .backendClasses = {"other"}},
                     {.name = "d", .backendClasses = {"large", "small"}}};
    const auto pools = groupEnginePools(config);
    cr_assert_eq(pools.size(), 2);
    cr_expect_str_eq(findEnginePool(pools, "a").c_str(), "a");
    cr_expect_str_eq(findEnginePool(pools, "b").c_str(), "a");
    cr_expect_str_eq(findEnginePool(pools, "d").c_str(), "a");
    cr_expect_str_eq(findEnginePool(pools, "c").c_str(), "c");
    cr_expect(findEnginePool(pools, "unknown").empty());
}
