#include "Core/sesamecore.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace sesame;
using namespace std::chrono_literals;

// Guards against retries that multiply the load during an outage. Without successes, only the
// initial tokens may be used.
Test(retrybudget, outageDoesNotRefill)
{
    RetryBudget budget({.retriesPerSuccess = 0.1, .initialTokens = 3.0});
    int granted = 0;
    for (int i = 0; i < 1000; ++i)
        granted += budget.tryRetry() ? 1 : 0;
    cr_expect_eq(granted, 3);
    cr_expect_eq(budget.denied(), 997U);
    for (int i = 0; i < 10; ++i)
        budget.recordSuccess();
    cr_expect(budget.tryRetry());
    cr_expect_not(budget.tryRetry());
}

// Guards against an order of calls that lets the budget exceed its ratio.
Test(retrybudget, ratioHoldsInRandomRuns)
{
    const auto run = [](std::uint64_t seed) -> std::string {
        std::mt19937_64 random(seed);
        RetryBudget budget({.retriesPerSuccess = 0.2, .initialTokens = 5.0, .maxTokens = 20.0});
        double successes = 0.0;
        double retries = 0.0;
        for (int step = 0; step < 20000; ++step) {
            if (random() % 3 == 0) {
                budget.recordSuccess();
                successes += 1.0;
            } else if (budget.tryRetry()) {
                retries += 1.0;
            }
            if (retries > 5.0 + 0.2 * successes + 1e-3)
                return "more retries than the ratio allows";
        }
        return {};
    };
    cr_expect_eq(runSeeds({1, 2, 3}, run), 0);
}

// Guards against delays that are too long, or equal for callers that failed at the same time.
Test(backoff, jitterStaysBelowDoublingBound)
{
    std::mt19937_64 random(7);
    Backoff backoff({.initialBound = 100ms, .maxBound = 1s});
    const Duration bounds[] = {100ms, 200ms, 400ms, 800ms, 1s, 1s};
    Duration longest {0};
    for (const Duration bound : bounds) {
        const Duration delay = backoff.nextDelay(random);
        cr_expect_leq(delay.count(), bound.count());
        longest = std::max(longest, delay);
    }
    cr_expect_gt(longest.count(), 0);
    backoff.reset();
    cr_expect_eq(backoff.nextBound().count(), Duration(100ms).count());
}
