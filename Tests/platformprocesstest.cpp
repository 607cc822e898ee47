#include "support/platformdeployment.h"

#include <csignal>
#include <cstdlib>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

// Guards against a kind of route that is not served, or served without route, key or quota.
Test(platform, eachKindOfRouteIsServed)
{
    Deployment world(21100, 2);
    CallAnswer answer = world.request(1, "POST", "/stream/x?q=1", "s-1", "key-large", "prompt");
    cr_expect_eq(answer.status, 200U);
    cr_expect(answer.body == events(1, 5), "%s", answer.body.c_str());
    answer = world.request(2, "POST", "/book/x?q=1", "b-1", "key-large", "body");
    cr_expect_eq(answer.status, 200U);
    cr_expect_str_eq(answer.body.c_str(), "POST /book/x?q=1 body");
    answer = world.request(1, "GET", "/read/x", "r-1");
    cr_expect_eq(answer.status, 200U);
    cr_expect_eq(world.request(1, "GET", "/open/x", "o-1", "").status, 200U);
    cr_expect_eq(world.request(1, "GET", "/read/x", "r-2", "key-unknown").status, 401U);
    cr_expect_eq(world.request(1, "GET", "/nowhere/x", "r-3").status, 404U);
    cr_expect_eq(world.runs("r-2"), 0);
    // Until the nodes have heard each other, each grants its own share of the burst.
    world.run(2500ms);
    int refused = 0;
    for (int i = 0; i < 10; ++i)
        refused += world.request(1, "GET", "/read/x", "q-" + std::to_string(i), "key-small").status
                        == 429
                ? 1
                : 0;
    cr_expect_geq(refused, 3);
    cr_expect_leq(refused, 6);
    answer = world.call(world.platform.directoryAddress(1), "GET",
                        "/api/resolve?name=app.example&region=r&zone=z");
    cr_expect(answer.body.find("127.0.1.1:21120") != std::string::npos, "%s", answer.body.c_str());
    cr_expect(answer.body.find("127.0.1.2:21120") != std::string::npos, "%s", answer.body.c_str());
}

// Guards against usage that is missing, counted twice, or reported by two holders, also when the
// holder is killed.
Test(platform, usageIsReportedOnce)
{
    Deployment world(21150, 2);
    for (int i = 0; i < 20; ++i)
        cr_expect_eq(world.request(1 + i % 2, "GET", "/read/x", "u-" + std::to_string(i)).status,
                     200U);
    cr_expect(world.runUntil(
                      [&] {
                          return world.platform.duties.usage("large") == 20;
                      },
                      10s),
              "usage is %d", static_cast<int>(world.platform.duties.usage("large")));
    world.signalNode(1, SIGKILL);
    world.runUntil(
            [&] {
                return world.hasEnded(1);
            },
            2s);
    for (int i = 20; i < 30; ++i)
        cr_expect_eq(world.request(2, "GET", "/read/x", "u-" + std::to_string(i)).status, 200U);
    cr_expect(world.runUntil(
                      [&] {
                          return world.platform.duties.usage("large") == 30;
                      },
                      15s),
              "usage is %d", static_cast<int>(world.platform.duties.usage("large")));
    for (const std::string &violation : world.platform.duties.violations())
        cr_expect_fail("%s", violation.c_str());
}

