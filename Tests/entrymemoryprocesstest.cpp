// A node of the project's own interface stays within its memory limit, whatever its clients send or
// do not read, and still answers an ordinary request while they stay connected.

#include "support/hostileclients.h"
#include "support/processusage.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

constexpr int memoryMb = 120;
constexpr long kibPerMb = 1024;
//! Larger bodies are rejected by their size; up to this size, the node reads them.
constexpr std::size_t readBytes = 4U << 20U;
constexpr const char *dispatchPath = "/orders/dispatch";
constexpr std::uint16_t callerPort = 8100;

TestDeploymentOptions oneNode()
{
    return {.nodes = 1,
            .engines = 1,
            .applications = 1,
            .nodeSettings = "memory_limit_mb = " + std::to_string(memoryMb) + "\n"};
}

std::string formatHead(const std::string &framing)
{
    return std::string("POST ") + dispatchPath
            + " HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer nunkapok-hotel-key\r\n"
            + framing + "\r\n\r\n";
}

/*!
    Runs \a clients until they have sent what they have to send, and a second more. Checks the
   node's memory and that it answers an ordinary request.
*/
void checkNode(TestDeployment &deployment, asio::io_context &context, const HostileClients &clients)
{
    const TestDeployment::Node &node = deployment.nodes().front();
    long unread = 0;
    const auto runOnce = [&] {
        context.restart();
        context.run_for(20ms);
        unread = std::max(unread, unreadKib(callerPort));
    };
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!clients.haveSent() && std::chrono::steady_clock::now() < end)
        runOnce();
    for (int i = 0; i < 50; ++i)
        runOnce();
    const TestReply reply = callUrl("POST", node.callerUrl() + dispatchPath, "{}",
                                    callerHeaders("ordinary"));
    const long peak = peakMemoryKib(node.pid);
    std::fprintf(stderr, "peak %ld KiB, unread %ld KiB, status %d\n", peak, unread, reply.status);
    cr_expect_leq(peak + unread, memoryMb * kibPerMb, "peak %ld KiB, unread in the kernel %ld KiB",
                  peak, unread);
    cr_expect_eq(reply.status, 200, "status %d", reply.status);
}

Tcp::endpoint callerAddress(TestDeployment &deployment)
{
    return {asio::ip::make_address_v4(deployment.nodes().front().host), callerPort};
}

} // namespace

// Guards against bodies that are held for clients that never complete them.
Test(entrymemory, unfinishedBodies, .timeout = 60)
{
    TestDeployment deployment(oneNode());
    asio::io_context context;
    HostileClients clients(context, callerAddress(deployment));
    clients.open(50,
                 formatHead("Content-Length: " + std::to_string(readBytes))
                         + std::string(readBytes - 1, 'b'));
    checkNode(deployment, context, clients);
}

// Guards against complete bodies, their copies and the threads that handle them.
Test(entrymemory, largeBodiesAtOnce, .timeout = 60)
{
    TestDeployment deployment(oneNode());
    asio::io_context context;
    HostileClients clients(context, callerAddress(deployment));
    clients.open(50,
                 formatHead("Content-Length: " + std::to_string(readBytes))
                         + std::string(readBytes, 'b'),
                 false);
    checkNode(deployment, context, clients);
}

// Guards against idle connections and slow heads that keep ordinary callers out.
Test(entrymemory, idleConnections, .timeout = 60)
{
    TestDeployment deployment(oneNode());
    asio::io_context context;
    HostileClients clients(context, callerAddress(deployment));
    clients.open(4000, "");
    clients.open(400, "POST /orders/dispatch HTTP/1.1\r\nHost: app.example\r\nX-Slow: ");
    checkNode(deployment, context, clients);
}
