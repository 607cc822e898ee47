#include "support/platformdeployment.h"

#include <csignal>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 3;
constexpr int targetEngineCount = 2;
constexpr double exposureShare = 0.1;
constexpr double exposureSlack = 50.0;

/*!
    A deployment with roll-outs, and callers that send requests at a steady rate to all nodes.
*/
class RolloutRun
{
public:
    explicit RolloutRun(std::uint16_t firstPort)
        : deployment(firstPort, nodeCount, {.contracts = {"rollout"}})
    {
        // The shares of the target are chosen by the requests seen, and the duties need a holder.
        runFor(3s);
    }

    void order(const std::string &version, double seconds,
               const EmulatedEngine::BadVersion &badness = {})
    {
        deployment.platform.orderRollout("plain", version, seconds);
        runFor(300ms);
        firstTarget = deployment.platform.addEngines("plain", version, targetEngineCount);
        for (std::size_t i = firstTarget; i < firstTarget + targetEngineCount; ++i)
            deployment.platform.engines[i]->setBadVersion(badness);
    }

    std::string status() { return deployment.platform.store.status("rollouts", "plain"); }

    bool hasStatus(std::string_view state)
    {
        return status().find("\"" + std::string(state) + "\"") != std::string::npos;
    }

    /*!
        Sends a request every few milliseconds until \a condition holds or \a limit has passed.
    */
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
    {
        constexpr auto interval = 10ms;
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            sendRequest();
            deployment.runFor(interval);
        }
        return condition();
    }

    void runFor(std::chrono::milliseconds time)
    {
        runUntil(
                [] {
                    return false;
                },
                time);
    }

    int targetRequests() const
    {
        int n = 0;
        for (std::size_t i = firstTarget; i < firstTarget + targetEngineCount; ++i)
            n += deployment.platform.engines[i]->totalRunCount();
        return n;
    }

    PlatformDeployment deployment;
    std::size_t firstTarget = 0;
    int deadNode = 0; //!< Callers leave out this node.
    int sent = 0;
    int served = 0;
    int failed = 0; //!< Any other status than 200.
    int lastFailure = 0;

private:
    void sendRequest()
    {
        const int n = ++sent;
        int node = 1 + n % nodeCount;
        if (node == deadNode)
            node = 1 + node % nodeCount;
        const auto caller = std::make_shared<HttpCaller>(deployment.context,
                                                         deployment.platform.entryAddress(node));
        const bool isSafe = n % 2 == 0;
        HttpFields fields = PlatformDeployment::requestFields("q-" + std::to_string(n),
                                                              "key-large");
        // A node accepts a limited number of connections, also idle ones.
        fields.set("Connection", "close");
        caller->call(isSafe ? "GET" : "POST", isSafe ? "/read/x" : "/book/x", fields, "", 4s,
                     [this, caller](const CallResponse &answer) {
                         (answer.status == 200 ? served : failed) += 1;
                         if (answer.status != 200)
                             lastFailure = static_cast<int>(answer.status);
                     });
    }
};

} // namespace

// Guards against a good version that isn't completed in two thirds of the time, and against
// requests that are lost when the old engines stop.
Test(rollout, goodVersionIsCompleted)
{
    RolloutRun run(25100);
    run.deployment.platform.engines[3]->setWorkTime(20ms);
    run.deployment.platform.engines[4]->setWorkTime(20ms);
    const auto start = std::chrono::steady_clock::now();
    run.order("v2", 12.0);
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("completed");
                      },
                      12s),
              "status %s", run.status().c_str());
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
    cr_expect_lt(time.count(), 8.0, "%.1f s", time.count());
    cr_expect_eq(run.deployment.platform.stopOtherEngines("plain", "v2"), 0);
    run.runFor(2s);
    run.deployment.runFor(1s);
    cr_expect_eq(run.failed, 0, "%d of %d, the last with status %d", run.failed, run.sent,
                 run.lastFailure);
    printf("completed after %.1f s, %d requests to the target of %d\n", time.count(),
           run.targetRequests(), run.sent);
}

// Guards against a bad version that gets more requests than the bound, counted at its engines, or
// that gets requests after it was rolled back.
Test(rollout, badVersionIsRolledBack)
{
    RolloutRun run(25200);
    const int before = run.sent;
    run.order("v2", 12.0, {.failureShare = 0.4});
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("rolled_back");
                      },
                      12s),
              "status %s", run.status().c_str());
    const int atRollback = run.targetRequests();
    printf("rolled back after %d requests to the target of %d\n", atRollback, run.sent - before);
    const double bound = exposureShare * (run.sent - before) + exposureSlack;
    cr_expect_leq(atRollback, bound / 2.0);
    run.runFor(2s);
    cr_expect_leq(run.targetRequests(), atRollback);
    cr_expect(run.hasStatus("rolled_back"), "%s", run.status().c_str());
}

