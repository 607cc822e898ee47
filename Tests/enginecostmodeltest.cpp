#include "Core/Placement/enginecostmodel.h"
#include "Core/deploymenttally.h"
#include "Core/wireformat.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp start {1h};

EngineState makeEngine()
{
    EngineState engine;
    engine.entry = {.id = "e", .service = "s", .incarnation = 1};
    return engine;
}

WorkAtEngine makeWork(double least, double most)
{
    return {.readTokens = most, .leastTokens = least, .mostTokens = most};
}

//! Records \a n answers that the engine gives as fast as 50 tokens per ms, times \a slowness.
void learn(EngineCostModel &model, EngineState &engine, int n, double slowness, Timestamp now)
{
    for (int i = 0; i < n; ++i) {
        const double tokens = i % 2 == 0 ? 1000.0 : 6000.0;
        model.recordFirstEvent(engine, model.predict(engine, makeWork(tokens, tokens), now),
                               slowness * (5.0 + tokens / 50.0), now);
    }
}

} // namespace

// Guards against choices by constants that fit other machines, and against learned choices where
// the constants fit.
Test(enginecostmodel, speedIsLearnedFromAllEngines)
{
    EngineCostModel model;
    std::array engines {makeEngine(), makeEngine(), makeEngine()};
    cr_expect_not(model.isUneven("s"));
    for (int i = 0; i < 100; ++i)
        learn(model, engines.at(static_cast<std::size_t>(i) % engines.size()), 2, 1.0, start);
    cr_expect(model.isUneven("s"));
    const double ms = model.predict(engines[0], makeWork(6000, 6000), start).nominalMs;
    cr_expect(ms > 100.0 && ms < 150.0, "%f", ms);
    EngineCostModel fitting;
    EngineState engine = makeEngine();
    for (int i = 0; i < 200; ++i) {
        const auto prediction = fitting.predict(engine, makeWork(6000, 6000), start);
        fitting.recordFirstEvent(engine, prediction, 5.0 + 6000.0 / 140.0, start);
    }
    cr_expect_not(fitting.isUneven("s"));
}

// Guards against an engine that became slow and still gets as much, and against one that is avoided
// long after a short disturbance.
Test(enginecostmodel, slowAnswerCountsAtOnceAndFades)
{
    EngineDelay delay;
    for (int i = 0; i < 20; ++i)
        delay.record(0.0, 1.0, start);
    delay.record(std::log(7.5), 1.0, start);
    cr_expect_gt(delay.logFactor(start), std::log(5.0));
    cr_expect_lt(delay.logFactor(start + 2s), std::log(1.5));
}

// Guards against all nodes that send to a slow engine after one fast answer.
Test(enginecostmodel, singleFastAnswerIsNotTrusted)
{
    EngineDelay delay;
    for (int i = 0; i < 20; ++i)
        delay.record(std::log(4.0), 1.0, start);
    delay.record(std::log(0.5), 1.0, start + 100ms);
    cr_expect_gt(delay.logFactor(start + 100ms), std::log(2.0));
}

// Guards against one request behind a stopped engine that hides the engine's speed for long.
Test(enginecostmodel, outlierIsLimited)
{
    EngineDelay delay;
    for (int i = 0; i < 20; ++i)
        delay.record(0.0, 1.0, start);
    delay.record(std::log(10000.0), 1.0, start);
    cr_expect_lt(delay.meanLog(start), 0.1);
}

// Guards against more requests to an engine that stopped answering before it is found out.
Test(enginecostmodel, overdueRequestCountsBeforeItsAnswer)
{
    EngineDelay delay;
    delay.begin(7, 100.0, start);
    cr_expect_eq(delay.logFactor(start + 100ms), 0.0);
    cr_expect_gt(delay.logFactor(start + 500ms), std::log(4.5));
    delay.end(7);
    cr_expect_eq(delay.logFactor(start + 500ms), 0.0);
}

