#include "support/platformdeployment.h"

#include <csignal>
#include <cstdlib>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

// Guards against a kind of route that is not served, or served without route, key or quota.
Test(platform, everyRouteKindIsServed)
{
    PlatformDeployment deployment(21100, 2);
    CallAnswer answer = deployment.sendRequest(1, "POST", "/stream/x?q=1", "s-1", "key-large",
                                               "prompt");
    cr_expect_eq(answer.status, 200U);
    cr_expect(answer.body == formatEvents(1, 5), "%s", answer.body.c_str());
    answer = deployment.sendRequest(2, "POST", "/book/x?q=1", "b-1", "key-large", "body");
    cr_expect_eq(answer.status, 200U);
    cr_expect_str_eq(answer.body.c_str(), "POST /book/x?q=1 body");
    answer = deployment.sendRequest(1, "GET", "/read/x", "r-1");
    cr_expect_eq(answer.status, 200U);
    cr_expect_eq(deployment.sendRequest(1, "GET", "/open/x", "o-1", "").status, 200U);
    cr_expect_eq(deployment.sendRequest(1, "GET", "/read/x", "r-2", "key-unknown").status, 401U);
    cr_expect_eq(deployment.sendRequest(1, "GET", "/nowhere/x", "r-3").status, 404U);
    cr_expect_eq(deployment.executionCount("r-2"), 0);
    // Until the nodes have heard each other, each grants its own share of the burst.
    deployment.runFor(2500ms);
    int refused = 0;
    for (int i = 0; i < 10; ++i)
        refused += deployment.sendRequest(1, "GET", "/read/x", "q-" + std::to_string(i),
                                          "key-small")
                                .status
                        == 429
                ? 1
                : 0;
    cr_expect_geq(refused, 3);
    cr_expect_leq(refused, 6);
    answer = deployment.sendCall(deployment.platform.directoryAddress(1), "GET",
                                 "/api/resolve?name=app.example&region=r&zone=z");
    cr_expect(answer.body.find("127.0.1.1:21120") != std::string::npos, "%s", answer.body.c_str());
    cr_expect(answer.body.find("127.0.1.2:21120") != std::string::npos, "%s", answer.body.c_str());
}

// Guards against usage that is missing, counted twice, or reported by two holders, also when the
// holder is killed.
Test(platform, usageIsReportedOnce)
{
    PlatformDeployment deployment(21150, 2);
    for (int i = 0; i < 20; ++i)
        cr_expect_eq(deployment.sendRequest(1 + i % 2, "GET", "/read/x", "u-" + std::to_string(i))
                             .status,
                     200U);
    cr_expect(deployment.runUntil(
                      [&] {
                          return deployment.platform.duties.usage("large") == 20;
                      },
                      10s),
              "usage is %d", static_cast<int>(deployment.platform.duties.usage("large")));
    deployment.signalNode(1, SIGKILL);
    deployment.runUntil(
            [&] {
                return deployment.hasExited(1);
            },
            2s);
    for (int i = 20; i < 30; ++i)
        cr_expect_eq(deployment.sendRequest(2, "GET", "/read/x", "u-" + std::to_string(i)).status,
                     200U);
    cr_expect(deployment.runUntil(
                      [&] {
                          return deployment.platform.duties.usage("large") == 30;
                      },
                      15s),
              "usage is %d", static_cast<int>(deployment.platform.duties.usage("large")));
    for (const std::string &violation : deployment.platform.duties.violations())
        cr_expect_fail("%s", violation.c_str());
}