// Guards against a version that is several times slower and passes as good.
Test(rollout, slowVersionIsRolledBack)
{
    RolloutRun run(25300);
    for (const std::size_t i : {3U, 4U})
        run.deployment.platform.engines[i]->setWorkTime(10ms);
    const int before = run.sent;
    run.order("v2", 12.0, {.extraTime = 60ms});
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("rolled_back");
                      },
                      12s),
              "status %s", run.status().c_str());
    printf("slow version: %d requests to the target of %d\n", run.targetRequests(),
           run.sent - before);
    cr_expect_leq(run.targetRequests(), exposureShare * (run.sent - before) + exposureSlack);
}

// Guards against a roll-out that stops, or gives the target more than it had, when the holder of
// the duties is killed halfway.
Test(rollout, newHolderContinues)
{
    RolloutRun run(25400);
    run.order("v2", 15.0);
    run.runFor(4s);
    const int share = run.targetRequests();
    cr_expect_gt(share, 0);
    const int holder = run.deployment.findHolder(nodeCount);
    cr_assert_neq(holder, 0);
    run.deadNode = holder;
    run.deployment.signalNode(holder, SIGKILL);
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("completed");
                      },
                      15s),
              "status %s", run.status().c_str());
    cr_expect_eq(run.deployment.platform.stopOtherEngines("plain", "v2"), 0);
    const int failed = run.failed;
    run.runFor(1s);
    run.deployment.runFor(500ms);
    cr_expect_eq(run.failed, failed, "%d, the last with status %d", run.failed - failed,
                 run.lastFailure);
}

// Guards against a bad version that keeps its requests because the store does not answer.
Test(rollout, badVersionIsRolledBackWithoutTheStore)
{
    RolloutRun run(25500);
    const int before = run.sent;
    run.order("v2", 15.0, {.failureShare = 0.5, .afterRequests = 15});
    cr_expect(run.runUntil(
            [&] {
                return run.targetRequests() >= 20;
            },
            8s));
    run.deployment.platform.store.setFault(EmulatedStore::Fault::NoAnswer);
    run.runFor(6s);
    const int requests = run.targetRequests();
    printf("store down: %d requests to the target of %d\n", requests, run.sent - before);
    cr_expect_leq(requests, exposureShare * (run.sent - before) + exposureSlack);
    run.runFor(2s);
    cr_expect_eq(run.targetRequests(), requests, "the target still gets requests");
    run.deployment.platform.store.setFault(EmulatedStore::Fault::None);
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("rolled_back");
                      },
                      8s),
              "status %s", run.status().c_str());
}

// Guards against a version that keeps its requests when another order replaces its own.
Test(rollout, replacedOrderEnds)
{
    RolloutRun run(25600);
    run.order("v2", 12.0);
    run.runFor(3s);
    const std::size_t replaced = run.firstTarget;
    run.order("v3", 12.0);
    run.runFor(2s);
    const int before = run.deployment.platform.engines[replaced]->totalRunCount();
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("completed") && run.hasStatus("v3");
                      },
                      12s),
              "status %s", run.status().c_str());
    cr_expect_eq(run.deployment.platform.engines[replaced]->totalRunCount(), before);
    cr_expect_eq(run.failed, 0);
}

// Guards against engines of a new version that get requests before its order is known, and against
// a roll-out without engines that never ends.
Test(rollout, orderWithoutEnginesIsRolledBack)
{
    RolloutRun run(25700);
    run.deployment.platform.orderRollout("plain", "v2", 4.0);
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("rolled_back");
                      },
                      8s),
              "status %s", run.status().c_str());
    run.firstTarget = run.deployment.platform.addEngines("plain", "v2", targetEngineCount);
    run.runFor(3s);
    cr_expect_eq(run.targetRequests(), 0);
    cr_expect_eq(run.failed, 0);
}

// Guards against a roll-out that begins again because the store lost the status of its order.
Test(rollout, completedOrderStaysSoAfterARestoration)
{
    RolloutRun run(26000);
    run.deployment.platform.orderRollout("plain", "v2", 12.0);
    run.deployment.platform.store.takeCopy();
    run.runFor(300ms);
    run.deployment.platform.addEngines("plain", "v2", targetEngineCount);
    cr_assert(run.runUntil(
                      [&] {
                          return run.hasStatus("completed");
                      },
                      12s),
              "status %s", run.status().c_str());
    run.deployment.platform.stopOtherEngines("plain", "v2");
    run.runFor(1s);
    run.deployment.platform.store.restoreCopy();
    cr_expect_not(run.hasStatus("completed"));
    cr_expect(run.runUntil(
                      [&] {
                          return run.hasStatus("completed");
                      },
                      5s),
              "status %s", run.status().c_str());
    run.runFor(2s);
    cr_expect(run.hasStatus("completed"), "status %s", run.status().c_str());
    int ordered = 0;
    for (int node = 1; node <= nodeCount; ++node) {
        std::ifstream log(run.deployment.logFile(node));
        for (std::string line; std::getline(log, line);)
            ordered += line.find("rollout.ordered") != std::string::npos ? 1 : 0;
    }
    cr_expect_eq(ordered, 1);
    cr_expect_eq(run.failed, 0, "%d of %d, the last with status %d", run.failed, run.sent,
                 run.lastFailure);
}
