#include "Core/Placement/enginechooser.h"

#include <criterion/criterion.h>

#include <map>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

struct Engines
{
    explicit Engines(int n)
    {
        for (int i = 0; i < n; ++i) {
            EngineState state;
            state.entry = {.id = "engine-" + std::to_string(i), .zone = "z", .slots = 8};
            states.push_back(state);
        }
        for (EngineState &state : states)
            pointers.push_back(&state);
    }

    std::vector<EngineState> states;
    std::vector<EngineState *> pointers;
};

RequestSize makeWork(std::uint64_t prefix)
{
    RequestSize work;
    work.parts = {{.id = prefix, .tokens = 5000}, {.id = prefix + 1000, .tokens = 1000}};
    work.promptTokens = 6000;
    work.outputTokens = 100;
    return work;
}

} // namespace

// Guards against prefilling a shared prompt part again on each engine.
Test(enginechooser, samePrefixGoesToFewEngines)
{
    Engines engines(12);
    const EngineChooser chooser;
    std::map<std::string, int> used;
    for (int i = 0; i < 40; ++i)
        ++used[chooser.choose(engines.pointers, makeWork(7), {.zone = "z"}, {}, Timestamp {1h})
                       .engine->entry.id];
    cr_expect_leq(used.size(), 2U);
}

// Guards against a frequent prefix that overloads its engines while others are idle.
Test(enginechooser, loadOutweighsPrefix)
{
    Engines engines(12);
    const EngineChooser chooser;
    const Timestamp now {1h};
    std::map<std::string, int> used;
    for (int i = 0; i < 60; ++i) {
        EngineState *engine = chooser.choose(engines.pointers, makeWork(7), {.zone = "z"}, {}, now)
                                      .engine;
        cr_assert_not_null(engine);
        ++engine->ownLoad.requests;
        engine->ownLoad.tokens += 6100;
        ++used[engine->entry.id];
    }
    cr_expect_gt(used.size(), 4U);
}

// Guards against sending a request to the same engine twice, and against exceeding the limit of
// requests at an engine.
Test(enginechooser, triedAndFullEnginesAreLeftOut)
{
    Engines engines(2);
    const EngineChooser chooser;
    const Timestamp now {1h};
    const std::vector<std::string> tried {"engine-0"};
    EngineChoice choice = chooser.choose(engines.pointers, {}, {.zone = "z"}, tried, now);
    cr_assert_not_null(choice.engine);
    cr_expect_str_eq(choice.engine->entry.id.c_str(), "engine-1");
    engines.states[1].peerLoad.requests = 12;
    choice = chooser.choose(engines.pointers, {}, {.zone = "z"}, tried, now);
    cr_expect_null(choice.engine);
    cr_expect_eq(choice.failure, EngineChoiceFailure::NoRoom);
    choice = chooser.choose({}, {}, {.zone = "z"}, tried, now);
    cr_expect_eq(choice.failure, EngineChoiceFailure::NoEngine);
}

// Guards against requests to an engine that has just failed while another one is available.
Test(enginechooser, avoidedEngineIsTheLastChoice)
{
    Engines engines(2);
    const EngineChooser chooser;
    const Timestamp now {1h};
    engines.states[0].avoidUntil = now + 1s;
    engines.states[1].ownLoad.requests = 7;
    EngineChoice choice = chooser.choose(engines.pointers, {}, {.zone = "z"}, {}, now);
    cr_expect_str_eq(choice.engine->entry.id.c_str(), "engine-1");
    engines.states[1].avoidUntil = now + 1s;
    choice = chooser.choose(engines.pointers, {}, {.zone = "z"}, {}, now);
    cr_expect_str_eq(choice.engine->entry.id.c_str(), "engine-0");
}

// Guards against sending more to an engine that has stated a high load, because the nodes that
// cause it are cut off, and against believing it for long.
Test(enginechooser, statedLoadCountsWhileItIsNew)
{
    Engines engines(2);
    const EngineChooser chooser;
    const Timestamp now {1h};
    engines.states[0].statedLoad.running = 7;
    engines.states[0].statedAt = now;
    engines.states[1].ownLoad.requests = 1;
    EngineChoice choice = chooser.choose(engines.pointers, {}, {.zone = "z"}, {}, now + 100ms);
    cr_expect_str_eq(choice.engine->entry.id.c_str(), "engine-1");
    choice = chooser.choose(engines.pointers, {}, {.zone = "z"}, {}, now + 2s);
    cr_expect_str_eq(choice.engine->entry.id.c_str(), "engine-0");
}

// Guards against all nodes that send to an engine as soon as it has booted, because it has no load.
Test(enginechooser, bootedEngineStartsSlowly)
{
    Engines engines(2);
    EngineCostModel model;
    const Timestamp boot {1h};
    for (int i = 0; i < 40; ++i) {
        const auto prediction = model.predict(engines.states[0], {.mostTokens = 6000.0}, boot);
        model.recordFirstEvent(engines.states[0], prediction, 300.0, boot);
    }
    engines.states[0].delay = {};
    engines.states[0].setPeerLoad({}, boot);
    engines.states[1].setPeerLoad({}, boot - 10s);
    engines.states[1].ownLoad.requests = 1;
    const auto chosen = [&](double cost, Timestamp now) {
        const EngineChooser chooser({.slowStartCost = cost});
        return chooser
                .choose(engines.pointers, {.promptTokens = 2000}, {.zone = "z", .model = &model},
                        {}, now)
                .engine->entry.id;
    };
    cr_expect(model.isUneven(""));
    cr_expect_str_eq(chosen(1.0, boot).c_str(), "engine-1");
    cr_expect_str_eq(chosen(1.0, boot + 3s).c_str(), "engine-0");
    cr_expect_str_eq(chosen(0.0, boot).c_str(), "engine-0");
}

// Guards against many nodes that all send to the engine which had the least load in their last
// report.
Test(enginechooser, manyNodesDoNotChooseTheSameEngine)
{
    constexpr int nodes = 200;
    constexpr int engineCount = 74;
    Engines reported(engineCount);
    for (int i = 0; i < engineCount; ++i)
        reported.states[static_cast<std::size_t>(i)].peerLoad.requests = 2 + i % 3;
    const EngineChooser chooser;
    std::map<std::string, int> used;
    for (int node = 0; node < nodes; ++node) {
        const ChoiceConditions conditions {
                .zone = "z", .nodes = nodes, .random = static_cast<std::uint64_t>(node) * 7919};
        ++used[chooser.choose(reported.pointers, {}, conditions, {}, Timestamp {1h})
                       .engine->entry.id];
    }
    int most = 0;
    int idle = 0;
    for (const auto &[engine, n] : used)
        most = std::max(most, n);
    // Engines with the least load get most of the requests, but none of them much more than 200
    // requests on 25 engines would be.
    cr_expect_leq(most, 20);
    for (const EngineState &engine : reported.states) {
        if (engine.peerLoad.requests == 2)
            idle += used[engine.entry.id];
    }
    cr_expect_geq(idle, nodes / 2);
}
