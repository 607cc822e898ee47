#include "Adapter/json.h"
#include "support/printfigure.h"
#include "support/seededrun.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <random>

using namespace sesame;
using namespace sesame::test;

namespace {

enum class Fault {
    ReclaimZone,
    KillNode,
    FreezeNode,
    StopNode,
    KillEngine,
    StoreOutage,
    LoseStoreAnswers,
    DropCalls
};
constexpr int faultCount = 8;
constexpr std::int64_t chatRequests = 48;
constexpr int endTimeoutMillis = 120'000;

constexpr const char *faultNames[faultCount] {"zone reclaimed",     "node killed",   "node frozen",
                                              "node stopped",       "engine killed", "store outage",
                                              "store answers lost", "calls dropped"};

void post(const std::string &url, const std::string &body)
{
    cr_assert_eq(callUrl("POST", url, body).status, 200, "%s", url.c_str());
}

/*!
    Injects faults into a deployment under load. Node 0 and its zone are never affected, so that the
    callers always have a working entry address.
*/
class FaultInjector
{
public:
    FaultInjector(TestDeployment &deployment, std::uint64_t seed)
        : m_deployment(deployment), m_random(seed)
    {
    }

    Fault inject()
    {
        const auto fault = static_cast<Fault>(pickIndex(faultCount));
        const auto &node = m_deployment.nodes()[1 + pickIndex(m_deployment.nodes().size() - 1)];
        switch (fault) {
        case Fault::ReclaimZone:
            reclaimZone(node.zone == m_deployment.nodes()[0].zone ? "pathum-b" : node.zone);
            break;
        case Fault::KillNode:
            m_deployment.processes().kill(node.pid);
            break;
        case Fault::FreezeNode:
            m_deployment.processes().signal(node.pid, SIGSTOP);
            m_frozen.push_back(node.pid);
            break;
        case Fault::StopNode:
            m_deployment.processes().signal(node.pid, SIGTERM);
            break;
        case Fault::KillEngine:
            m_deployment.processes().kill(
                    m_deployment.engines()[pickIndex(m_deployment.engines().size())].pid);
            break;
        case Fault::StoreOutage:
            post(m_deployment.storeUrl() + "/control", R"({"outage":true})");
            break;
        case Fault::LoseStoreAnswers:
            post(m_deployment.storeUrl() + "/control", R"({"lose_answers":5})");
            break;
        case Fault::DropCalls:
            post(m_deployment.applications()[0].url + "/control",
                 R"({"drop_before":3,"drop_after":3})");
            break;
        }
        return fault;
    }

    void endFaults()
    {
        post(m_deployment.storeUrl() + "/control", R"({"outage":false,"lose_answers":0})");
        for (const pid_t pid : m_frozen)
            m_deployment.processes().signal(pid, SIGCONT);
        for (const auto &engine : m_deployment.engines()) {
            if (engine.zone == m_reclaimedZone)
                m_deployment.processes().kill(engine.pid);
        }
    }

private:
    std::size_t pickIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void reclaimZone(const std::string &zone)
    {
        m_reclaimedZone = zone;
        post(m_deployment.cloudUrl() + "/control/notice",
             R"({"zone":")" + zone + R"(","seconds":3})");
    }

    TestDeployment &m_deployment;
    std::mt19937_64 m_random;
    std::vector<pid_t> m_frozen;
    std::string m_reclaimedZone;
};

JsonPtr readReport(const std::string &log)
{
    const std::string text = readFile(log);
    return parseJson(text.substr(std::min(text.find('{'), text.size())));
}

/*!
    Returns a description of the errors in the chat answers, or an empty string.
*/
std::string checkChat(const std::string &log)
{
    const JsonPtr report = readReport(log);
    const std::int64_t complete = jsonInteger(json_object_get(report.get(), "outcomes"),
                                              "complete");
    if (jsonInteger(report.get(), "wrong_answers", -1) != 0 || complete != chatRequests)
        return "chat answers are wrong or missing: " + readFile(log);
    return {};
}

/*!
    Returns a description of the errors in the dispatches, or an empty string.
*/
std::string checkDispatches(const TestDeployment &deployment, const std::string &log)
{
    std::int64_t executed = 0;
    for (const auto &[key, n] : deployment.countExecutions()) {
        if (n > 1)
            return key + " ran " + std::to_string(n) + " times";
        executed += n;
    }
    const JsonPtr report = readReport(log);
    const json_t *outcomes = json_object_get(report.get(), "outcomes");
    const std::int64_t complete = jsonInteger(outcomes, "complete");
    printFigure("  %ld executed, %ld complete, %ld unknown, %ld not run", executed, complete,
                jsonInteger(outcomes, "unknown"), jsonInteger(outcomes, "not_run"));
    if (executed == 0 || complete > executed)
        return "more dispatches complete than ran: " + readFile(log);
    return {};
}

/*!
    Injects two faults that \a seed selects at the same time, under chat and dispatch load. Returns
    a description of the errors, or an empty string.
*/
std::string runWithSeed(std::uint64_t seed)
{
    TestDeployment deployment({.nodes = 7, .engines = 8, .applications = 2, .tokenMillis = 10.0});
    const std::string chatLog = deployment.logFile("chat");
    const std::string appLog = deployment.logFile("app");
    const pid_t chat = deployment.processes().start(
            deployment.callerCommand("chat",
                                     {"--model=loft-assessment", "--max_tokens=200",
                                      "--concurrency=16",
                                      "--requests=" + std::to_string(chatRequests), "--json"}),
            chatLog);
    const pid_t app = deployment.processes().start(
            deployment.callerCommand("app",
                                     {"--path=/orders/dispatch", "--concurrency=4", "--rate=30",
                                      "--duration=7", "--json"}),
            appLog);
    sleepMillis(1500);
    FaultInjector injector(deployment, seed);
    const auto first = static_cast<std::size_t>(injector.inject());
    const auto second = static_cast<std::size_t>(injector.inject());
    printFigure("seed %lu: %s and %s", seed, faultNames[first], faultNames[second]);
    sleepMillis(4000);
    injector.endFaults();
    deployment.processes().waitForExit(chat, endTimeoutMillis);
    deployment.processes().waitForExit(app, endTimeoutMillis);
    const std::string chatError = checkChat(chatLog);
    return chatError.empty() ? checkDispatches(deployment, appLog) : chatError;
}

} // namespace

// Guards against guarantees that hold under each single fault but not under two at the same time.
Test(combinedfaults, twoFaultsAtOnce)
{
    cr_expect_eq(runSeeds({1, 2, 3, 9445990084146141087ULL}, runWithSeed), 0);
}
