#include "support/platformdeployment.h"

#include <csignal>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 3;
//! Number of objects on a page of the emulated store's lists.
constexpr int pageSize = 3;

//! Begins of names that sort before those of the engines. Unless they are encoded, the first four
//! make a query that asks for the first page again or cannot be read; the last one makes a query
//! that passes over the engines.
const std::vector<std::string> oddBegins {"&", "#", "+", " ", "%7A"};

/*!
    Fills a page of the list of \a kind with entries of another writer, whose names begin with
    \a begin.
*/
void putOddPage(EmulatedStore &store, const std::string &begin, const std::string &kind = "servers")
{
    for (int i = 1; i <= pageSize; ++i)
        store.put(kind, begin + std::to_string(i), R"({"state":"odd"})");
}

void eraseOddPage(EmulatedStore &store, const std::string &begin)
{
    for (int i = 1; i <= pageSize; ++i)
        store.erase("servers", begin + std::to_string(i));
}

void expectServed(PlatformDeployment &deployment, const std::string &situation)
{
    static int requestCount = 0;
    constexpr int requests = 5;
    for (int node = 1; node <= nodeCount; ++node) {
        for (int i = 0; i < requests; ++i) {
            const std::string id = std::to_string(++requestCount);
            cr_expect_eq(deployment.sendRequest(node, "GET", "/read/x", id).status, 200U,
                         "%s, node %d", situation.c_str(), node);
        }
    }
}

/*!
    Kills all nodes, starts them again and waits until they are ready.
*/
void restartAll(PlatformDeployment &deployment)
{
    for (int node = 1; node <= nodeCount; ++node)
        deployment.signalNode(node, SIGKILL);
    for (int node = 1; node <= nodeCount; ++node) {
        cr_assert(deployment.runUntil(
                [&] {
                    return deployment.hasExited(node);
                },
                5s));
        deployment.startNode(node, false);
    }
    for (int node = 1; node <= nodeCount; ++node)
        cr_assert(deployment.runUntil(
                          [&] {
                              return deployment.isReady(node);
                          },
                          10s),
                  "node %d is not ready", node);
}

} // namespace

// Guards against an entry in the list of engines whose name keeps restarted nodes from reading the
// entries after it, so that they know no engine.
Test(oddnames, restartedNodesServeBesideOddEntries)
{
    PlatformDeployment deployment(23150, nodeCount);
    EmulatedStore &store = deployment.platform.store;
    for (const std::string &begin : oddBegins) {
        putOddPage(store, begin);
        deployment.runFor(1s);
        expectServed(deployment, "watched " + begin);
        restartAll(deployment);
        expectServed(deployment, "restarted " + begin);
        eraseOddPage(store, begin);
    }
    // On pages that follow each other.
    for (const std::string &begin : oddBegins)
        putOddPage(store, begin);
    restartAll(deployment);
    expectServed(deployment, "restarted");
}

// Guards against engines that a node forgets because entries without a name keep it from reading
// the rest of the list.
Test(oddnames, entriesWithoutANameRemoveNoEngine)
{
    PlatformDeployment deployment(23450, nodeCount);
    EmulatedStore &store = deployment.platform.store;
    // A page of its own, between the engines of streams and those of plain requests.
    const auto visitPage = [](const auto &visit) {
        for (int i = 1; i <= pageSize; ++i)
            visit("i-2x" + std::to_string(i));
    };
    visitPage([&](const std::string &name) {
        store.putText("servers", name, "{}");
    });
    deployment.runFor(1s);
    // Watches from before cannot continue after the outage.
    store.setFault(EmulatedStore::Fault::Unavailable);
    deployment.runFor(2s);
    store.put("servers", "z", R"({"state":"odd"})");
    store.compact();
    store.setFault(EmulatedStore::Fault::None);
    // Objects that are missing after an outage are kept for two seconds.
    deployment.runFor(4s);
    expectServed(deployment, "listed again");
    restartAll(deployment);
    visitPage([&](const std::string &name) {
        store.erase("servers", name);
    });
    deployment.runFor(3s);
    expectServed(deployment, "after the entries were removed");
}

// Guards against odd names in any list that keep restarted nodes from serving, from performing the
// duties or from steering a roll-out.
Test(oddnames, oddNamesInEachKindAreHarmless)
{
    PlatformDeployment deployment(23550, nodeCount, {.contracts = {"rollout"}});
    EmulatedStore &store = deployment.platform.store;
    for (const char *kind : {"config", "servers", "rollouts", "rolloutsteps", "nodes", "duties"}) {
        for (const std::string &begin : oddBegins)
            putOddPage(store, begin, kind);
        store.putText(kind, "+4", "{}");
    }
    restartAll(deployment);
    expectServed(deployment, "restarted");
    deployment.platform.addEngines("plain", "v2", 2);
    deployment.platform.orderRollout("plain", "v2", 12.0);
    cr_expect(deployment.runUntil(
                      [&] {
                          return !store.status("rollouts", "plain").empty();
                      },
                      10s),
              "the roll-out has no status");
    cr_expect(deployment.runUntil(
                      [&] {
                          return deployment.platform.duties.windowCount() > 0;
                      },
                      10s),
              "no usage was reported");
    expectServed(deployment, "during a roll-out");
}

// Guards against an odd record of a node that stays, or whose removal costs a node its own record.
Test(oddnames, oddRecordsOfNodesAreRemoved)
{
    PlatformDeployment deployment(23650, nodeCount);
    EmulatedStore &store = deployment.platform.store;
    for (const char *name : {"node-1?x", "node-1#x", "node-1/status", "node%2D1"})
        store.put("nodes", name, R"({"entry":"127.0.1.99:1","zone":"z"})");
    const auto hasOwnRecords = [&] {
        for (int node = 1; node <= nodeCount; ++node) {
            if (!store.contains("nodes", "node-" + std::to_string(node)))
                return false;
        }
        return true;
    };
    bool isEachRecordKept = true;
    cr_expect(deployment.runUntil(
                      [&] {
                          isEachRecordKept = isEachRecordKept && hasOwnRecords();
                          return store.objectCount("nodes") == nodeCount;
                      },
                      40s),
              "%zu records are left", store.objectCount("nodes"));
    cr_expect(isEachRecordKept);
}
