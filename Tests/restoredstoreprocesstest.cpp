#include "support/platformdeployment.h"

#include <csignal>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 3;

/*!
    Calls \a sendRequest for each running node until \a condition holds or \a limit has passed.
*/
bool serveUntil(PlatformDeployment &deployment, const std::function<bool()> &condition,
                std::chrono::milliseconds limit)
{
    static int requestCount = 0;
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        for (int node = 1; node <= nodeCount; ++node) {
            if (!deployment.hasExited(node))
                deployment.sendRequest(node, "GET", "/read/x", std::to_string(++requestCount));
        }
        deployment.runFor(50ms);
    }
    return condition();
}

/*!
    Waits until a node other than \a previous has taken the duties and sent a call, and returns it.
*/
int waitForHolder(PlatformDeployment &deployment, int previous)
{
    const auto calls = [&deployment] {
        return deployment.platform.duties.windowCount() + deployment.platform.duties.orderCount();
    };
    std::optional<std::size_t> callsBefore;
    cr_assert(serveUntil(
                      deployment,
                      [&] {
                          if (deployment.findHolder(nodeCount) == previous)
                              return false;
                          callsBefore = callsBefore.value_or(calls());
                          return calls() > *callsBefore;
                      },
                      15s),
              "no holder after node %d", previous);
    return deployment.findHolder(nodeCount);
}

void killNode(PlatformDeployment &deployment, int node)
{
    deployment.signalNode(node, SIGKILL);
    cr_assert(deployment.runUntil(
            [&] {
                return deployment.hasExited(node);
            },
            2s));
}

void expectNoViolations(const PlatformDeployment &deployment)
{
    for (const std::string &violation : deployment.platform.duties.violations())
        cr_expect_fail("%s", violation.c_str());
}

} // namespace

// Guards against two holders with the same fencing token after the store was restored from a copy
// that lacks the takeover of the first one.
Test(restoredstore, twoHoldersNeverShareAToken)
{
    PlatformDeployment deployment(28500, nodeCount);
    const int first = waitForHolder(deployment, 0);
    deployment.platform.store.takeCopy();
    killNode(deployment, first);
    const int second = waitForHolder(deployment, first);
    killNode(deployment, second);
    deployment.platform.store.restoreCopy();
    waitForHolder(deployment, second);
    expectNoViolations(deployment);
}

// Guards against other counts for a window that was reported after the copy was taken. Nodes that
// have just started know of no report that the copy lacks.
Test(restoredstore, windowsAreNotReportedTwice)
{
    PlatformDeployment deployment(28600, nodeCount);
    const EmulatedDuties &duties = deployment.platform.duties;
    const auto waitForWindows = [&](std::size_t count) {
        const std::size_t before = duties.windowCount();
        cr_assert(serveUntil(
                deployment,
                [&] {
                    return duties.windowCount() >= before + count;
                },
                15s));
    };
    waitForHolder(deployment, 0);
    waitForWindows(1);
    deployment.platform.store.takeCopy();
    waitForWindows(3);
    for (int node = 1; node <= nodeCount; ++node)
        killNode(deployment, node);
    deployment.platform.store.restoreCopy();
    for (int node = 1; node <= nodeCount; ++node)
        deployment.startNode(node, false);
    waitForWindows(2);
    expectNoViolations(deployment);
}

// Guards against a holder that gives the duties up because the store lost its record, although
// nobody else may have taken them over.
Test(restoredstore, theHolderKeepsItsDuties)
{
    PlatformDeployment deployment(28700, nodeCount);
    const int first = waitForHolder(deployment, 0);
    deployment.platform.store.takeCopy();
    killNode(deployment, first);
    const int second = waitForHolder(deployment, first);
    for (int i = 0; i < 3; ++i) {
        deployment.platform.store.restoreCopy();
        const std::size_t windows = deployment.platform.duties.windowCount();
        cr_assert(serveUntil(
                deployment,
                [&] {
                    return deployment.platform.duties.windowCount() > windows + 1;
                },
                10s));
        cr_expect_eq(deployment.findHolder(nodeCount), second);
    }
    expectNoViolations(deployment);
}

// Guards against nodes that ignore what the operator and the engines write after the store was
// restored, because its revisions are lower than those of before.
Test(restoredstore, changesAfterARestorationAreFollowed)
{
    PlatformDeployment deployment(29700, nodeCount);
    EmulatedPlatform &platform = deployment.platform;
    platform.store.takeCopy();
    for (int i = 0; i < 500; ++i)
        platform.store.put("other", "o", "{}");
    platform.putConfig(2);
    platform.putEngine(*platform.engines[3], "ready");
    platform.putEngine(*platform.engines[4], "ready");
    deployment.runFor(1500ms);
    platform.store.restoreCopy();
    deployment.runFor(1500ms);
    platform.putConfig(3, true);
    platform.putEngine(*platform.engines[3], "draining");
    deployment.runFor(1900ms);
    const int before = platform.engines[3]->totalRunCount();
    for (int node = 1; node <= nodeCount; ++node) {
        const std::string id = "n-" + std::to_string(node);
        cr_expect_eq(deployment.sendRequest(node, "GET", "/extra/x", id).status, 200U, "node %d",
                     node);
        for (int i = 0; i < 10; ++i)
            deployment.sendRequest(node, "GET", "/read/x", id + "-" + std::to_string(i));
    }
    cr_expect_eq(platform.engines[3]->totalRunCount(), before);
}

// Guards against sending requests to an engine that is about to leave, because the copy from which
// the store was restored says that it is ready. The engine writes its entry again soon.
Test(restoredstore, leavingEnginesStayUnused)
{
    PlatformDeployment deployment(29800, nodeCount);
    EmulatedPlatform &platform = deployment.platform;
    const auto sendTo = [&](const std::string &id) {
        const int before = platform.engines[3]->totalRunCount();
        for (int node = 1; node <= nodeCount; ++node) {
            for (int i = 0; i < 10; ++i)
                deployment.sendRequest(node, "GET", "/read/x",
                                       id + std::to_string(node) + "-" + std::to_string(i));
        }
        return platform.engines[3]->totalRunCount() - before;
    };
    platform.store.takeCopy();
    platform.putEngine(*platform.engines[3], "draining");
    deployment.runFor(1500ms);
    platform.store.restoreCopy(EmulatedStore::Writers::Late);
    deployment.runFor(900ms);
    cr_expect_eq(sendTo("copy-"), 0);
    platform.putEngine(*platform.engines[3], "draining");
    deployment.runFor(2500ms);
    cr_expect_eq(sendTo("again-"), 0);
    // What is not written again after that counts as the store has it.
    platform.store.restoreCopy(EmulatedStore::Writers::Late);
    deployment.runFor(4000ms);
    cr_expect_gt(sendTo("kept-"), 0);
}
