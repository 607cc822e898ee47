#include "support/platformdeployment.h"

#include <cstdlib>
#include <vector>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t firstPlainEngine = EmulatedPlatform::modelEngineCount;

EmulatedEngine &plainEngine(PlatformDeployment &deployment, std::size_t index)
{
    return *deployment.platform.engines[firstPlainEngine + index];
}

//! Sends \a n requests to the plain service, each \a interval after the one before, and returns the
//! number of those with \a status.
int countStatus(PlatformDeployment &deployment, const std::string &prefix, int n, unsigned status,
                std::chrono::milliseconds interval = 0ms)
{
    int count = 0;
    for (int i = 0; i < n; ++i) {
        const std::string id = prefix + "-" + std::to_string(i);
        count += deployment.sendRequest(1, "GET", "/read/x", id).status == status ? 1 : 0;
        deployment.runFor(interval);
    }
    return count;
}

} // namespace

// Guards against requests to an engine that has said that it is leaving, because the store still
// lists it as ready, lists it again, or its kept connections are still open.
Test(enginenotices, leavingEnginesGetNoRequests)
{
    PlatformDeployment deployment(22200, 1);
    EmulatedEngine &leaving = plainEngine(deployment, 0);
    cr_expect_eq(countStatus(deployment, "before", 20, 200), 20);
    leaving.setLeaving(true);
    cr_expect_eq(countStatus(deployment, "first", 20, 200), 20);
    cr_expect_eq(leaving.arrivalsSinceLeaving(), 1, "%d requests reached it",
                 leaving.arrivalsSinceLeaving());
    deployment.platform.putEngine(leaving, "ready");
    deployment.platform.store.compact();
    deployment.runFor(1500ms);
    cr_expect_eq(countStatus(deployment, "listed", 20, 200), 20);
    cr_expect_eq(leaving.arrivalsSinceLeaving(), 1);
    // All engines of the service leave: nobody waits for them.
    plainEngine(deployment, 1).setLeaving(true);
    cr_expect_eq(countStatus(deployment, "last", 1, 200), 1);
    const auto start = std::chrono::steady_clock::now();
    cr_expect_eq(countStatus(deployment, "refused", 10, 503), 10);
    cr_expect_lt((std::chrono::steady_clock::now() - start) / 1ms, 1000);
    cr_expect_eq(deployment.executionCount("refused-0"), 0);
    cr_expect(deployment.runExplain("refused-0").find("is leaving") != std::string::npos, "%s",
              deployment.runExplain("refused-0").c_str());
    // A new process of the engine is not leaving.
    leaving.setLeaving(false);
    deployment.platform.putEngine(leaving, "ready", 2);
    deployment.runFor(1500ms);
    cr_expect_eq(countStatus(deployment, "reborn", 10, 200), 10);
}

// Guards against streams that are cut because their engine is leaving.
Test(enginenotices, streamsOfLeavingEnginesEndInPeace)
{
    PlatformDeployment deployment(22250, 1);
    for (const auto &engine : deployment.platform.engines)
        engine->setLeaving(true);
    for (int i = 0; i < EmulatedPlatform::modelEngineCount; ++i)
        cr_expect(deployment.sendRequest(1, "POST", "/stream/x", "s-" + std::to_string(i)).body
                  == formatEvents(1, 5));
    cr_expect_eq(deployment.sendRequest(1, "POST", "/stream/x", "none").status, 503U);
}

// Guards against requests to an engine in the time for which it asked for none, against a burst
// when that time is over, and against refusals while other engines can serve.
Test(enginenotices, enginesThatPushBackGetNoRequests)
{
    PlatformDeployment deployment(22300, 1);
    EmulatedEngine &busy = plainEngine(deployment, 0);
    cr_expect_eq(countStatus(deployment, "before", 10, 200), 10);
    busy.pushBack(2000ms, "2.0");
    cr_expect_eq(countStatus(deployment, "during", 60, 200, 30ms), 60);
    cr_expect_eq(busy.arrivalsDuringPushBack(), 0);
    const int before = busy.totalRunCount();
    deployment.runFor(1000ms);
    cr_expect_eq(countStatus(deployment, "after", 30, 200), 30);
    cr_expect_gt(busy.totalRunCount(), before);
}

// Guards against callers that are told to come back too early, or are kept waiting, while all
// engines of a service want no requests.
Test(enginenotices, callersComeBackWhenEnginesWantRequestsAgain)
{
    PlatformDeployment deployment(22350, 1);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < EmulatedPlatform::plainEngineCount; ++i)
        plainEngine(deployment, i).pushBack(2000ms, "2");
    // The first request finds out; its budget allows it to ask both engines.
    cr_expect_eq(deployment.sendRequest(1, "GET", "/read/x", "first").status, 503U);
    const RawAnswer answer = deployment.readAnswer(1, "/read/x", "second");
    cr_expect_eq(answer.status, 503U);
    const std::chrono::duration<double> named(std::atof(answer.retryAfter.c_str()));
    const auto back = std::chrono::steady_clock::now() + named;
    cr_expect(back >= start + 2000ms, "Retry-After %s is too short", answer.retryAfter.c_str());
    cr_expect(back <= start + 4000ms, "Retry-After %s is too long", answer.retryAfter.c_str());
    const std::string explained = deployment.runExplain("second");
    cr_expect(explained.find("asked for 2000 ms") != std::string::npos, "%s", explained.c_str());
    deployment.runUntil(
            [&] {
                return std::chrono::steady_clock::now() >= back;
            },
            5s);
    cr_expect_eq(deployment.sendRequest(1, "GET", "/read/x", "third").status, 200U);
    for (std::size_t i = 0; i < EmulatedPlatform::plainEngineCount; ++i)
        cr_expect_eq(plainEngine(deployment, i).arrivalsDuringPushBack(), 0);
}

// Guards against a pause that is dropped because the answer does not say that the request has not
// run, and against odd values that stop the node or leave an engine out.
Test(enginenotices, oddPushBacksHaveADefinedOutcome)
{
    PlatformDeployment deployment(22400, 1);
    EmulatedEngine &busy = plainEngine(deployment, 0);
    deployment.platform.putEngine(plainEngine(deployment, 1), "draining");
    deployment.runFor(1500ms);
    busy.pushBack(1500ms, "1.5", false);
    // Without the statement, the request may have run.
    cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "b-1").status, 502U);
    cr_expect_eq(countStatus(deployment, "during", 20, 503, 60ms), 20);
    cr_expect_eq(busy.arrivalsDuringPushBack(), 0);
    deployment.runFor(1000ms);
    cr_expect_eq(countStatus(deployment, "after", 3, 200), 3);
    for (const char *value : {"-1", "soon", "nan", "1e400", "Sat, 05 Dec 2026 08:00:00 GMT"}) {
        busy.pushBack(100ms, value);
        cr_expect_eq(countStatus(deployment, std::string("odd-") + value, 2, 503), 2, "%s", value);
        deployment.runFor(300ms);
        cr_expect_eq(countStatus(deployment, std::string("sound-") + value, 3, 200), 3, "%s",
                     value);
        cr_assert_not(deployment.hasExited(1));
    }
}