// Guards against requests that run twice, and against refusals of requests that have run.
Test(platform, whatMayRunOnceRunsOnce)
{
    using Fault = EmulatedEngine::Fault;
    Deployment world(21200, 1);
    world.setFault(Fault::ResetBeforeAnswer, 1);
    cr_expect_eq(world.request(1, "POST", "/book/x", "b-1").status, 502U);
    cr_expect_eq(world.runs("b-1"), 1);
    world.setFault(Fault::ResetBeforeAnswer, 0);
    for (const auto fault : {Fault::Unsigned, Fault::Encoded}) {
        const std::string id = "bad-" + std::to_string(static_cast<int>(fault));
        world.setFault(fault, 1);
        cr_expect_eq(world.request(1, "POST", "/book/x", id).status, 502U);
        cr_expect_eq(world.runs(id), 1);
    }
    world.setFault(Fault::Error, 1);
    cr_expect_eq(world.request(1, "POST", "/book/x", "b-3").status, 500U);
    cr_expect_eq(world.runs("b-3"), 1);
    // A refusal of the engine lets the request go to another one.
    world.setFault(Fault::None, 0);
    world.platform.engines[3]->setFault(Fault::Full, 1);
    world.platform.engines[4]->setFault(Fault::None, 0);
    cr_expect_eq(world.request(1, "POST", "/book/x", "b-4").status, 200U);
    cr_expect_eq(world.runs("b-4"), 1);
    world.setFault(Fault::Full, 5);
    cr_expect_eq(world.request(1, "POST", "/book/x", "b-5").status, 503U);
    cr_expect_eq(world.runs("b-5"), 0);
    world.setFault(Fault::None, 0);
    // A repeatable request gets its answer from another engine.
    world.platform.engines[3]->setFault(Fault::ResetBeforeAnswer, 1);
    world.platform.engines[4]->setFault(Fault::None, 0);
    cr_expect_eq(world.request(1, "GET", "/read/x", "r-1").status, 200U);
    world.setFault(Fault::Silent, 1);
    cr_expect_eq(world.request(1, "POST", "/book/x", "b-6").status, 504U);
    cr_expect_eq(world.runs("b-6"), 1);
}

// Guards against a stream with a missing, repeated or half event, and against a stream that runs
// twice although it may not be resumed.
Test(platform, cutStreamsAreResumedOrBrokenOff)
{
    using Fault = EmulatedEngine::Fault;
    Deployment world(21250, 1);
    for (int i = 0; i < EmulatedPlatform::modelEngines; ++i)
        world.platform.engines[static_cast<std::size_t>(i)]->setFault(Fault::CutStream, 1);
    CallAnswer answer = world.request(1, "POST", "/stream/x", "s-1");
    cr_expect_eq(answer.status, 0U, "a stream that is cut off must not look complete");
    cr_expect_eq(world.runs("s-1"), 1);
    world.setFault(Fault::None, 0);
    world.platform.engines[0]->setFault(Fault::CutStream, 1);
    world.platform.engines[1]->setFault(Fault::CutStream, 1);
    for (int i = 0; i < 6; ++i) {
        const std::string id = "again-" + std::to_string(i);
        answer = world.request(1, "POST", "/stream/again/x", id);
        // Both engines of an attempt may be cut; then the stream is broken off.
        if (world.runs(id) == 1 || answer.status == 200)
            cr_expect(answer.body == events(1, 5), "%s", answer.body.c_str());
        cr_expect_leq(world.runs(id), 2);
    }
}

// Guards against work that goes on at an engine after its caller has left.
Test(platform, callersLeaveIsPassedOn)
{
    Deployment world(21300, 1);
    for (const auto &engine : world.platform.engines)
        engine->setEventPause(300ms);
    auto connection = std::make_shared<ClientConnection>(world.context);
    bool sent = false;
    connection->connect(world.platform.entryAddress(1), 1s, [&](const auto &ec) {
        cr_assert_not(ec);
        HttpFields fields = Deployment::requestFields("gone", "key-large");
        connection->send(formatRequest("POST", "/stream/x", fields, "p"), false,
                         {.head =
                                  [](const ResponseHead &) {
                                      return AnswerSink::Verdict::Take;
                                  },
                          .body = [](std::string_view) {},
                          .done = [] {},
                          .failed = [](ExchangeFailure) {}});
        sent = true;
    });
    cr_assert(world.runUntil(
            [&] {
                return sent && world.runs("gone") == 1;
            },
            2s));
    connection->close();
    const auto cancelled = [&] {
        int n = 0;
        for (const auto &engine : world.platform.engines)
            n += engine->cancelled();
        return n == 1;
    };
    cr_expect(world.runUntil(cancelled, 500ms));
}

