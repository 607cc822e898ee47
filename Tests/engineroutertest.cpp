#include "Core/sesamecore.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

const Timestamp start {Duration(1h)};

std::vector<EngineView> makeEngines(std::size_t n)
{
    std::vector<EngineView> views(n);
    for (std::size_t i = 0; i < n; ++i) {
        views[i].id = "e" + std::to_string(i);
        views[i].zone = "z" + std::to_string(i % 4);
        views[i].pricePerHour = 2.0;
    }
    return views;
}

std::string makePrompt(char fill, std::size_t blocks)
{
    return std::string(blocks * promptBlockBytes, fill);
}

} // namespace

// Guards against block hashes that do not depend on the prefix, and against fingerprints that do
// not depend on the account.
Test(engineRouter, blockHashesCoverThePrefix)
{
    const auto a = hashPromptBlocks(makePrompt('a', 3));
    const auto b = hashPromptBlocks(makePrompt('b', 1) + makePrompt('a', 2) + "rest");
    cr_assert_eq(a.size(), 3U);
    cr_assert_eq(b.size(), 3U);
    cr_expect_neq(a[0], a[1]);
    cr_expect_neq(a[1], b[1]);
    cr_expect_eq(a[0], hashPromptBlocks(makePrompt('a', 1))[0]);
    cr_expect_neq(computeRequestFingerprint("x", "body"), computeRequestFingerprint("y", "body"));
}

// Guards against prefilling a long prompt although another engine has its prefix cached.
Test(engineRouter, cachedPrefixIsPreferredUntilTheQueueCostsMore)
{
    EngineRouter router;
    auto views = makeEngines(8);
    const auto blocks = hashPromptBlocks(makePrompt('a', 100));
    const RouteQuery query {.blocks = blocks, .promptTokens = 6400, .entryZone = "z0"};
    router.recordSend("e5", blocks, start);
    const auto cached = router.choose(query, views, start + 1s);
    cr_assert(cached.has_value());
    cr_expect_eq(cached->engine, 5U);
    cr_expect_geq(cached->cachedTokens, 6300U);
    views[5].ownPrefillTokens = 20000;
    const auto busy = router.choose(query, views, start + 1s);
    cr_assert(busy.has_value());
    cr_expect_neq(busy->engine, 5U);
}

// Guards against full weight for old hints, evicted blocks and hints from before an event gap.
Test(engineRouter, hintsLoseWeight)
{
    EngineRouter router;
    const auto blocks = hashPromptBlocks(makePrompt('a', 10));
    router.recordSend("e1", blocks, start);
    cr_expect_gt(router.cachedShare("e1", blocks, start), 0.99);
    const double aged = router.cachedShare("e1", blocks, start + 5min);
    cr_expect_float_eq(aged, 0.5, 0.01);
    const CacheEvent before {.sequence = 7, .block = 1};
    const CacheEvent afterGap {.sequence = 9, .block = 2};
    router.applyCacheEvents("e1", std::vector {before, afterGap}, start + 1s);
    cr_expect_float_eq(router.cachedShare("e1", blocks, start + 1s), 0.5, 0.01);
    const CacheEvent evicted {.sequence = 10, .block = blocks[5], .added = false};
    router.applyCacheEvents("e1", std::vector {evicted}, start + 1s);
    cr_expect_float_eq(router.cachedShare("e1", blocks, start + 1s), 0.25, 0.01);
    router.forgetEngine("e1");
    cr_expect_eq(router.cachedShare("e1", blocks, start), 0.0);
}

// Guards against an entry node and an engine that are lost with the same zone, and against refused
// requests when only the entry zone has engines.
Test(engineRouter, prefersAnotherZoneUnlessOnlyTheEntryZoneIsLeft)
{
    EngineRouter router;
    auto views = makeEngines(8);
    views[0].pricePerHour = 0.01;
    const RouteQuery query {.promptTokens = 100, .entryZone = "z0"};
    const auto other = router.choose(query, views, start);
    cr_assert(other.has_value());
    cr_expect_not(other->sameZone);
    std::erase_if(views, [](const EngineView &engine) {
        return engine.zone != "z0";
    });
    const auto relaxed = router.choose(query, views, start);
    cr_assert(relaxed.has_value());
    cr_expect(relaxed->sameZone);
}

