#include "Adapter/json.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

using namespace sesame;
using namespace sesame::test;

namespace {

int runCaller(TestDeployment &deployment, const std::string &mode, std::vector<std::string> extra)
{
    return runCommand(deployment.callerCommand(mode, std::move(extra)),
                      deployment.logFile("caller"), 60'000);
}

std::vector<std::pair<std::string, std::string>> makeHeaders(const std::string &key)
{
    return {{"Authorization", "Bearer " + key}};
}

std::string makeChatBody(const std::string &model)
{
    return R"({"model":")" + model
            + R"(","max_tokens":8,"messages":[{"role":"user","content":"short note"}]})";
}

} // namespace

// Guards against a request that cannot be served end to end through separate processes.
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

// Guards against a refusal that has the wrong result code, or an outcome other than "not run".
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
            {callUrl("POST", chat, makeChatBody("loft-assessment")), 401, 1102},
            {callUrl("POST", chat, makeChatBody("no-such-model"), headers), 404, 1103},
            {callUrl("GET", url + "/no/such/route", {}, headers), 404, 1104},
            {callUrl("POST", url + "/orders/dispatch", "{}", headers), 400, 1106},
    };
    for (const auto &it : cases) {
        cr_expect_eq(it.reply.status, it.status, "status %d for code %d", it.reply.status, it.code);
        cr_expect_eq(it.reply.code, it.code, "code %d, expected %d", it.reply.code, it.code);
        cr_expect_str_eq(it.reply.outcome.c_str(), "not_run");
    }
    cr_expect(deployment.countExecutions().empty());
    cr_expect_eq(callUrl("POST", chat, makeChatBody("loft-assessment"), headers).status, 200);
}

// Guards against a second execution when an idempotency key is reused with another body.
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

// Guards against an account that uses a rank it was not granted or resumes another account's
// request.
Test(wholepath, keepsAccountsApart)
{
    TestDeployment deployment({.nodes = 1, .engines = 1, .applications = 1});
    const std::string url = deployment.nodes()[0].callerUrl();
    const std::string chat = url + "/v1/chat/completions";
    auto headers = makeHeaders("nunkapok-bedding-key");
    headers.emplace_back("X-Rank", "urgent");
    cr_expect_eq(callUrl("POST", chat, makeChatBody("quick-question"), headers).code, 1105);
    const std::string streamed = R"({"model":"loft-assessment","max_tokens":4,"stream":true,)"
                                 R"("messages":[{"role":"user","content":"short note"}]})";
    const TestReply own = callUrl("POST", chat, streamed, callerHeaders());
    const std::size_t begin = own.body.find("\"resume_token\":\"");
    cr_assert_neq(begin, std::string::npos, "%s", own.body.c_str());
    const std::string rest = own.body.substr(begin + 16);
    const std::string path = "/v1/requests/any?from=0&token=" + rest.substr(0, rest.find('"'));
    cr_expect_eq(callUrl("GET", url + path, {}, makeHeaders("nunkapok-bedding-key")).code, 1108);
    cr_expect_eq(callUrl("GET", url + path + "x", {}, callerHeaders()).code, 1108);
    const TestReply again = callUrl("GET", url + path, {}, callerHeaders());
    cr_expect_neq(again.body.find("\"outcome\":\"complete\""), std::string::npos, "%s",
                  again.body.c_str());
}

