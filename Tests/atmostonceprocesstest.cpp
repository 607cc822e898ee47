#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <csignal>
#include <future>

using namespace sesame;
using namespace sesame::test;

namespace {

const std::string dispatchPath = "/orders/dispatch";

TestReply dispatch(const TestDeployment::Node &node, const std::string &key,
                   int timeoutMillis = 8000)
{
    return callUrl("POST", node.callerUrl() + dispatchPath, "{}", callerHeaders(key),
                   timeoutMillis);
}

std::future<TestReply> dispatchAsync(const TestDeployment::Node &node, const std::string &key)
{
    return std::async(std::launch::async, [node, key] {
        return dispatch(node, key);
    });
}

void controlStore(const TestDeployment &deployment, const std::string &body)
{
    cr_assert_eq(callUrl("POST", deployment.storeUrl() + "/control", body).status, 200);
}

void controlApplications(TestDeployment &deployment, const std::string &body)
{
    for (const auto &application : deployment.applications())
        cr_assert_eq(callUrl("POST", application.url + "/control", body).status, 200);
}

std::int64_t countExecutionsOf(const TestDeployment &deployment, const std::string &key)
{
    return deployment.countExecutions()["hotel~" + key];
}

TestDeploymentOptions makeSmallDeployment()
{
    return {.nodes = 3, .engines = 1, .applications = 2};
}

} // namespace

// Guards against a late send by a node that was frozen between its claim and its send, while the
// caller retried on another node.
Test(atmostonce, nodeFrozenBetweenClaimAndSend)
{
    TestDeployment deployment(makeSmallDeployment());
    auto &nodes = deployment.nodes();
    cr_assert_str_eq(dispatch(nodes[0], "warm").outcome.c_str(), "complete");
    controlStore(deployment, R"({"delay_ms":600})");
    auto first = dispatchAsync(nodes[0], "frozen");
    sleepMillis(400);
    deployment.processes().signal(nodes[0].pid, SIGSTOP);
    controlStore(deployment, R"({"delay_ms":0})");
    sleepMillis(600);
    const TestReply second = dispatch(nodes[1], "frozen");
    sleepMillis(2500);
    deployment.processes().signal(nodes[0].pid, SIGCONT);
    const TestReply late = first.get();
    sleepMillis(500);
    const std::int64_t n = countExecutionsOf(deployment, "frozen");
    cr_expect_leq(n, 1);
    cr_expect_eq(n, second.outcome == "complete" || late.outcome == "complete" ? 1 : 0);
    if (second.outcome == "not_run" && late.outcome == "not_run")
        cr_expect_eq(n, 0);
}

