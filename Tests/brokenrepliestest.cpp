#include "Adapter/sesameadapter.h"
#include "Http/httpcaller.h"
#include "platformdutyclient.h"
#include "platformstoreclient.h"
#include "support/brokenserver.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

//! More than the buffers of both sockets hold.
constexpr std::size_t uploadBytes = 1U << 20U;

/*!
    Calls of the clients that a node of the platform has, on connections that are kept.
*/
struct PlatformCalls
{
    explicit PlatformCalls(const Tcp::endpoint &address)
        : store(context, address), duties(context, address, "n"), caller(context, address)
    {
    }

    /*!
        Makes one call of about \a bytes with each client and waits for the results.
    */
    void run(std::size_t bytes)
    {
        int left = 3;
        const std::string upload(bytes, 'u');
        const JsonPtr content(json_pack("{s:s}", "text", upload.c_str()));
        store.replace("kind", "name", content.get(), 1, [&](const StoreWriteResult &result) {
            storeStatus = result.status;
            --left;
        });
        duties.reportUsage(1, {{upload, 1}}, 1, [&](DutyCallStatus status) {
            dutyStatus = status;
            --left;
        });
        caller.call("POST", "/", {}, upload, 2s, [&](const CallResponse &result) {
            response = result;
            --left;
        });
        while (left > 0)
            context.run_one();
    }

    asio::io_context context;
    platform::PlatformStoreClient store;
    platform::PlatformDutyClient duties;
    HttpCaller caller;
    StoreCallStatus storeStatus = StoreCallStatus::Refused;
    DutyCallStatus dutyStatus = DutyCallStatus::Failed;
    CallResponse response;
};

} // namespace

// Guards against a broken reply of a backend server that counts as one.
Test(brokenreplies, backendCallsAreLost)
{
    BrokenServer server;
    for (const BrokenAnswer &answer : makeBrokenAnswers("Content-Type: a/b\r\n", "data: 1\n\n")) {
        server.setAnswer(answer.bytes, answer.end);
        const HttpCall call {.method = "POST",
                             .url = server.url() + "/",
                             .body = std::string(uploadBytes, 'u'),
                             .timeout = 2s};
        cr_expect(callBackend(call).status == CallStatus::Lost, "%s", answer.name.c_str());
        std::string received;
        const BackendReply reply = streamFromBackend(call, [&](std::string_view part) {
            received += part;
            return true;
        });
        cr_expect(reply.status == CallStatus::Lost, "%s", answer.name.c_str());
        cr_expect(answer.end == RawEngine::End::Reset || received.empty(), "%s",
                  answer.name.c_str());
    }
}

// Guards against a broken answer of the object service that counts as the result of a call.
Test(brokenreplies, objectServiceResultsAreUnknown)
{
    BrokenServer server;
    const ObjectServiceClient client({.url = server.url()});
    for (const BrokenAnswer &answer : makeBrokenAnswers("X-Version: 7\r\n", "value")) {
        server.setAnswer(answer.bytes, answer.end);
        cr_expect(client.writeIf("key", std::string(uploadBytes, 'u'), 6).status
                          == StoreStatus::AnswerLost,
                  "%s", answer.name.c_str());
        if (answer.end != RawEngine::End::Reset)
            cr_expect(client.read("key").status == StoreStatus::Unavailable, "%s",
                      answer.name.c_str());
    }
}

// Guards against a broken answer of the cloud API that counts as the result of a call.
Test(brokenreplies, cloudResultsAreUnknown)
{
    BrokenServer server;
    const CloudClient client(server.url());
    const std::string body = R"({"id":"i-1","instances":[],"notices":[],"sequence":1})";
    for (const BrokenAnswer &answer : makeBrokenAnswers("", body)) {
        server.setAnswer(answer.bytes, answer.end);
        const StartRequest order {.clientToken = std::string(uploadBytes, 't')};
        cr_expect(client.start(order).status == StartStatus::AnswerLost, "%s", answer.name.c_str());
        if (answer.end == RawEngine::End::Reset)
            continue;
        cr_expect_not(client.fetchInstances().has_value(), "%s", answer.name.c_str());
        cr_expect_not(client.fetchNotices(0).has_value(), "%s", answer.name.c_str());
        cr_expect_not(client.stop("i-1"), "%s", answer.name.c_str());
    }
}

// Guards against a broken answer of the platform's store, of its API for the duties or of another
// node that counts as the result of a call, on new and on kept connections.
Test(brokenreplies, platformResultsAreUnknown)
{
    BrokenServer server;
    const std::string body = R"({"asOf":3,"entries":[],"events":[]})";
    for (const BrokenAnswer &answer : makeBrokenAnswers("Content-Type: a/b\r\n", body)) {
        for (const bool isKept : {false, true}) {
            PlatformCalls calls(server.address());
            const int connections = server.usedConnectionCount();
            if (isKept) {
                server.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                                         + "\r\n\r\n" + body,
                                 RawEngine::End::Keep);
                calls.run(1);
                cr_expect(calls.storeStatus == StoreCallStatus::Ok);
                cr_expect(calls.dutyStatus == DutyCallStatus::Accepted);
                cr_expect_eq(calls.response.status, 200U);
            }
            server.setAnswer(answer.bytes, answer.end);
            calls.run(uploadBytes);
            cr_expect(calls.storeStatus == StoreCallStatus::Unknown, "%s", answer.name.c_str());
            cr_expect(calls.dutyStatus == DutyCallStatus::Unknown, "%s", answer.name.c_str());
            cr_expect_eq(calls.response.status, 0U, "%s", answer.name.c_str());
            cr_expect(calls.response.wasSent);
            cr_expect_eq(server.usedConnectionCount() - connections, 3, "%s", answer.name.c_str());
        }
    }
}