// Guards against an engine that continues a request after its caller disconnected although
// cancel_on_disconnect is set, and against a cancellation when it is not set.
Test(wholepath, cancelsOnDisconnectOnlyIfConfigured)
{
    TestDeployment deployment({.nodes = 1, .engines = 1, .applications = 1});
    const std::string chat = deployment.nodes()[0].callerUrl() + "/v1/chat/completions";
    const std::string body = R"({"model":"loft-assessment","max_tokens":2000,"stream":true,)"
                             R"("messages":[{"role":"user","content":"long note"}]})";
    const auto countRunning = [&deployment] {
        const TestReply load = callUrl("GET", deployment.engines()[0].url + "/v1/load");
        return jsonInteger(parseJson(load.body).get(), "running", -1);
    };
    callUrl("POST", chat, body, callerHeaders(), 500);
    sleepMillis(2500);
    cr_expect_eq(countRunning(), 1);
    const std::string changed = deployment.logFile("cancel") + ".toml";
    std::string text = readFile(deployment.fleetFile());
    const std::string off = "cancel_on_disconnect = false";
    text.replace(text.find(off), off.size(), "cancel_on_disconnect = true");
    writeFile(changed, text);
    cr_assert_eq(deployment.apply(changed, {"--wait_seconds=10"}), 0);
    callUrl("POST", chat, body, callerHeaders(), 500);
    sleepMillis(2500);
    cr_expect_eq(countRunning(), 1, "only the first request still runs");
}

// Guards against a node that stops serving when callers send oversized headers or incomplete
// requests.
Test(wholepath, survivesHeaderFloodsAndSlowSenders)
{
    TestDeployment deployment({.nodes = 1, .engines = 1, .applications = 1});
    const TestDeployment::Node &node = deployment.nodes()[0];
    std::vector<int> senders;
    for (int n = 0; n < 100; ++n) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(8100);
        inet_pton(AF_INET, node.host.c_str(), &address.sin_addr);
        cr_assert_eq(connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
        const std::string half = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConte";
        cr_assert_gt(send(fd, half.data(), half.size(), MSG_NOSIGNAL), 0);
        senders.push_back(fd);
    }
    auto headers = callerHeaders();
    headers.emplace_back("X-Filler", std::string(200'000, 'f'));
    const TestReply flooded = callUrl("POST", node.callerUrl() + "/v1/chat/completions", "{}",
                                      headers);
    cr_expect_neq(flooded.status, 200);
    const TestReply normal = callUrl("POST", node.callerUrl() + "/v1/chat/completions",
                                     makeChatBody("loft-assessment"), callerHeaders());
    cr_expect_eq(normal.status, 200);
    for (const int fd : senders)
        close(fd);
}

// Guards against a burn report that omits requests or ranks.
Test(wholepath, reportsBurnOfAllNodes)
{
    TestDeployment deployment({.nodes = 2, .engines = 1, .applications = 1});
    for (const auto &node : deployment.nodes()) {
        callUrl("POST", node.callerUrl() + "/v1/chat/completions", makeChatBody("loft-assessment"),
                callerHeaders());
        callUrl("GET", node.callerUrl() + "/orders/stock/kapok", {}, callerHeaders());
    }
    const std::string log = deployment.logFile("burn");
    cr_assert_eq(runCommand({SESAMEPROXY_BINARY, "report", "burn",
                             "--nodes=" + deployment.operatorList(), "--json"},
                            log, 5000),
                 0);
    const std::string text = readFile(log);
    cr_expect_neq(text.find("\"loft-assessment\""), std::string::npos, "%s", text.c_str());
    cr_expect_neq(text.find("\"/orders/stock\""), std::string::npos, "%s", text.c_str());
    cr_expect_neq(text.find("\"total\":2"), std::string::npos, "%s", text.c_str());
}

// Guards against a node that starts with settings that `check` rejects.
Test(wholepath, refusesInvalidSettings)
{
    const std::string log = "/tmp/sesame-invalid-settings-" + std::to_string(getpid());
    writeFile(log + ".toml", "node = \"entry-1\"\nzone = 7\nno_such_key = true\n");
    cr_expect_eq(runCommand({SESAMEPROXY_BINARY, "check", log + ".toml"}, log, 5000), 2);
    const std::string text = readFile(log);
    cr_expect_neq(text.find("no_such_key"), std::string::npos, "%s", text.c_str());
    cr_expect_neq(text.find("zone"), std::string::npos, "%s", text.c_str());
    cr_expect_eq(runCommand({SESAMEPROXY_BINARY, "serve", "--settings", log + ".toml"}, log, 5000),
                 2);
    std::remove(log.c_str());
    std::remove((log + ".toml").c_str());
}
