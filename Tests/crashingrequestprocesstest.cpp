#include "Adapter/json.h"
#include "support/printfigure.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace sesame::test;

namespace {

std::size_t countLostEngines(TestDeployment &deployment)
{
    std::size_t lost = 0;
    for (const auto &engine : deployment.engines())
        lost += callUrl("GET", engine.url + "/v1/load", {}, {}, 1000).status == 200 ? 0 : 1;
    return lost;
}

} // namespace

// Guards against a request that crashes one engine after another while its caller sends it through
// every entry node, and against refusals of the requests that ran on the same engines.
Test(crashingrequest, costsAtMostTwoEngines)
{
    TestDeployment deployment(
            {.nodes = 7, .engines = 6, .applications = 1, .tokenMillis = 20.0, .slots = 8});
    const std::string log = deployment.logFile("load");
    const pid_t load = deployment.processes().start(
            deployment.callerCommand("chat",
                                     {"--model=loft-assessment", "--max_tokens=150",
                                      "--concurrency=18", "--requests=36", "--json"}),
            log);
    sleepMillis(1500);
    const std::string body = R"({"model":"loft-assessment","max_tokens":4,"messages":[)"
                             R"({"role":"user","content":"CRASH-ENGINE now"}]})";
    int refusals = 0;
    for (int round = 0; round < 2; ++round) {
        for (const auto &node : deployment.nodes()) {
            const TestReply reply = callUrl("POST", node.callerUrl() + "/v1/chat/completions", body,
                                            callerHeaders(), 30'000);
            refusals += reply.code == 1206 ? 1 : 0;
        }
    }
    cr_expect_leq(countLostEngines(deployment), 2);
    cr_expect_geq(refusals, 13, "refused on %d of 14 tries", refusals);
    cr_expect_eq(deployment.processes().waitForExit(load, 90'000), 0, "%s", readFile(log).c_str());
    const std::string text = readFile(log);
    const JsonPtr report = parseJson(text.substr(std::min(text.find('{'), text.size())));
    cr_expect_eq(jsonInteger(json_object_get(report.get(), "outcomes"), "complete"), 36, "%s",
                 text.c_str());
}

// Guards against requests from a crashed engine that never run again, because a node changes the
// engine that it announced for them with each change of the load.
Test(crashingrequest, suspectsRunAgainUnderChangingLoad)
{
    TestDeployment deployment(
            {.nodes = 3, .engines = 5, .applications = 1, .tokenMillis = 20.0, .slots = 8});
    const std::string changingLog = deployment.logFile("changing");
    const pid_t changing = deployment.processes().start(
            deployment.callerCommand("chat",
                                     {"--model=loft-assessment", "--max_tokens=10", "--rate=40",
                                      "--duration=15", "--concurrency=24", "--json"}),
            changingLog);
    const std::string log = deployment.logFile("load");
    const pid_t load = deployment.processes().start(
            deployment.callerCommand("chat",
                                     {"--model=loft-assessment", "--max_tokens=200",
                                      "--concurrency=10", "--requests=10", "--json"}),
            log);
    sleepMillis(1500);
    deployment.processes().kill(deployment.engines().front().pid);
    cr_expect_eq(deployment.processes().waitForExit(load, 90'000), 0, "%s", readFile(log).c_str());
    const std::string text = readFile(log);
    const JsonPtr report = parseJson(text.substr(std::min(text.find('{'), text.size())));
    cr_expect_eq(jsonInteger(json_object_get(report.get(), "outcomes"), "complete"), 10, "%s",
                 text.c_str());
    // Twice the longest gossip delay for each of two suspects in turn, and the time of one run.
    const double longestGap = json_real_value(
            json_object_get(json_object_get(report.get(), "gap_ms"), "max"));
    printFigure("longest gap %.0f ms", longestGap);
    cr_expect_leq(longestGap, 8000.0, "%s", text.c_str());
    cr_expect_eq(deployment.processes().waitForExit(changing, 30'000), 0, "%s",
                 readFile(changingLog).c_str());
}
