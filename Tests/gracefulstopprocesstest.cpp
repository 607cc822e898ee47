#include "Adapter/json.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace sesame;
using namespace sesame::test;

namespace {

constexpr int stopTimeoutMillis = 40'000;

/*!
    Checks the JSON report of a caller: every request is complete, none was resumed, and no answer
    is wrong.
*/
void expectNoDisturbance(const std::string &log)
{
    const std::string text = readFile(log);
    const JsonPtr body = parseJson(text.substr(std::min(text.find('{'), text.size())));
    const std::int64_t requests = jsonInteger(body.get(), "requests");
    cr_expect_gt(requests, 0);
    cr_expect_eq(jsonInteger(json_object_get(body.get(), "outcomes"), "complete"), requests, "%s",
                 text.c_str());
    cr_expect_eq(jsonInteger(body.get(), "wrong_answers", -1), 0, "%s", text.c_str());
    cr_expect_eq(jsonInteger(body.get(), "resumes", -1), 0, "%s", text.c_str());
}

pid_t startChatLoad(TestDeployment &deployment, const std::string &log)
{
    return deployment.processes().start(
            deployment.callerCommand("chat",
                                     {"--model=loft-assessment", "--max_tokens=120",
                                      "--concurrency=20", "--duration=8", "--json"}),
            log);
}

int drain(TestDeployment &deployment, std::size_t n)
{
    return runCommand(
            {SESAMEPROXY_BINARY, "drain", "--node=" + deployment.nodes()[n].operatorAddress()},
            deployment.logFile("drain"), 5000);
}

TestDeploymentOptions makeSlowEngineDeployment()
{
    return {.nodes = 4, .engines = 4, .applications = 1, .tokenMillis = 20.0};
}

} // namespace

// Guards against a stop that interrupts open streams or refuses callers with a cached address, for
// SIGTERM, the command `drain` and two concurrent stops.
Test(gracefulstop, sigtermAndDrainUnderLoad)
{
    TestDeployment deployment(makeSlowEngineDeployment());
    auto &nodes = deployment.nodes();
    const std::string log = deployment.logFile("load");
    const pid_t load = startChatLoad(deployment, log);
    sleepMillis(2000);
    deployment.processes().signal(nodes[0].pid, SIGTERM);
    cr_expect_eq(drain(deployment, 1), 0);
    sleepMillis(1000);
    deployment.processes().signal(nodes[0].pid, SIGTERM);
    const std::string body = R"({"model":"loft-assessment","max_tokens":4,"messages":[)"
                             R"({"role":"user","content":"short note"}]})";
    for (std::size_t n : {0, 1}) {
        const TestReply reply = callUrl("POST", nodes[n].callerUrl() + "/v1/chat/completions", body,
                                        callerHeaders());
        cr_expect_eq(reply.status, 200, "an old address must serve for its ttl of 2 s");
    }
    cr_expect_eq(deployment.processes().waitForExit(nodes[0].pid, stopTimeoutMillis), 0);
    cr_expect_eq(deployment.processes().waitForExit(nodes[1].pid, stopTimeoutMillis), 0);
    cr_expect_eq(deployment.processes().waitForExit(load, stopTimeoutMillis), 0);
    expectNoDisturbance(log);
}

// Guards against a stop that waits for the store, or abandons its requests, during an outage.
Test(gracefulstop, stopWhileStoreIsDown)
{
    TestDeployment deployment(makeSlowEngineDeployment());
    auto &nodes = deployment.nodes();
    const std::string log = deployment.logFile("load");
    const pid_t load = startChatLoad(deployment, log);
    sleepMillis(1000);
    cr_assert_eq(callUrl("POST", deployment.storeUrl() + "/control", R"({"outage":true})").status,
                 200);
    sleepMillis(1000);
    deployment.processes().signal(nodes[2].pid, SIGTERM);
    cr_expect_eq(deployment.processes().waitForExit(nodes[2].pid, stopTimeoutMillis), 0);
    cr_expect_eq(deployment.processes().waitForExit(load, stopTimeoutMillis), 0);
    expectNoDisturbance(log);
}