// Guards against requests that run twice, and against refusals of requests that have run.
Test(platform, unsafeRequestsExecuteAtMostOnce)
{
    using Fault = EmulatedEngine::Fault;
    PlatformDeployment deployment(21200, 1);
    deployment.setFault(Fault::ResetBeforeAnswer, 1);
    cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "b-1").status, 502U);
    cr_expect_eq(deployment.executionCount("b-1"), 1);
    deployment.setFault(Fault::ResetBeforeAnswer, 0);
    for (const auto fault : {Fault::Unsigned, Fault::Encoded}) {
        const std::string id = "bad-" + std::to_string(static_cast<int>(fault));
        deployment.setFault(fault, 1);
        cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", id).status, 502U);
        cr_expect_eq(deployment.executionCount(id), 1);
    }
    deployment.setFault(Fault::Error, 1);
    cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "b-3").status, 500U);
    cr_expect_eq(deployment.executionCount("b-3"), 1);
    // A refusal of the engine lets the request go to another one.
    deployment.setFault(Fault::None, 0);
    deployment.platform.engines[3]->setFault(Fault::Full, 1);
    deployment.platform.engines[4]->setFault(Fault::None, 0);
    cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "b-4").status, 200U);
    cr_expect_eq(deployment.executionCount("b-4"), 1);
    deployment.setFault(Fault::Full, 5);
    cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "b-5").status, 503U);
    cr_expect_eq(deployment.executionCount("b-5"), 0);
    deployment.setFault(Fault::None, 0);
    // A repeatable request gets its answer from another engine.
    deployment.platform.engines[3]->setFault(Fault::ResetBeforeAnswer, 1);
    deployment.platform.engines[4]->setFault(Fault::None, 0);
    cr_expect_eq(deployment.sendRequest(1, "GET", "/read/x", "r-1").status, 200U);
    deployment.setFault(Fault::Silent, 1);
    cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "b-6").status, 504U);
    cr_expect_eq(deployment.executionCount("b-6"), 1);
}

// Guards against a stream with a missing, repeated or half event, and against a stream that runs
// twice although it may not be resumed.
Test(platform, interruptedStreamsAreResumedOrAborted)
{
    using Fault = EmulatedEngine::Fault;
    PlatformDeployment deployment(21250, 1);
    for (int i = 0; i < EmulatedPlatform::modelEngines; ++i)
        deployment.platform.engines[static_cast<std::size_t>(i)]->setFault(Fault::CutStream, 1);
    CallAnswer answer = deployment.sendRequest(1, "POST", "/stream/x", "s-1");
    cr_expect_eq(answer.status, 0U, "a stream that is cut off must not look complete");
    cr_expect_eq(deployment.executionCount("s-1"), 1);
    deployment.setFault(Fault::None, 0);
    deployment.platform.engines[0]->setFault(Fault::CutStream, 1);
    deployment.platform.engines[1]->setFault(Fault::CutStream, 1);
    for (int i = 0; i < 6; ++i) {
        const std::string id = "again-" + std::to_string(i);
        answer = deployment.sendRequest(1, "POST", "/stream/again/x", id);
        // Both engines of an attempt may be cut; then the stream is broken off.
        if (deployment.executionCount(id) == 1 || answer.status == 200)
            cr_expect(answer.body == formatEvents(1, 5), "%s", answer.body.c_str());
        cr_expect_leq(deployment.executionCount(id), 2);
    }
}

