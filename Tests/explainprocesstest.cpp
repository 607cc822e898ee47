#include "support/platformdeployment.h"

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

// Each test plays one of the worked examples of docs/OPERATIONS.md and looks for the cause in what
// the documented command prints.

namespace {

void expectLine(const std::string &story, const std::string &pattern)
{
    cr_expect_neq(story.find(pattern), std::string::npos, "no \"%s\" in:\n%s", pattern.c_str(),
                  story.c_str());
}

} // namespace

// Guards against a refusal whose reason cannot be found from the request's id.
Test(explain, refusedRequest)
{
    Deployment world(22100, 2);
    // The nodes share the quota once they have heard each other.
    world.run(1500ms);
    std::string refused;
    for (int i = 0; i < 20 && refused.empty(); ++i) {
        const std::string id = "q-" + std::to_string(i);
        if (world.request(1, "GET", "/read/x", id, "key-small").status == 429)
            refused = id;
    }
    cr_assert_not(refused.empty());
    world.run(300ms);
    const std::string story = world.explain(refused);
    expectLine(story, "request.quota_exceeded");
    expectLine(story, "cost=1.0");
    expectLine(story, "request.finished");
    expectLine(story, "account=small");
    expectLine(story, "status 429, the account's quota is used up");
    cr_expect_eq(story.find("request.sent"), std::string::npos, "%s", story.c_str());
}

// Guards against a broken stream of which nobody can tell how far it came and who broke it.
Test(explain, streamThatWasCut)
{
    Deployment world(22150, 1);
    world.setFault(EmulatedEngine::Fault::CutStream, 1);
    world.request(1, "POST", "/stream/x", "cut-1");
    world.run(300ms);
    const std::string story = world.explain("cut-1");
    expectLine(story, "request.sent");
    expectLine(story, "reason=\"connection closed\"");
    expectLine(story, "no final answer, the engine broke off the stream; engines: i-");

    // With resuming allowed, another engine goes on after the last whole event.
    world.setFault(EmulatedEngine::Fault::None, 0);
    for (int i = 0; i < 2; ++i)
        world.platform.engines[static_cast<std::size_t>(i)]->setFault(
                EmulatedEngine::Fault::CutStream, 1000);
    std::string resumed;
    for (int i = 0; i < 20 && resumed.find("send=2") == std::string::npos; ++i) {
        const std::string id = "again-" + std::to_string(i);
        world.request(1, "POST", "/stream/again/x", id);
        world.run(300ms);
        resumed = world.explain(id);
    }
    expectLine(resumed, "send=2");
    expectLine(resumed, "after=2");
    expectLine(resumed, "status 200, complete");
}

// Guards against an unknown outcome that looks like a request that never ran.
Test(explain, requestThatMayHaveRun)
{
    Deployment world(22200, 1);
    world.setFault(EmulatedEngine::Fault::Silent, 1);
    cr_expect_eq(world.request(1, "POST", "/book/x", "book-1").status, 504U);
    world.run(300ms);
    const std::string story = world.explain("book-1");
    expectLine(story, "send=1");
    expectLine(story, "sends=1");
    expectLine(story, "status 504, the engine did not answer in time; engines: i-");
    cr_expect_eq(world.runs("book-1"), 1);
}

// Guards against exit codes that hide an unknown request, a missing log or a broken settings file.
Test(explain, exitCodesTellWhatIsMissing)
{
    Deployment world(22250, 1);
    const std::string output = world.logFile(1) + ".out";
    const std::string program = SESAMEPROXY_BINARY;
    cr_expect_eq(runCommand({program, "explain", "nobody", world.logFile(1)}, output, 5000), 1);
    cr_expect_eq(runCommand({program, "explain", "nobody", "/nonexistent"}, output, 5000), 2);
    cr_expect_eq(runCommand({program, "explain", "nobody"}, output, 5000), 2);
    const std::string settings = world.settingsFile(1);
    cr_expect_eq(runCommand({program, "check", settings}, output, 5000), 0);
    const std::string broken = settings + ".broken.yaml";
    writeFile(broken, "nodeName: 3\nlisten: []\n");
    cr_expect_eq(runCommand({program, "check", broken}, output, 5000), 2);
    cr_expect_neq(readFile(output).find("listen"), std::string::npos);
}
