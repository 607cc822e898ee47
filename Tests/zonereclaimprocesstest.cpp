#include "Adapter/json.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace sesame;
using namespace sesame::test;

namespace {

struct LoadResult
{
    int exitCode = -1;
    std::int64_t complete = 0;
    std::int64_t requests = 0;
    std::int64_t wrongAnswers = 0;
    std::string report;
};

/*!
    A process with callers that send chat requests during a fault.
*/
class CallerLoad
{
public:
    CallerLoad(TestDeployment &deployment, std::vector<std::string> extra)
        : m_deployment(deployment), m_log(deployment.logFile("load"))
    {
        extra.emplace_back("--json");
        m_pid = deployment.processes().start(deployment.callerCommand("chat", std::move(extra)),
                                             m_log);
    }

    LoadResult wait(int timeoutMillis)
    {
        LoadResult result;
        result.exitCode = m_deployment.processes().waitForExit(m_pid, timeoutMillis);
        result.report = readFile(m_log);
        const JsonPtr body = parseJson(
                result.report.substr(std::min(result.report.find('{'), result.report.size())));
        result.requests = jsonInteger(body.get(), "requests");
        result.wrongAnswers = jsonInteger(body.get(), "wrong_answers", -1);
        result.complete = jsonInteger(json_object_get(body.get(), "outcomes"), "complete");
        return result;
    }

private:
    TestDeployment &m_deployment;
    std::string m_log;
    pid_t m_pid = -1;
};

void expectAllComplete(const LoadResult &result)
{
    cr_expect_eq(result.exitCode, 0, "%s", result.report.c_str());
    cr_expect_eq(result.wrongAnswers, 0, "%s", result.report.c_str());
    cr_expect_gt(result.requests, 0);
    cr_expect_eq(result.complete, result.requests, "%s", result.report.c_str());
}

void giveNotice(const TestDeployment &deployment, const std::string &zone, int seconds)
{
    const std::string body = R"({"zone":")" + zone + R"(","seconds":)" + std::to_string(seconds)
            + "}";
    cr_assert_eq(callUrl("POST", deployment.cloudUrl() + "/control/notice", body).status, 200);
}

void registerNodes(TestDeployment &deployment)
{
    std::string list;
    for (const auto &node : deployment.nodes()) {
        list += (list.empty() ? "" : ",") + std::string(R"({"id":"i-)") + node.name
                + R"(","incarnation":1,"kind":"entry","class":"entry","service":"","address":")"
                + node.callerUrl() + R"(","zone":")" + node.zone
                + R"(","market":"reclaimable","price_per_hour":0.1,"state":"running"})";
    }
    const std::string body = R"({"instances":[)" + list + "]}";
    cr_assert_eq(callUrl("POST", deployment.cloudUrl() + "/control/instances", body).status, 200);
}

void killZone(TestDeployment &deployment, const std::string &zone)
{
    for (const auto &node : deployment.nodes()) {
        if (node.zone == zone)
            deployment.processes().kill(node.pid);
    }
    for (const auto &engine : deployment.engines()) {
        if (engine.zone == zone)
            deployment.processes().kill(engine.pid);
    }
}

TestDeploymentOptions makeSlowEngineDeployment()
{
    return {.nodes = 7, .engines = 8, .applications = 1, .tokenMillis = 20.0};
}

} // namespace

// Guards against lost or altered answers when a whole zone with its entry nodes and engines is
// reclaimed on short notice.
Test(zonereclaim, streamsCompleteWhenZoneIsReclaimed)
{
    TestDeployment deployment(makeSlowEngineDeployment());
    registerNodes(deployment);
    CallerLoad load(
            deployment,
            {"--model=loft-assessment", "--max_tokens=300", "--concurrency=24", "--requests=24"});
    sleepMillis(2000);
    giveNotice(deployment, "pathum-a", 3);
    sleepMillis(3000);
    killZone(deployment, "pathum-a");
    expectAllComplete(load.wait(60'000));
}

// Guards against requests that are lost when the leaving node dies during its handover.
Test(zonereclaim, nodeDiesPartwayThroughHandover)
{
    TestDeployment deployment(makeSlowEngineDeployment());
    registerNodes(deployment);
    CallerLoad load(
            deployment,
            {"--model=loft-assessment", "--max_tokens=300", "--concurrency=24", "--requests=24"});
    sleepMillis(2000);
    giveNotice(deployment, "pathum-b", 3);
    sleepMillis(260);
    killZone(deployment, "pathum-b");
    expectAllComplete(load.wait(60'000));
}

// Guards against requests that survive one zone reclaim and are lost in the next one, until one
// zone is left.
Test(zonereclaim, oneZoneLeft)
{
    TestDeployment deployment(makeSlowEngineDeployment());
    registerNodes(deployment);
    CallerLoad load(
            deployment,
            {"--model=loft-assessment", "--max_tokens=600", "--concurrency=12", "--requests=12"});
    sleepMillis(1500);
    for (const char *zone : {"pathum-a", "pathum-b", "nonthaburi"}) {
        giveNotice(deployment, zone, 2);
        sleepMillis(2000);
        killZone(deployment, zone);
    }
    expectAllComplete(load.wait(90'000));
}

// Guards against incomplete answers when entry nodes and engines are killed without notice.
Test(zonereclaim, entryAndEnginesKilledWithoutNotice)
{
    TestDeployment deployment(makeSlowEngineDeployment());
    CallerLoad load(
            deployment,
            {"--model=loft-assessment", "--max_tokens=300", "--concurrency=16", "--requests=16"});
    sleepMillis(2000);
    killZone(deployment, "nonthaburi");
    expectAllComplete(load.wait(60'000));
}