// Guards against work that goes on at an engine after its caller has left.
Test(platform, callerDisconnectCancelsEngineRequest)
{
    PlatformDeployment deployment(21300, 1);
    for (const auto &engine : deployment.platform.engines)
        engine->setEventPause(300ms);
    auto connection = std::make_shared<ClientConnection>(deployment.context);
    bool sent = false;
    connection->connect(deployment.platform.entryAddress(1), 1s, [&](const auto &ec) {
        cr_assert_not(ec);
        HttpFields fields = PlatformDeployment::requestFields("gone", "key-large");
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
    cr_assert(deployment.runUntil(
            [&] {
                return sent && deployment.executionCount("gone") == 1;
            },
            2s));
    connection->close();
    const auto cancelled = [&] {
        int n = 0;
        for (const auto &engine : deployment.platform.engines)
            n += engine->cancelled();
        return n == 1;
    };
    cr_expect(deployment.runUntil(cancelled, 500ms));
}

// Guards against a data path that stops with the store, and against news that are missed.
Test(platform, requestsContinueDuringStoreOutage)
{
    PlatformDeployment deployment(21350, 1);
    for (const auto trouble : {EmulatedStore::Trouble::Silent, EmulatedStore::Trouble::Busy}) {
        deployment.platform.store.setTrouble(trouble);
        deployment.runFor(1500ms);
        cr_expect_eq(
                deployment.sendRequest(1, "GET", "/read/x", "t-" + std::to_string(int(trouble)))
                        .status,
                200U);
        cr_expect(deployment.isReady(1));
    }
    deployment.platform.store.setTrouble(EmulatedStore::Trouble::None);
    deployment.platform.putConfig(2, true);
    deployment.platform.store.compact();
    cr_expect(deployment.runUntil(
            [&] {
                return deployment.sendRequest(1, "GET", "/extra/x", "e-1").status == 200;
            },
            3s));
    // An older version that is written later is not taken.
    deployment.platform.putConfig(1, false);
    deployment.runFor(1200ms);
    cr_expect_eq(deployment.sendRequest(1, "GET", "/extra/x", "e-2").status, 200U);
}

// Guards against requests to an engine that is leaving, later than two seconds after the store
// has accepted it, also when the watch is silent and its history is gone.
Test(platform, drainingEnginesReceiveNoRequests)
{
    PlatformDeployment deployment(21400, 1);
    deployment.platform.putEngine(*deployment.platform.engines[3], "draining");
    deployment.runFor(1900ms);
    const int before = deployment.platform.engines[3]->totalRuns();
    for (int i = 0; i < 10; ++i)
        cr_expect_eq(deployment.sendRequest(1, "GET", "/read/x", "l-" + std::to_string(i)).status,
                     200U);
    cr_expect_eq(deployment.platform.engines[3]->totalRuns(), before);
    deployment.platform.putEngine(*deployment.platform.engines[3], "ready");
    deployment.platform.store.erase("servers", "i-4");
    deployment.platform.store.compact();
    deployment.runFor(1900ms);
    const int others = deployment.platform.engines[4]->totalRuns();
    for (int i = 0; i < 10; ++i)
        cr_expect_eq(deployment.sendRequest(1, "GET", "/read/x", "m-" + std::to_string(i)).status,
                     200U);
    cr_expect_eq(deployment.platform.engines[4]->totalRuns(), others);
}

// Guards against a configuration that comes late to a node whose watch has fallen silent, although
// its peer has it in force.
Test(platform, peersAnnounceNewConfiguration)
{
    PlatformDeployment deployment(21550, 2);
    // The nodes have heard each other and wait for long.
    deployment.runFor(2000ms);
    const auto silenced = [&] {
        return deployment.platform.store.silenceWatch("config");
    };
    cr_assert(deployment.runUntil(silenced, 1s));
    deployment.platform.putConfig(2, true);
    deployment.runFor(1200ms);
    cr_expect_eq(deployment.sendRequest(1, "GET", "/extra/x", "c-1").status, 200U);
    cr_expect_eq(deployment.sendRequest(2, "GET", "/extra/x", "c-2").status, 200U);
}

// Guards against a planned stop that loses a request or leaves the node in the directory.
Test(platform, shutdownCompletesOpenRequests)
{
    PlatformDeployment deployment(21450, 2);
    for (const auto &engine : deployment.platform.engines)
        engine->setEventPause(200ms);
    HttpCaller caller(deployment.context, deployment.platform.entryAddress(1));
    std::optional<CallAnswer> answer;
    caller.call("POST", "/stream/x", PlatformDeployment::requestFields("stop", "key-large"), "p",
                5s, [&](CallAnswer result) {
                    answer = std::move(result);
                });
    cr_assert(deployment.runUntil(
            [&] {
                return deployment.executionCount("stop") == 1;
            },
            2s));
    deployment.signalNode(1, SIGTERM);
    deployment.runFor(300ms);
    cr_expect_not(deployment.isReady(1));
    const CallAnswer listed = deployment.sendCall(deployment.platform.directoryAddress(2), "GET",
                                                  "/api/resolve?name=a&region=r&zone=z");
    cr_expect(listed.body.find("127.0.1.1:") == std::string::npos, "%s", listed.body.c_str());
    // Callers may still hold an old answer of the directory.
    if (!answer)
        cr_expect_eq(deployment.sendRequest(1, "GET", "/read/x", "late").status, 200U);
    cr_expect(deployment.runUntil(
            [&] {
                return deployment.hasExited(1);
            },
            4s));
    cr_assert(answer.has_value());
    cr_expect(answer->body == formatEvents(1, 5), "%s", answer->body.c_str());
}