// Guards against a data path that stops with the store, and against news that are missed.
Test(platform, storeTroubleDoesNotStopRequests)
{
    Deployment world(21350, 1);
    for (const auto trouble : {EmulatedStore::Trouble::Silent, EmulatedStore::Trouble::Busy}) {
        world.platform.store.setTrouble(trouble);
        world.run(1500ms);
        cr_expect_eq(world.request(1, "GET", "/read/x", "t-" + std::to_string(int(trouble))).status,
                     200U);
        cr_expect(world.isReady(1));
    }
    world.platform.store.setTrouble(EmulatedStore::Trouble::None);
    world.platform.putConfig(2, true);
    world.platform.store.compact();
    cr_expect(world.runUntil(
            [&] {
                return world.request(1, "GET", "/extra/x", "e-1").status == 200;
            },
            3s));
    // An older version that is written later is not taken.
    world.platform.putConfig(1, false);
    world.run(1200ms);
    cr_expect_eq(world.request(1, "GET", "/extra/x", "e-2").status, 200U);
}

// Guards against requests to an engine that is leaving, later than two seconds after the store
// has accepted it, also when the watch is silent and its history is gone.
Test(platform, leavingEnginesGetNoRequests)
{
    Deployment world(21400, 1);
    world.platform.putEngine(*world.platform.engines[3], "draining");
    world.run(1900ms);
    const int before = world.platform.engines[3]->totalRuns();
    for (int i = 0; i < 10; ++i)
        cr_expect_eq(world.request(1, "GET", "/read/x", "l-" + std::to_string(i)).status, 200U);
    cr_expect_eq(world.platform.engines[3]->totalRuns(), before);
    world.platform.putEngine(*world.platform.engines[3], "ready");
    world.platform.store.erase("servers", "i-4");
    world.platform.store.compact();
    world.run(1900ms);
    const int others = world.platform.engines[4]->totalRuns();
    for (int i = 0; i < 10; ++i)
        cr_expect_eq(world.request(1, "GET", "/read/x", "m-" + std::to_string(i)).status, 200U);
    cr_expect_eq(world.platform.engines[4]->totalRuns(), others);
}

// Guards against a configuration that comes late to a node whose watch has fallen silent, although
// its peer has it in force.
Test(platform, peersTellOfANewConfiguration)
{
    Deployment world(21550, 2);
    // The nodes have heard each other and wait for long.
    world.run(2000ms);
    const auto silenced = [&] {
        return world.platform.store.silenceWatch("config");
    };
    cr_assert(world.runUntil(silenced, 1s));
    world.platform.putConfig(2, true);
    world.run(1200ms);
    cr_expect_eq(world.request(1, "GET", "/extra/x", "c-1").status, 200U);
    cr_expect_eq(world.request(2, "GET", "/extra/x", "c-2").status, 200U);
}

// Guards against a planned stop that loses a request or leaves the node in the directory.
Test(platform, stopFinishesItsRequests)
{
    Deployment world(21450, 2);
    for (const auto &engine : world.platform.engines)
        engine->setEventPause(200ms);
    HttpCaller caller(world.context, world.platform.entryAddress(1));
    std::optional<CallAnswer> answer;
    caller.call("POST", "/stream/x", Deployment::requestFields("stop", "key-large"), "p", 5s,
                [&](CallAnswer result) {
                    answer = std::move(result);
                });
    cr_assert(world.runUntil(
            [&] {
                return world.runs("stop") == 1;
            },
            2s));
    world.signalNode(1, SIGTERM);
    world.run(300ms);
    cr_expect_not(world.isReady(1));
    const CallAnswer listed = world.call(world.platform.directoryAddress(2), "GET",
                                         "/api/resolve?name=a&region=r&zone=z");
    cr_expect(listed.body.find("127.0.1.1:") == std::string::npos, "%s", listed.body.c_str());
    // Callers may still hold an old answer of the directory.
    if (!answer)
        cr_expect_eq(world.request(1, "GET", "/read/x", "late").status, 200U);
    cr_expect(world.runUntil(
            [&] {
                return world.hasEnded(1);
            },
            4s));
    cr_assert(answer.has_value());
    cr_expect(answer->body == events(1, 5), "%s", answer->body.c_str());
}
