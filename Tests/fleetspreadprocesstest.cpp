#include "Adapter/json.h"
#include "support/printfigure.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <csignal>
#include <regex>

using namespace sesame;
using namespace sesame::test;

namespace {

constexpr int maxSpreadMillis = 5000;
constexpr int exitConflict = 3;
constexpr int exitRefused = 2;

std::string writeVariant(TestDeployment &deployment, const std::string &name,
                         const std::string &pattern, const std::string &replacement)
{
    const std::string text = std::regex_replace(readFile(deployment.fleetFile()),
                                                std::regex(pattern), replacement);
    std::string path = deployment.logFile(name) + ".toml";
    writeFile(path, text);
    return path;
}

void controlStore(const TestDeployment &deployment, const std::string &path,
                  const std::string &body = "{}")
{
    cr_assert_eq(callUrl("POST", deployment.storeUrl() + path, body).status, 200);
}

std::int64_t readStatus(const TestDeployment::Node &node, const char *key)
{
    const TestReply reply = callUrl("GET", "http://" + node.operatorAddress() + "/v1/status");
    return jsonInteger(parseJson(reply.body).get(), key);
}

} // namespace

// Guards against an accepted change that does not reach a node because the store goes down right
// after the change.
Test(fleetspread, storeDownRightAfterAcceptance)
{
    TestDeployment deployment;
    const std::string changed = writeVariant(deployment, "changed", "retry_budget = 0.1",
                                             "retry_budget = 0.2");
    cr_assert_eq(deployment.apply(changed, {"--wait_seconds=0"}) & ~1, 0);
    controlStore(deployment, "/control", R"({"outage":true})");
    cr_expect(deployment.waitUntilServing(2, maxSpreadMillis));
    deployment.processes().kill(deployment.nodes()[3].pid);
    deployment.startNode(3);
    cr_expect(deployment.waitUntilServing(2, 2 * maxSpreadMillis, {3}),
              "a node started during the outage learns the version from its peers");
}

// Guards against an older configuration that is adopted after a restore of the store, and against a
// capacity limit that is lowered by a fleet file.
Test(fleetspread, neverReverts)
{
    TestDeployment deployment;
    controlStore(deployment, "/control/snapshot");
    const std::string raised = writeVariant(deployment, "raised", "capacity_limit = 24",
                                            "capacity_limit = 30");
    cr_assert_eq(deployment.apply(raised, {"--wait_seconds=10"}), 0);
    controlStore(deployment, "/control/restore");
    sleepMillis(3000);
    for (const auto &node : deployment.nodes()) {
        cr_expect_eq(readStatus(node, "fleet_version"), 2, "%s", node.name.c_str());
        cr_expect_eq(readStatus(node, "capacity_limit"), 30, "%s", node.name.c_str());
    }
    cr_expect_eq(deployment.apply(deployment.fleetFile()), exitRefused,
                 "the first file would lower the limit");
    cr_expect_eq(readStatus(deployment.nodes()[0], "capacity_limit"), 30);
}

// Guards against a lost update when two operators change the same version.
Test(fleetspread, secondOperatorGetsConflict)
{
    TestDeployment deployment({.nodes = 2, .engines = 1, .applications = 1});
    const std::string first = writeVariant(deployment, "first", "retry_budget = 0.1",
                                           "retry_budget = 0.2");
    const std::string second = writeVariant(deployment, "second", "retry_budget = 0.1",
                                            "retry_budget = 0.3");
    cr_expect_eq(deployment.apply(first, {"--base=1", "--wait_seconds=10"}), 0);
    cr_expect_eq(deployment.apply(second, {"--base=1", "--wait_seconds=10"}), exitConflict);
    cr_expect_eq(readStatus(deployment.nodes()[1], "fleet_version"), 2);
}

// Guards against an isolated node that serves requests with a configuration that may be outdated.
Test(fleetspread, nodeAloneRefusesNewWork)
{
    TestDeployment deployment({.nodes = 3, .engines = 1, .applications = 1});
    auto &nodes = deployment.nodes();
    controlStore(deployment, "/control", R"({"outage":true})");
    deployment.processes().signal(nodes[1].pid, SIGSTOP);
    deployment.processes().signal(nodes[2].pid, SIGSTOP);
    sleepMillis(6000);
    const TestReply reply = callUrl("GET", nodes[0].callerUrl() + "/orders/stock/kapok", {},
                                    callerHeaders());
    cr_expect_eq(reply.code, 1205, "code %d", reply.code);
    cr_expect_str_eq(reply.outcome.c_str(), "not_run");
    deployment.processes().signal(nodes[1].pid, SIGCONT);
    deployment.processes().signal(nodes[2].pid, SIGCONT);
    sleepMillis(3000);
    const TestReply again = callUrl("GET", nodes[0].callerUrl() + "/orders/stock/kapok", {},
                                    callerHeaders());
    cr_expect_str_eq(again.outcome.c_str(), "complete",
                     "with peers that agree on the outage the node serves");
}
