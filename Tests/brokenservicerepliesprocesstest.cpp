#include "support/brokenserver.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace sesame::test;

// Guards against a broken answer of a service that reaches a caller of the project's own interface
// as its answer, or that is recorded as the outcome of a call which must run at most once.
Test(brokenservicereplies, brokenAnswersAreNotPassedOn)
{
    BrokenServer server;
    TestDeployment deployment({.nodes = 1, .engines = 1, .applications = 0});
    cr_assert_eq(callUrl("POST", deployment.cloudUrl() + "/control/instances",
                         R"({"instances":[)" + formatServiceInstance("broken", server.url()) + "]}")
                         .status,
                 200);
    const std::string callerUrl = deployment.nodes().front().callerUrl();
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    server.setAnswer(whole, RawEngine::End::Close);
    const auto readStock = [&] {
        return callUrl("GET", callerUrl + "/orders/stock/kapok", {}, callerHeaders());
    };
    for (int n = 0; n < 100 && readStock().status != 200; ++n)
        sleepMillis(100);
    cr_assert_eq(readStock().status, 200);
    // Less than the limit of the fleet file, and more than the buffers of the sockets hold.
    const std::string upload(900'000, 'u');
    for (const BrokenAnswer &answer : makeBrokenAnswers("Content-Type: a/b\r\n", "broken")) {
        server.setAnswer(answer.bytes, answer.end);
        const std::string dispatchUrl = callerUrl + "/orders/dispatch";
        const TestReply reply = callUrl("POST", dispatchUrl, upload, callerHeaders(answer.name));
        cr_expect_eq(reply.status, 500, "%s: %d", answer.name.c_str(), reply.status);
        cr_expect_str_eq(reply.outcome.c_str(), "unknown", "%s", answer.name.c_str());
        const TestReply later = callUrl("POST", dispatchUrl, upload, callerHeaders(answer.name));
        cr_expect_str_eq(later.outcome.c_str(), "unknown", "%s", answer.name.c_str());
        if (answer.end == RawEngine::End::Reset)
            continue;
        const TestReply stock = readStock();
        cr_expect_eq(stock.status, 502, "%s: %d", answer.name.c_str(), stock.status);
        cr_expect_eq(stock.body.find("broken"), std::string::npos, "%s", answer.name.c_str());
    }
    server.setAnswer(whole, RawEngine::End::Close);
    cr_expect_eq(readStock().status, 200);
}
