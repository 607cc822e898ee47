#include "Adapter/json.h"
#include "support/printfigure.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <chrono>

using namespace sesame;
using namespace sesame::test;

namespace {

constexpr std::int64_t maxSendDelayMillis = 2000;

std::int64_t wallMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::int64_t countExecutions(const TestDeployment::Backend &engine)
{
    const TestReply reply = callUrl("GET", engine.url + "/control/executions");
    const JsonPtr body = parseJson(reply.body);
    std::int64_t n = 0;
    const char *key = nullptr;
    json_t *value = nullptr;
    json_object_foreach(body.get(), key, value) n += json_integer_value(value);
    return n;
}

/*!
    Observes \a engine for \a watchMillis. Returns the time in milliseconds between \a notice and
    the last new request, or 0 if there was none.
*/
std::int64_t findLastSend(const TestDeployment::Backend &engine, std::int64_t notice,
                          int watchMillis)
{
    std::int64_t last = 0;
    std::int64_t runs = countExecutions(engine);
    for (int waited = 0; waited < watchMillis; waited += 20) {
        sleepMillis(20);
        const std::int64_t now = countExecutions(engine);
        if (now != runs)
            last = wallMillis() - notice;
        runs = now;
    }
    return last;
}

pid_t startLoad(TestDeployment &deployment, const std::string &log)
{
    return deployment.processes().start(
            deployment.callerCommand("chat",
                                     {"--model=loft-assessment", "--max_tokens=5",
                                      "--concurrency=12", "--duration=9", "--json"}),
            log);
}

void giveNotice(const TestDeployment &deployment, const std::string &instance)
{
    const std::string body = R"({"instance":")" + instance + R"(","seconds":20})";
    cr_assert_eq(callUrl("POST", deployment.cloudUrl() + "/control/notice", body).status, 200);
}

} // namespace

// Guards against new requests to an engine after its reclaim notice, while the instance list lags
// and the store is down.
Test(backendleave, noNewWorkAfterNotice)
{
    TestDeployment deployment({.nodes = 7, .engines = 4, .applications = 1});
    cr_assert_eq(
            callUrl("POST", deployment.cloudUrl() + "/control", R"({"list_lag_ms":30000})").status,
            200);
    cr_assert_eq(callUrl("POST", deployment.storeUrl() + "/control", R"({"outage":true})").status,
                 200);
    const std::string log = deployment.logFile("load");
    const pid_t load = startLoad(deployment, log);
    sleepMillis(2000);
    cr_assert_gt(countExecutions(deployment.engines()[1]), 0);
    const std::int64_t notice = wallMillis();
    giveNotice(deployment, deployment.engines()[1].id);
    const std::int64_t last = findLastSend(deployment.engines()[1], notice, 5000);
    printFigure("last send %ld ms after the notice", last);
    cr_expect_leq(last, maxSendDelayMillis);
    cr_expect_eq(deployment.processes().waitForExit(load, 30'000), 0, "%s", readFile(log).c_str());
}