// Guards against the delay of an ended process that is held against its successor.
Test(enginecostmodel, newIncarnationForgetsDelay)
{
    EngineDirectory directory;
    EngineEntry entry = makeEngine().entry;
    directory.update(entry);
    directory.find("e")->delay.record(2.0, 50.0, start);
    directory.update(entry);
    cr_expect_gt(directory.find("e")->delay.logFactor(start), 1.0);
    entry.incarnation = 2;
    directory.update(entry);
    cr_expect_eq(directory.find("e")->delay.logFactor(start), 0.0);
}

// Guards against a cached prompt that passes for a fast engine.
Test(enginecostmodel, unknownCacheStateIsNotSpeed)
{
    EngineCostModel model;
    EngineState engine = makeEngine();
    EngineState other = makeEngine();
    for (int i = 0; i < 100; ++i)
        learn(model, other, 2, 1.0, start);
    for (int i = 0; i < 10; ++i)
        model.recordFirstEvent(engine, model.predict(engine, makeWork(3000, 6000), start),
                               5.0 + 3000.0 / 50.0, start);
    cr_expect_gt(engine.delay.meanLog(start), -0.25);
}

// Guards against waiting behind other prompts that passes for a slow engine.
Test(enginecostmodel, knownWaitIsNotDelay)
{
    EngineCostModel model;
    EngineState engine = makeEngine();
    EngineState other = makeEngine();
    for (int i = 0; i < 100; ++i)
        learn(model, other, 2, 1.0, start);
    WorkAtEngine work = makeWork(1000, 1000);
    work.unreadTokens = 12000.0;
    for (int i = 0; i < 10; ++i)
        model.recordFirstEvent(engine, model.predict(engine, work, start), 5.0 + 13000.0 / 50.0,
                               start);
    cr_expect_lt(std::abs(engine.delay.meanLog(start)), 0.3);
}

// Guards against a stated delay that is ignored, believed for long, or learned as speed.
Test(enginecostmodel, statedDelayCountsWhileItIsNew)
{
    EngineCostModel model;
    EngineState engine = makeEngine();
    EngineState other = makeEngine();
    for (int i = 0; i < 100; ++i)
        learn(model, other, 2, 1.0, start);
    engine.delay.recordStated(250.0, start);
    cr_expect_gt(engine.delay.logFactor(start + 100ms), std::log(2.4));
    learn(model, engine, 10, 2.5, start);
    cr_expect_lt(engine.delay.meanLog(start), 0.2);
    cr_expect_lt(engine.delay.logFactor(start + 2s), 0.2);
}

// Guards against a restarted node that has to learn again what its peers know, and against reports
// of nodes without these fields that are misread.
Test(enginecostmodel, peersObservationsAddUp)
{
    const PeerDirectory peers({}, "z");
    DeploymentTally tally(peers);
    tally.setAggregator(true);
    for (int node = 0; node < 3; ++node) {
        wire::Sender sender;
        sender.member.node = "n" + std::to_string(node);
        sender.incarnation = sender.sequence = 1;
        wire::MemberReport report;
        wire::EngineShare share;
        share.requests = 1;
        if (node < 2) {
            share.__set_unreadTokens(1000);
            share.__set_delayWeight(10.0);
            share.__set_weightedLogDelay(10.0 * std::log(3.0));
        }
        report.tally.engines["e"] = share;
        const auto decoded = decodeWire<wire::MemberReport>(encodeWire(report));
        cr_assert(decoded.has_value());
        tally.recordMember(sender, *decoded, start);
    }
    EngineDirectory directory;
    directory.update(makeEngine().entry);
    directory.setPeerLoads(tally.peerLoads(start), start);
    directory.setPeerLoads(tally.peerLoads(start), start + 1s);
    const EngineState &engine = *directory.find("e");
    cr_expect_eq(engine.peerLoad.requests, 3);
    cr_expect_eq(engine.peerLoad.unreadTokens, 2000);
    cr_expect_gt(engine.delay.logFactor(start + 1s), std::log(2.0));
}
