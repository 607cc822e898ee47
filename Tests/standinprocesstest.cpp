#include "Adapter/sesameadapter.h"
#include "Core/sesamecore.h"
#include "support/processgroup.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace sesame;
using namespace sesame::test;

namespace {

constexpr int callerTimeoutMillis = 20000;
// Criterion runs the tests of one program in parallel, each in its own process. Therefore each test
// uses a different loopback address.
std::string host;
std::string engineUrl;
std::string secondEngineUrl;

void useAddress(const std::string &address)
{
    host = address;
    engineUrl = "http://" + host + ":9101";
    secondEngineUrl = "http://" + host + ":9102";
}

HttpResponse makeResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

HttpCall makeCall(std::string method, std::string url, std::string body, HttpHeaders headers)
{
    HttpCall call;
    call.method = std::move(method);
    call.url = std::move(url);
    call.body = std::move(body);
    call.headers = std::move(headers);
    return call;
}

HttpReply send(const std::string &method, const std::string &url, const std::string &body = {},
               const HttpHeaders &headers = {})
{
    return callBackend(makeCall(method, url, body, headers)).reply;
}

void startEngine(ProcessGroup *processes, const std::string &port, const std::string &slots = "8")
{
    processes->start({STANDINS_BINARY, "engine", "--address=" + host + ":" + port, "--token_ms=5",
                      "--slots=" + slots},
                     "standin-engine.log");
    const std::string url = "http://" + host + ":" + port + "/v1/load";
    for (int n = 0; n < 200; ++n) {
        if (send("GET", url).status == 200)
            return;
        sleepMillis(10);
    }
    cr_assert_fail("the engine does not answer");
}

std::string makeBody(const std::string &prompt, int maxTokens, const std::string &extraFields = {})
{
    return R"({"model":"m","max_tokens":)" + std::to_string(maxTokens)
            + R"(,"messages":[{"role":"user","content":")" + prompt + "\"}]" + extraFields + "}";
}

std::string readContent(const std::string &json, const char *part)
{
    const JsonPtr body = parseJson(json);
    const json_t *choice = json_array_get(json_object_get(body.get(), "choices"), 0);
    return jsonString(json_object_get(choice, part), "content");
}

/*!
    Reads up to \a limit tokens of a stream and then drops the connection.
*/
std::string readTokens(const HttpCall &call, std::size_t limit)
{
    std::string text;
    SseParser parser;
    std::size_t n = 0;
    streamFromBackend(call, [&](std::string_view part) {
        parser.feed(part, [&](const SseEvent &event) {
            if (n == limit || event.id.empty())
                return;
            text.append(readContent(event.data, "delta"));
            ++n;
        });
        return n < limit;
    });
    return text;
}

std::vector<std::string> requestAnswerWords(const std::string &prompt, int maxTokens)
{
    const HttpReply reply = send("POST", engineUrl + "/v1/chat/completions",
                                 makeBody(prompt, maxTokens));
    std::istringstream words(readContent(reply.body, "message"));
    std::vector<std::string> answer;
    for (std::string word; words >> word;)
        answer.push_back(word + " ");
    cr_assert_eq(answer.size(), static_cast<std::size_t>(maxTokens));
    return answer;
}

std::string formatTokenEvents(const std::vector<std::string> &words, std::size_t from,
                              std::size_t to)
{
    std::string text;
    for (std::size_t n = from; n < to; ++n)
        text += "id: " + std::to_string(n) + "\ndata: {\"choices\":[{\"index\":0,\"delta\":"
                + "{\"content\":\"" + words[n] + "\"}}]}\n\n";
    return text;
}

const std::string outcomeEvent
        = "event: outcome\ndata: {\"outcome\":\"complete\",\"code\":1000}\n\ndata: [DONE]\n\n";

/*!
    Two entry addresses that answer successive requests with the responses of a script and record
    the content of each request.
*/
class ScriptedEntries
{
public:
    explicit ScriptedEntries(std::vector<HttpResponse> script) : m_script(std::move(script))
    {
        for (const std::uint16_t port : {std::uint16_t(9103), std::uint16_t(9104)}) {
            auto server = HttpServer::start({.address = {.host = host, .port = port}},
                                            [this, port](const HttpRequest &request) {
                                                return answer(request, port);
                                            });
            cr_assert(server.has_value());
            m_servers.push_back(std::move(*server));
        }
    }

