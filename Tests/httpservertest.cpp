#include "Adapter/sesameadapter.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <string>

using namespace sesame;

namespace {

Endpoint testAddress()
{
    constexpr int firstPort = 21'000;
    constexpr int ports = 8'000;
    return {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(firstPort + getpid() % ports)};
}

BackendReply callServer(const HttpServer::Handler &handler)
{
    const Endpoint address = testAddress();
    const auto server = HttpServer::start({.address = address}, handler);
    cr_assert(server.has_value());
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(address.port) + "/";
    return callBackend(call);
}

} // namespace

// Guards against an error response without a body that the client receives with status 200.
Test(httpserver, emptyBodyKeepsTheStatus)
{
    const BackendReply answer = callServer([](const HttpRequest &) {
        HttpResponse response;
        response.status = 409;
        return response;
    });
    cr_expect(answer.status == CallStatus::Replied);
    cr_expect_eq(answer.reply.status, 409);
}

// Guards against a connection closed by the server that counts as a complete reply.
Test(httpserver, abortedResponseIsLost)
{
    const BackendReply answer = callServer([](const HttpRequest &) {
        HttpResponse response;
        response.abortsConnection = true;
        return response;
    });
    cr_expect(answer.status == CallStatus::Lost);
}