// Guards against a second send when the node that sent the call is killed before it replies.
Test(atmostonce, nodeKilledAfterSend)
{
    TestDeployment deployment(makeSmallDeployment());
    auto &nodes = deployment.nodes();
    controlApplications(deployment, R"({"delay_ms":1500})");
    auto first = dispatchAsync(nodes[0], "killed");
    sleepMillis(500);
    deployment.processes().kill(nodes[0].pid);
    const TestReply second = dispatch(nodes[1], "killed");
    cr_expect_str_eq(second.outcome.c_str(), "unknown");
    cr_expect_eq(second.code, 1401);
    cr_expect_eq(first.get().status, 0);
    controlApplications(deployment, R"({"delay_ms":0})");
    sleepMillis(11'000);
    const TestReply settled = dispatch(nodes[2], "killed");
    cr_expect_str_eq(settled.outcome.c_str(), "complete", "the status lookup settles the call");
    cr_expect_eq(countExecutionsOf(deployment, "killed"), 1);
}

// Guards against a claim that is treated as refused, or granted twice, when the reply of the store
// is lost after the write took effect.
Test(atmostonce, storeAnswerLost)
{
    TestDeployment deployment(makeSmallDeployment());
    auto &nodes = deployment.nodes();
    controlStore(deployment, R"({"lose_answers":1})");
    const TestReply first = dispatch(nodes[0], "lost");
    const TestReply second = dispatch(nodes[1], "lost");
    cr_expect_str_eq(first.outcome.c_str(), "complete");
    cr_expect_str_eq(second.outcome.c_str(), "complete");
    cr_expect_eq(countExecutionsOf(deployment, "lost"), 1);
}

// Guards against a call that is sent without a claim, and against the outcome "not run" for a call
// that ran, while the store is down. Also checks that other traffic continues.
Test(atmostonce, storeDown)
{
    TestDeployment deployment(makeSmallDeployment());
    auto &nodes = deployment.nodes();
    controlStore(deployment, R"({"outage":true})");
    sleepMillis(6000);
    const TestReply refused = dispatch(nodes[0], "down");
    cr_expect_str_eq(refused.outcome.c_str(), "not_run");
    cr_expect_eq(refused.code, 1203);
    cr_expect_neq(refused.body.find("retry_after_ms"), std::string::npos);
    cr_expect_eq(countExecutionsOf(deployment, "down"), 0);
    const TestReply lookup = callUrl("GET", nodes[1].callerUrl() + "/orders/stock/kapok", {},
                                     callerHeaders());
    cr_expect_str_eq(lookup.outcome.c_str(), "complete");
    cr_expect_eq(runCommand(deployment.callerCommand("chat", {"--model=loft-assessment"}),
                            deployment.logFile("caller"), 20'000),
                 0);
    controlStore(deployment, R"({"outage":false})");
    sleepMillis(1000);
    cr_expect_str_eq(dispatch(nodes[2], "down").outcome.c_str(), "complete");
    cr_expect_eq(countExecutionsOf(deployment, "down"), 1);
}

// Guards against a claim for one idempotency key that is granted to two nodes.
Test(atmostonce, twoNodesAtOnce)
{
    TestDeployment deployment(makeSmallDeployment());
    auto &nodes = deployment.nodes();
    for (int n = 0; n < 30; ++n) {
        const std::string key = "race-" + std::to_string(n);
        std::vector<std::future<TestReply>> replies;
        replies.reserve(nodes.size());
        for (const auto &node : nodes)
            replies.push_back(dispatchAsync(node, key));
        int completed = 0;
        for (auto &it : replies)
            completed += it.get().outcome == "complete" ? 1 : 0;
        cr_expect_geq(completed, 1, "%s", key.c_str());
        cr_expect_eq(countExecutionsOf(deployment, key), 1, "%s", key.c_str());
    }
}

// Guards against the outcome "not run" and a second execution when the connection to the backend
// server is lost before or after the execution.
Test(atmostonce, connectionLostAroundExecution)
{
    TestDeployment deployment(makeSmallDeployment());
    auto &nodes = deployment.nodes();
    controlApplications(deployment, R"({"drop_before":1})");
    const TestReply before = dispatch(nodes[0], "before");
    cr_expect_str_eq(before.outcome.c_str(), "unknown");
    cr_expect_str_eq(dispatch(nodes[1], "before").outcome.c_str(), "unknown");
    cr_expect_eq(countExecutionsOf(deployment, "before"), 0);
    controlApplications(deployment, R"({"drop_before":0,"drop_after":1})");
    const TestReply after = dispatch(nodes[0], "after");
    cr_expect_neq(after.outcome, "not_run");
    cr_expect_eq(countExecutionsOf(deployment, "after"), 1);
    controlApplications(deployment, R"({"drop_after":0})");
    cr_expect_neq(dispatch(nodes[2], "after").outcome, "not_run");
    cr_expect_eq(countExecutionsOf(deployment, "after"), 1);
}

// Guards against an outcome other than "not run" when no backend server can be reached.
Test(atmostonce, backendServersDown)
{
    TestDeployment deployment(makeSmallDeployment());
    auto &nodes = deployment.nodes();
    for (const auto &application : deployment.applications())
        deployment.processes().kill(application.pid);
    const TestReply reply = dispatch(nodes[0], "refused");
    cr_expect_str_eq(reply.outcome.c_str(), "not_run");
    cr_expect_eq(reply.code, 1202);
}