    int runCaller(int maxTokens)
    {
        return runCommand({STANDINS_BINARY, "caller", "chat", "--entries=http://" + host + ":9103",
                           "--request_id=r1", "--key=k", "--prompt=hello",
                           "--max_tokens=" + std::to_string(maxTokens), "--deadline=10"},
                          "standin-caller.log", callerTimeoutMillis);
    }

    std::vector<std::string> requests; //!< Read after runCaller() returned.

private:
    HttpResponse answer(const HttpRequest &request, std::uint16_t port)
    {
        if (request.path == "/v1/entries") {
            const std::string base = R"({"address":"http://)" + host;
            return makeResponse(200,
                                R"({"ttl_seconds":10,"entries":[)" + base + R"(:9103","weight":1},)"
                                        + base + R"(:9104","weight":1}]})");
        }
        std::string text = request.method + " " + request.path + " "
                + request.query("from").value_or("-") + " " + request.query("token").value_or("-")
                + " " + request.header("X-Resume-From").value_or("-") + " "
                + request.header("X-Request-Id").value_or("-");
        const JsonPtr body = parseJson(request.body);
        if (jsonBool(body.get(), "continue_final_message"))
            text += " "
                    + jsonString(json_array_get(json_object_get(body.get(), "messages"), 1),
                                 "content");
        requests.push_back(std::move(text));
        requestPorts.push_back(port);
        return requests.size() <= m_script.size() ? m_script[requests.size() - 1]
                                                  : makeResponse(500, {});
    }

public:
    std::vector<std::uint16_t> requestPorts;

private:
    std::vector<HttpResponse> m_script;
    std::vector<HttpServer> m_servers;
};

} // namespace

// Guards against a caller tool that continues at a wrong token: a resume by token, a move to the
// named entry and a repeated request with the received text must all continue at the next token.
Test(standins, callerResumesAndSendsAgain)
{
    useAddress("127.0.77.1");
    ProcessGroup processes;
    startEngine(&processes, "9101");
    const std::vector<std::string> words = requestAnswerWords("hello", 8);
    const std::string accepted
            = "event: accepted\ndata: {\"request_id\":\"r1\",\"resume_token\":\"t";
    const std::string continueAtEvent = "event: continue_at\ndata: {\"address\":\"http://" + host
            + ":9103\",\"resume_token\":\"t2\"}\n\n";
    ScriptedEntries entries(
            {makeResponse(200, accepted + "1\"}\n\n" + formatTokenEvents(words, 0, 3)),
             makeResponse(200, formatTokenEvents(words, 3, 5) + continueAtEvent),
             makeResponse(404, R"({"outcome":"not_run","code":1109})"),
             makeResponse(200,
                          accepted + "3\"}\n\n" + formatTokenEvents(words, 5, 8) + outcomeEvent)});
    cr_expect_eq(entries.runCaller(8), 0);
    const std::string text = words[0] + words[1] + words[2] + words[3] + words[4];
    const std::vector<std::string> expected {
            "POST /v1/chat/completions - - - r1", "GET /v1/requests/r1 3 t1 - r1",
            "GET /v1/requests/r1 5 t2 - r1", "POST /v1/chat/completions - - 5 r1 " + text};
    cr_assert_eq(entries.requests.size(), expected.size());
    for (std::size_t n = 0; n < expected.size(); ++n)
        cr_expect(entries.requests[n] == expected[n], "%s", entries.requests[n].c_str());
    cr_expect_neq(entries.requestPorts[0], entries.requestPorts[1]);
    cr_expect_eq(entries.requestPorts[2], 9103);
}

