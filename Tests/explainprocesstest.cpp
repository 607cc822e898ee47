#include "support/platformdeployment.h"

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

// Each test reproduces one of the examples in docs/OPERATIONS.md and checks that the documented
// command prints the cause.

namespace {

void expectContains(const std::string &timeline, const std::string &expected)
{
    cr_expect_neq(timeline.find(expected), std::string::npos, "no \"%s\" in:\n%s", expected.c_str(),
                  timeline.c_str());
}

} // namespace

// Guards against a refused request whose reason cannot be found by its ID.
Test(explain, refusedRequest)
{
    PlatformDeployment deployment(22100, 2);
    // The nodes share the quota once they have received reports from each other.
    deployment.runFor(1500ms);
    std::string refused;
    for (int i = 0; i < 20 && refused.empty(); ++i) {
        const std::string id = "q-" + std::to_string(i);
        if (deployment.sendRequest(1, "GET", "/read/x", id, "key-small").status == 429)
            refused = id;
    }
    cr_assert_not(refused.empty());
    deployment.runFor(300ms);
    const std::string timeline = deployment.runExplain(refused);
    expectContains(timeline, "request.quota_exceeded");
    expectContains(timeline, "cost=1.0");
    expectContains(timeline, "request.finished");
    expectContains(timeline, "account=small");
    expectContains(timeline, "status 429, the account's quota is used up");
    cr_expect_eq(timeline.find("request.sent"), std::string::npos, "%s", timeline.c_str());
}

// Guards against an interrupted stream whose last event and cause cannot be determined.
Test(explain, interruptedStream)
{
    PlatformDeployment deployment(22150, 1);
    deployment.setFault(EmulatedEngine::Fault::BrokenStream, 1);
    deployment.sendRequest(1, "POST", "/stream/x", "cut-1");
    deployment.runFor(300ms);
    const std::string timeline = deployment.runExplain("cut-1");
    expectContains(timeline, "request.sent");
    expectContains(timeline, "reason=\"connection closed\"");
    expectContains(timeline, "no final answer, the engine broke off the stream; engines: i-");

    // If the route allows resuming, another engine continues after the last complete event.
    deployment.setFault(EmulatedEngine::Fault::None, 0);
    for (int i = 0; i < 2; ++i)
        deployment.platform.engines[static_cast<std::size_t>(i)]->setFault(
                EmulatedEngine::Fault::BrokenStream, 1000);
    std::string resumed;
    for (int i = 0; i < 20 && resumed.find("send=2") == std::string::npos; ++i) {
        const std::string id = "again-" + std::to_string(i);
        deployment.sendRequest(1, "POST", "/stream/again/x", id);
        deployment.runFor(300ms);
        resumed = deployment.runExplain(id);
    }
    expectContains(resumed, "send=2");
    expectContains(resumed, "after=2");
    expectContains(resumed, "status 200, complete");
}

// Guards against reporting a request with an unknown outcome as not executed.
Test(explain, requestThatMayHaveExecuted)
{
    PlatformDeployment deployment(22200, 1);
    deployment.setFault(EmulatedEngine::Fault::NoAnswer, 1);
    cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "book-1").status, 504U);
    deployment.runFor(300ms);
    const std::string timeline = deployment.runExplain("book-1");
    expectContains(timeline, "send=1");
    expectContains(timeline, "sends=1");
    expectContains(timeline, "status 504, the engine did not answer in time; engines: i-");
    cr_expect_eq(deployment.executionCount("book-1"), 1);
}

// Guards against a success exit code for an unknown request, a missing log or an invalid settings
// file.
Test(explain, exitCodesReportMissingInputs)
{
    PlatformDeployment deployment(22250, 1);
    const std::string output = deployment.logFile(1) + ".out";
    const std::string program = SESAMEPROXY_BINARY;
    cr_expect_eq(runCommand({program, "explain", "nobody", deployment.logFile(1)}, output, 5000),
                 1);
    cr_expect_eq(runCommand({program, "explain", "nobody", "/nonexistent"}, output, 5000), 2);
    cr_expect_eq(runCommand({program, "explain", "nobody"}, output, 5000), 2);
    const std::string settings = deployment.settingsFile(1);
    cr_expect_eq(runCommand({program, "check", settings}, output, 5000), 0);
    const std::string broken = settings + ".broken.yaml";
    writeFile(broken, "nodeName: 3\nlisten: []\n");
    cr_expect_eq(runCommand({program, "check", broken}, output, 5000), 2);
    cr_expect_neq(readFile(output).find("listen"), std::string::npos);
}
