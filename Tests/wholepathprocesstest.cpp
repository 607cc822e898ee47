#include "Adapter/json.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace sesame::test;

namespace {

int runCaller(TestDeployment &deployment, const std::string &mode, std::vector<std::string> extra)
{
    return runCommand(deployment.callerCommand(mode, std::move(extra)),
                      deployment.logFile("caller"), 60'000);
}

std::string chatBody(const std::string &model)
{
    return R"({"model":")" + model
            + R"(","max_tokens":8,"messages":[{"role":"user","content":"short note"}]})";
}

} // namespace

// Guards against a break anywhere on the way of a request through separate processes.
Test(wholepath, servesEveryKindOfRequest)
{
    TestDeployment deployment;
    cr_expect_eq(runCaller(deployment, "chat", {"--model=loft-assessment", "--max_tokens=40"}), 0);
    cr_expect_eq(runCaller(deployment, "chat", {"--model=fibre-check", "--stream=false"}), 0);
    cr_expect_eq(runCaller(deployment, "app", {"--path=/orders/dispatch", "--idempotency_key=k-1"}),
                 0);
    cr_expect_eq(runCaller(deployment, "app", {"--path=/orders/dispatch", "--idempotency_key=k-1"}),
                 0);
    cr_expect_eq(runCaller(deployment, "app", {"--method=GET", "--path=/orders/stock/kapok"}), 0);
    cr_expect_eq(deployment.countExecutions()["hotel~k-1"], 1);
}

// Guards against a refusal that has the wrong code, or that claims more than "not run".
Test(wholepath, refusesBadInputWithItsCode)
{
    TestDeployment deployment({.nodes = 1, .engines = 1, .applications = 1});
    const std::string url = deployment.nodes()[0].callerUrl();
    const std::string chat = url + "/v1/chat/completions";
    const auto headers = callerHeaders();
    const std::string large(2'000'000, 'x');
    const struct
    {
        TestReply reply;
        int status;
        int code;
    } cases[] = {
            {callUrl("POST", chat, "{not json", headers), 400, 1100},
            {callUrl("POST", chat, R"({"model":"loft-assessment","messages":[]})", headers), 400,
             1100},
            {callUrl("POST", chat, large, headers), 413, 1101},
            {callUrl("POST", chat, chatBody("loft-assessment")), 401, 1102},
            {callUrl("POST", chat, chatBody("no-such-model"), headers), 404, 1103},
            {callUrl("GET", url + "/no/such/route", {}, headers), 404, 1104},
            {callUrl("POST", url + "/orders/dispatch", "{}", headers), 400, 1106},
    };
    for (const auto &it : cases) {
        cr_expect_eq(it.reply.status, it.status, "status %d for code %d", it.reply.status, it.code);
        cr_expect_eq(it.reply.code, it.code, "code %d, expected %d", it.reply.code, it.code);
        cr_expect_str_eq(it.reply.outcome.c_str(), "not_run");
    }
    cr_expect(deployment.countExecutions().empty());
    cr_expect_eq(callUrl("POST", chat, chatBody("loft-assessment"), headers).status, 200);
}

// Guards against a second execution when a key comes again with another body.
Test(wholepath, refusesKeyWithOtherBody)
{
    TestDeployment deployment({.nodes = 2, .engines = 1, .applications = 1});
    const std::string path = "/orders/dispatch";
    const auto headers = callerHeaders("reused");
    const TestReply first = callUrl("POST", deployment.nodes()[0].callerUrl() + path, "{\"n\":1}",
                                    headers);
    const TestReply second = callUrl("POST", deployment.nodes()[1].callerUrl() + path, "{\"n\":2}",
                                     headers);
    cr_expect_str_eq(first.outcome.c_str(), "complete");
    cr_expect_eq(second.code, 1107);
    cr_expect_eq(deployment.countExecutions()["hotel~reused"], 1);
}