// Guards against a caller tool that accepts wrong answers, because every check that uses the tool
// would then be ineffective.
Test(standins, callerFindsWrongAnswers)
{
    useAddress("127.0.77.2");
    ProcessGroup processes;
    startEngine(&processes, "9101");
    const std::vector<std::string> words = requestAnswerWords("hello", 4);
    std::vector<std::string> wrong = words;
    wrong[2] = "other ";
    const std::string accepted
            = "event: accepted\ndata: {\"request_id\":\"r1\",\"resume_token\":\"t\"}\n\n";
    const std::vector<std::string> bodies {
            accepted + formatTokenEvents(wrong, 0, 4) + outcomeEvent,
            accepted + formatTokenEvents(words, 0, 3) + outcomeEvent,
            accepted + formatTokenEvents(words, 0, 2) + formatTokenEvents(words, 1, 4)
                    + outcomeEvent,
            accepted + formatTokenEvents(words, 0, 1) + formatTokenEvents(words, 2, 4)
                    + outcomeEvent,
            "event: accepted\ndata: {\"request_id\":\"r2\"}\n\n" + formatTokenEvents(words, 0, 4)
                    + outcomeEvent,
    };
    for (const std::string &body : bodies) {
        ScriptedEntries entries({makeResponse(200, body)});
        cr_expect_eq(entries.runCaller(4), 1, "%s", body.c_str());
    }
    ScriptedEntries entries(
            {makeResponse(200, accepted + formatTokenEvents(words, 0, 4) + outcomeEvent)});
    cr_expect_eq(entries.runCaller(4), 0);
}

// Guards against a transfer of engine state that repeats, loses or recomputes tokens.
Test(standins, engineStateMovesWithoutPrefill)
{
    useAddress("127.0.77.3");
    ProcessGroup processes;
    startEngine(&processes, "9101");
    startEngine(&processes, "9102");
    std::string expected;
    for (const std::string &word : requestAnswerWords("hello", 500))
        expected += word;
    const HttpCall call = makeCall("POST", engineUrl + "/v1/chat/completions",
                                   makeBody("hello", 500, R"(,"stream":true,"keep_seconds":5)"),
                                   {{"X-Request-Id", "r1"}, {"X-Attempt", "1"}});
    const std::string begin = readTokens(call, 20);
    const HttpReply state = send("POST", engineUrl + "/v1/kv/export?id=r1&attempt=1");
    cr_assert_eq(state.status, 200);
    const HttpReply imported = send("POST", secondEngineUrl + "/v1/kv/import?id=r1&attempt=2",
                                    state.body);
    cr_assert_eq(imported.status, 200);
    const std::string stream = secondEngineUrl + "/v1/streams/r1?from=20&attempt=2";
    const std::string rest = readTokens(makeCall("GET", stream, {}, {}), 500);
    cr_expect(begin + rest == expected);
    const JsonPtr counts = parseJson(send("GET", secondEngineUrl + "/control/executions").body);
    cr_expect_eq(jsonInteger(counts.get(), "prefilled_tokens", -1), 0);
    cr_expect_eq(json_object_size(json_object_get(counts.get(), "executions")), 0U);
}

// Guards against a cancellation that reports "not started" for a running request.
Test(standins, engineCancelsBeforeStart)
{
    useAddress("127.0.77.4");
    ProcessGroup processes;
    startEngine(&processes, "9101", "1");
    const std::string extraFields = R"(,"stream":true,"keep_seconds":5)";
    const auto open = [&extraFields](const std::string &id, std::size_t tokens, int millis) {
        HttpCall call = makeCall("POST", engineUrl + "/v1/chat/completions",
                                 makeBody("hello", 2000, extraFields), {{"X-Request-Id", id}});
        call.timeout = std::chrono::milliseconds(millis);
        readTokens(call, tokens);
    };
    open("first", 1, 5000);
    open("second", 1, 100);
    const std::string started = R"({"started":true})";
    const std::string notStarted = R"({"started":false})";
    cr_expect(send("DELETE", engineUrl + "/v1/streams/second").body == notStarted);
    cr_expect(send("DELETE", engineUrl + "/v1/streams/first").body == started);
    cr_expect(send("DELETE", engineUrl + "/v1/streams/third").body == notStarted);
    const HttpReply third = send("POST", engineUrl + "/v1/chat/completions", makeBody("hello", 1),
                                 {{"X-Request-Id", "third"}});
    cr_expect_eq(third.status, 409);
    const std::string counts = send("GET", engineUrl + "/control/executions").body;
    cr_expect(counts.find(R"({"executions":{"first":1})") == 0, "%s", counts.c_str());
}
