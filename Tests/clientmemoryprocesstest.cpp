// A node process stays within the memory and the descriptors of its machine, whatever its clients
// send or do not read, and still answers an ordinary request while they stay connected. The figures
// do not depend on the speed of the machine.

#include "support/hostileclients.h"
#include "support/platformdeployment.h"
#include "support/processusage.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

using namespace sesame;
using namespace sesame::test;

namespace {

constexpr int memoryMb = 120;
constexpr long kibPerMb = 1024;
constexpr std::size_t bodyLimit = 4U << 20U;
constexpr int reservedDescriptors = 200;

PlatformDeploymentOptions machine(int descriptors = 3075)
{
    return {.descriptors = descriptors, .memoryMb = memoryMb, .bodyLimit = bodyLimit};
}

std::string formatHead(const std::string &target, const std::string &framing)
{
    return "POST " + target
            + " HTTP/1.1\r\nHost: app.example\r\nAuthorization: Token key-large\r\n"
              "Sesameproxy-Attempt-Id: hostile\r\nSesameproxy-Deadline-Ms: 3000\r\n"
            + framing + "\r\n\r\n";
}

std::string formatChunks(std::size_t count, std::size_t bytes)
{
    std::ostringstream chunk;
    chunk << std::hex << bytes << "\r\n" << std::string(bytes, 'c') << "\r\n";
    std::string text;
    text.reserve(count * chunk.str().size());
    for (std::size_t i = 0; i < count; ++i)
        text += chunk.str();
    return text;
}

/*!
    Runs the deployment until \a clients have sent what they have to send, and a second more. Checks
    that node 1 lives, that its memory and descriptors stay below their limits all the time, and
   that it answers an ordinary request.
*/
void checkNode(PlatformDeployment &deployment, const HostileClients &clients,
               int descriptors = 3075)
{
    long unread = 0;
    int opened = 0;
    const auto sample = [&] {
        unread = std::max(unread, unreadKib(deployment.platform.entryAddress(1).port()));
        opened = std::max(opened, openDescriptors(deployment.processId(1)));
    };
    deployment.runUntil(
            [&] {
                sample();
                return clients.haveSent();
            },
            20s);
    for (int i = 0; i < 10; ++i) {
        deployment.runFor(100ms);
        sample();
    }
    cr_assert_not(deployment.hasExited(1));
    const CallResponse answer = deployment.sendRequest(1, "POST", "/book/x", "ordinary");
    sample();
    const long peak = peakMemoryKib(deployment.processId(1));
    fprintf(stderr, "peak %ld KiB, unread %ld KiB, descriptors %d, status %u\n", peak, unread,
            opened, answer.status);
    cr_expect_leq(peak + unread, memoryMb * kibPerMb, "peak %ld KiB, unread in the kernel %ld KiB",
                  peak, unread);
    cr_expect_leq(opened, descriptors - reservedDescriptors, "%d descriptors", opened);
    cr_expect_eq(answer.status, 200, "status %u", answer.status);
}

} // namespace

// Guards against bodies of legal size that are held for clients that never complete them.
Test(clientmemory, unfinishedBodiesOfStatedLength, .timeout = 60)
{
    PlatformDeployment deployment(23100, 1, machine());
    HostileClients clients(deployment.context, deployment.platform.entryAddress(1));
    clients.open(50,
                 formatHead("/book/x", "Content-Length: " + std::to_string(bodyLimit))
                         + std::string(bodyLimit - 1, 'b'));
    checkNode(deployment, clients);
}

// Guards against memory that is reserved for the length that a client only states.
Test(clientmemory, announcedBodies, .timeout = 60)
{
    PlatformDeployment deployment(23150, 1, machine());
    HostileClients clients(deployment.context, deployment.platform.entryAddress(1));
    clients.open(1000,
                 formatHead("/book/x", "Content-Length: " + std::to_string(bodyLimit))
                         + std::string(2000, 'b'));
    checkNode(deployment, clients);
}

// Guards against chunked bodies, in large and in very small chunks, that are held for clients that
// never complete them.
Test(clientmemory, unfinishedChunkedBodies, .timeout = 60)
{
    PlatformDeployment deployment(23200, 1, machine());
    HostileClients clients(deployment.context, deployment.platform.entryAddress(1));
    const std::string head = formatHead("/book/x", "Transfer-Encoding: chunked");
    clients.open(40, head + formatChunks(63, 65536));
    clients.open(10, head + formatChunks(300'000, 1));
    checkNode(deployment, clients);
}

// Guards against bodies over the limit that use memory, whether they are announced or only sent.
Test(clientmemory, oversizedBodies, .timeout = 60)
{
    PlatformDeployment deployment(23250, 1, machine());
    HostileClients clients(deployment.context, deployment.platform.entryAddress(1));
    clients.open(25,
                 formatHead("/book/x", "Content-Length: 1000000000")
                         + std::string(2 * bodyLimit, 'b'));
    clients.open(25,
                 formatHead("/book/x", "Transfer-Encoding: chunked") + formatChunks(128, 65536));
    checkNode(deployment, clients);
}

// Guards against complete requests and their answers that are held for clients that read nothing.
Test(clientmemory, unreadAnswers, .timeout = 60)
{
    PlatformDeployment deployment(23300, 1, machine());
    HostileClients clients(deployment.context, deployment.platform.entryAddress(1));
    clients.open(50,
                 formatHead("/read/x", "Content-Length: " + std::to_string(bodyLimit - 1000))
                         + std::string(bodyLimit - 1000, 'b'),
                 false);
    checkNode(deployment, clients);
}

// Guards against pipelined requests that fill the process or the kernel's buffers while the first
// one is unanswered.
Test(clientmemory, pipelinedRequests, .timeout = 60)
{
    PlatformDeployment deployment(23350, 1, machine());
    for (const auto &engine : deployment.platform.engines)
        engine->setWorkTime(5s);
    HostileClients clients(deployment.context, deployment.platform.entryAddress(1));
    const std::string piece = formatHead("/read/x", "Content-Length: 100000")
            + std::string(100'000, 'b');
    std::string text;
    for (int i = 0; i < 40; ++i)
        text += piece;
    clients.open(60, text);
    deployment.runFor(2s);
    for (const auto &engine : deployment.platform.engines)
        engine->setWorkTime(0s);
    checkNode(deployment, clients);
}

// Guards against idle connections and slow heads that use up the descriptors, so that ordinary
// callers cannot connect.
Test(clientmemory, idleConnections, .timeout = 60)
{
    constexpr int descriptors = 1000;
    PlatformDeployment deployment(23400, 1, machine(descriptors));
    HostileClients clients(deployment.context, deployment.platform.entryAddress(1));
    clients.open(600, "");
    clients.open(300, "POST /book/x HTTP/1.1\r\nHost: app.example\r\nX-Slow: ");
    checkNode(deployment, clients, descriptors);
}

// Guards against limits on hostile clients that also refuse a single large request.
Test(clientmemory, largestLegalBodyIsServed, .timeout = 60)
{
    PlatformDeployment deployment(23450, 1, machine());
    const CallResponse answer = deployment.sendRequest(1, "POST", "/book/x", "large", "key-large",
                                                       std::string(bodyLimit, 'l'));
    cr_expect_eq(answer.status, 200, "status %u", answer.status);
    cr_expect_leq(peakMemoryKib(deployment.processId(1)), memoryMb * kibPerMb);
}