// Guards against a retry on an excluded engine, and against a wrong result code.
Test(engineRouter, excludedEnginesAreNotChosen)
{
    EngineRouter router;
    auto views = makeEngines(2);
    const std::vector<std::string> excluded {"e0", "e1"};
    RouteQuery query {.promptTokens = 100, .entryZone = "z3"};
    query.excluded = std::span(excluded).first(1);
    cr_expect_eq(router.choose(query, views, start)->engine, 1U);
    query.excluded = excluded;
    cr_expect_not(router.choose(query, views, start));
    cr_expect_eq(lastReason().code, ResultCode::NoBackendServer);
    query.excluded = {};
    for (EngineView &engine : views)
        engine.running = engine.ownInFlight = engine.slots;
    cr_expect_not(router.choose(query, views, start));
    cr_expect_eq(lastReason().code, ResultCode::Overloaded);
}

// Guards against a price that outweighs the delay of urgent requests.
Test(engineRouter, priceCountsMoreForLowerRanks)
{
    EngineRouterOptions options;
    options.priceWeightMs = {10.0, 40.0, 120.0};
    const EngineRouter router(options);
    auto views = makeEngines(2);
    views[0].pricePerHour = 8.0;
    views[1].tokenMs = 90.0;
    RouteQuery query {.promptTokens = 100, .rank = Rank::Urgent, .entryZone = "z3"};
    cr_expect_eq(router.choose(query, views, start)->engine, 0U);
    query.rank = Rank::Batch;
    cr_expect_eq(router.choose(query, views, start)->engine, 1U);
}

// Guards against nodes that all choose the same idle engine until the next report.
Test(engineRouter, equalEnginesShareTheRequests)
{
    const EngineRouter router;
    const auto views = makeEngines(20);
    std::set<std::size_t> chosen;
    for (std::uint64_t i = 0; i < 100; ++i) {
        RouteQuery query {.promptTokens = 100, .entryZone = "z3"};
        query.tieBreak = i;
        chosen.insert(router.choose(query, views, start)->engine);
    }
    cr_expect_eq(chosen.size(), 15U);
}

// Guards against an overloaded engine. Although load reports are delayed, the nodes together must
// not send more requests than the engine's slots plus one per node.
Test(engineRouter, nodesDoNotOverfillAnEngineInRandomRuns)
{
    const auto run = [](std::uint64_t seed) -> std::string {
        std::mt19937_64 random(seed);
        constexpr std::uint32_t nodes = 7;
        EngineView engine;
        std::vector<std::uint32_t> inFlight(nodes);
        std::vector<std::uint32_t> reported(nodes);
        for (int step = 0; step < 20000; ++step) {
            const auto n = random() % nodes;
            EngineView view = engine;
            view.ownAtReport = reported[n];
            view.ownInFlight = inFlight[n];
            inFlight[n] += EngineRouter::hasRoom(view, nodes) ? 1 : 0;
            const auto total = std::accumulate(inFlight.begin(), inFlight.end(), 0U);
            if (total > engine.slots + nodes)
                return std::to_string(total) + " requests at one engine";
            if (random() % 4 == 0 && inFlight[n] > 0)
                --inFlight[n];
            if (random() % 20 == 0) {
                engine.running = std::min(total, engine.slots);
                engine.queued = total - engine.running;
                reported = inFlight;
            }
        }
        return {};
    };
    cr_expect_eq(runSeeds({21, 22}, run), 0);
}

// Guards against calls to plain services that needlessly cross zones or overload one server.
Test(serviceRouter, leastOutstandingWithZonePreference)
{
    const ServiceRouter router;
    std::vector<BackendServerView> views(3);
    for (std::size_t i = 0; i < views.size(); ++i) {
        views[i].id = "s" + std::to_string(i);
        views[i].zone = "z" + std::to_string(i);
    }
    views[1].reportedRequests = 1;
    ServiceQuery query {.entryZone = "z1"};
    cr_expect_eq(*router.choose(query, views), 1U);
    views[1].ownSendsSinceReport = 4;
    views[0].reportedRequests = 2;
    cr_expect_eq(*router.choose(query, views), 2U);
    const std::vector<std::string> excluded {"s0", "s1", "s2"};
    query.excluded = excluded;
    cr_expect_not(router.choose(query, views));
    cr_expect_eq(lastReason().code, ResultCode::NoBackendServer);
}
