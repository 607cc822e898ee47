#include "support/platformdeployment.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

//! Work time of the plain engines while the node learns it, and afterwards. The later one gives
//! callers time to wait and to leave on a busy machine; twice of it is within the aim of 200 ms.
constexpr auto learnedWorkTime = 15ms;
constexpr auto workTime = 80ms;

PlatformDeploymentOptions fewSlots(bool waits)
{
    PlatformDeploymentOptions options;
    options.engineCapacity.slots = 2;
    if (waits)
        options.contracts = {"pool"};
    return options;
}

/*!
    A request on a connection of its own, which the caller can close.
*/
struct Caller
{
    Caller(PlatformDeployment &deployment, const std::string &id)
        : connection(std::make_shared<ClientConnection>(deployment.context))
    {
        connection->connect(deployment.platform.entryAddress(1), 1s, [this, id](const auto &ec) {
            cr_assert_not(ec);
            connection->send(formatRequest("POST", "/book/x",
                                           PlatformDeployment::requestFields(id, "key-large"), "b"),
                             false,
                             {.head =
                                      [this](const ResponseHead &head) {
                                          status = head.result_int();
                                          return ResponseSink::Verdict::Take;
                                      },
                              .body = [](std::string_view) {},
                              .done =
                                      [this] {
                                          isAnswered = true;
                                      },
                              .failed = [](ExchangeFailure) {}});
        });
    }
    ~Caller() { connection->close(); }

    std::shared_ptr<ClientConnection> connection;
    unsigned status = 0;
    bool isAnswered = false;
};

using Callers = std::vector<std::unique_ptr<Caller>>;

Callers startCallers(PlatformDeployment &deployment, const std::string &name, int n)
{
    Callers callers;
    for (int i = 0; i < n; ++i)
        callers.push_back(std::make_unique<Caller>(deployment, name + "-" + std::to_string(i)));
    return callers;
}

int countStatus(const Callers &callers, unsigned status)
{
    return static_cast<int>(std::count_if(callers.begin(), callers.end(), [&](const auto &caller) {
        return caller->isAnswered && caller->status == status;
    }));
}

int countAnswers(const Callers &callers)
{
    return static_cast<int>(std::count_if(callers.begin(), callers.end(), [](const auto &caller) {
        return caller->isAnswered;
    }));
}

/*!
    Lets the node observe how long requests take at the engines.
*/
void warmUp(PlatformDeployment &deployment)
{
    for (const auto &engine : deployment.platform.engines)
        engine->setWorkTime(learnedWorkTime);
    for (int i = 0; i < 5; ++i)
        cr_expect_eq(deployment.sendRequest(1, "POST", "/book/x", "w-" + std::to_string(i)).status,
                     200U);
    for (const auto &engine : deployment.platform.engines)
        engine->setWorkTime(workTime);
}

} // namespace

// Guards against refusing requests that an engine could have answered within their aim a little
// later. There are six places, and the twelve requests find them full at the same time.
Test(requestwaiting, requestsWaitForAPlace)
{
    PlatformDeployment deployment(24000, 1, fewSlots(true));
    warmUp(deployment);
    const Callers callers = startCallers(deployment, "b", 12);
    cr_expect(deployment.runUntil(
            [&] {
                return countAnswers(callers) == 12;
            },
            3s));
    cr_expect_eq(countStatus(callers, 200), 12);
    for (int i = 0; i < 12; ++i)
        cr_expect_eq(deployment.executionCount("b-" + std::to_string(i)), 1);
}

// Guards against requests that wait although the settings do not ask for it.
Test(requestwaiting, requestsAreRefusedWithoutTheContract)
{
    PlatformDeployment deployment(24100, 1, fewSlots(false));
    warmUp(deployment);
    const Callers callers = startCallers(deployment, "b", 12);
    cr_expect(deployment.runUntil(
            [&] {
                return countAnswers(callers) == 12;
            },
            3s));
    cr_expect_eq(countStatus(callers, 200), 6);
    cr_expect_eq(countStatus(callers, 503), 6);
}

// Guards against a request that is sent to an engine after its caller has left, and against a place
// in the queue that such a request keeps from others.
Test(requestwaiting, callersThatLeaveFreeTheirPlace)
{
    PlatformDeployment deployment(24200, 1, fewSlots(true));
    warmUp(deployment);
    const Callers served = startCallers(deployment, "b", 6);
    deployment.runFor(10ms);
    Callers leaving = startCallers(deployment, "gone", 4);
    deployment.runFor(15ms);
    leaving.clear();
    const Callers later = startCallers(deployment, "late", 4);
    cr_expect(deployment.runUntil(
            [&] {
                return countAnswers(served) == 6 && countAnswers(later) == 4;
            },
            3s));
    cr_expect_eq(countStatus(served, 200), 6);
    cr_expect_eq(countStatus(later, 200), 4);
    for (int i = 0; i < 4; ++i)
        cr_expect_eq(deployment.executionCount("gone-" + std::to_string(i)), 0);
}

// Guards against callers that wait for a node that stops.
Test(requestwaiting, aStoppingNodeAnswersWhatWaits)
{
    PlatformDeployment deployment(24300, 1, fewSlots(true));
    warmUp(deployment);
    const Callers callers = startCallers(deployment, "b", 10);
    deployment.runFor(20ms);
    deployment.signalNode(1, SIGTERM);
    cr_expect(deployment.runUntil(
            [&] {
                return countAnswers(callers) == 10;
            },
            1s));
    cr_expect_eq(countStatus(callers, 200), 6);
    cr_expect_eq(countStatus(callers, 503), 4);
}
