#include "Adapter/sesameadapter.h"
#include "Core/lastreason.h"
#include "support/brokenserver.h"
#include "support/freeport.h"
#include "support/printfigure.h"

#include <Peer.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <arpa/inet.h>
#include <atomic>
#include <random>
#include <thread>
#include <unistd.h>

using namespace sesame;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

namespace {

constexpr const char *host = "127.0.0.1";
constexpr const char *key = "test peer key";

int connectTo(const Endpoint &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
    cr_assert_eq(connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof(target)), 0);
    return fd;
}

// A peer server that counts the requests that reach its handler.
struct Service
{
    Endpoint address {.host = host, .port = freePort()};
    std::atomic<int> handled = 0;
    std::optional<PeerServer> server;

    Service()
    {
        PeerServerOptions options;
        options.address = address;
        options.identity = {.node = "server", .key = key};
        server = PeerServer::start(options, [this](const auto &request, auto sender) {
            ++handled;
            wire::PeerAnswer answer;
            answer.alive = request.ping.sequence == 7 && sender == "client";
            answer.rumours = request.rumours;
            return answer;
        });
        cr_assert(server.has_value());
    }

    PeerCall call() const
    {
        return {.address = address, .node = "server", .timeout = std::chrono::milliseconds(2000)};
    }

    // Checks that the server still answers after an invalid message.
    void expectStillAnswers() const
    {
        wire::PeerRequest request;
        wire::Ping ping;
        ping.sequence = 7;
        request.__set_ping(ping);
        const auto reply = PeerClient({.node = "client", .key = key}).exchange(call(), request);
        cr_assert(reply.has_value());
        cr_expect(reply->answer.alive);
    }

    wire::SealedMessage sendRaw(const wire::SealedMessage &message) const
    {
        const auto socket = std::make_shared<TSocket>(host, address.port);
        socket->open();
        wire::PeerClient client(
                std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(socket)));
        wire::SealedMessage answer;
        client.exchange(answer, message);
        return answer;
    }

    // Returns the result code with which the message was refused (1700), or 0 if it was answered.
    int codeFor(const wire::SealedMessage &message) const
    {
        try {
            sendRaw(message);
            return 0;
        } catch (const wire::PeerRefused &e) {
            return e.code;
        }
    }

    // Sends raw bytes and waits until the server closes the connection.
    void sendBytes(const std::string &bytes) const
    {
        const int fd = connectTo(address);
        cr_expect_geq(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
        shutdown(fd, SHUT_WR);
        char buf = 0;
        while (recv(fd, &buf, 1, 0) > 0) { }
        close(fd);
    }
};

wire::SealedMessage sealedPing(const PeerIdentity &identity, WallMillis at)
{
    wire::PeerRequest request;
    request.__set_ping({});
    return sealRequest(identity, request, at);
}

const SystemClock systemClock;

// Suppresses the hundreds of log lines that the test with random bytes causes.
void quietLog()
{
    initializeLog("error", "test");
}

} // namespace

TestSuite(peerservice, .init = quietLog);

Test(peerservice, sealedExchangeCarriesRumours)
{
    const Service service;
    wire::PeerRequest request;
    wire::Ping ping;
    ping.sequence = 7;
    request.__set_ping(ping);
    const std::vector<Rumour> rumours {{.kind = RumourKind::BackendLeaving,
                                        .subject = "engine-1",
                                        .incarnation = 3,
                                        .detail = "1234"}};
    request.rumours = toWire(rumours);
    const PeerClient client({.node = "client", .key = key});
    const auto reply = client.exchange(service.call(), request);
    cr_assert(reply.has_value());
    cr_expect_eq(reply->sender, "server");
    cr_expect(reply->answer.alive);
    cr_expect(fromWire(reply->answer.rumours) == rumours);
}

// Guards against frames or frame headers that the traffic counters do not include. Client and
// server run in one process, so the sent and received bytes must be equal.
Test(peerservice, bothSidesCountTheSameBytes)
{
    const Service service;
    const PeerTraffic before = peerTraffic();
    service.expectStillAnswers();
    const PeerTraffic after = peerTraffic();
    const std::uint64_t sent = after.bytesSent - before.bytesSent;
    cr_expect_eq(sent, after.bytesReceived - before.bytesReceived);
    constexpr std::uint64_t twoSealsBytes = 64;
    cr_expect_gt(sent, twoSealsBytes);
}

// Guards against a sender without the key that starts handovers or spreads rumours.
Test(peerservice, wrongKeyIsRefused)
{
    const Service service;
    const PeerClient client({.node = "client", .key = "another key"});
    cr_expect_not(client.exchange(service.call(), {}).has_value());
    cr_expect_eq(lastReason().code, ResultCode::PeerUnauthenticated);
    wire::SealedMessage unsealed = sealedPing({"client", key}, systemClock.wallMillis());
    unsealed.authenticationCode.clear();
    cr_expect_eq(service.codeFor(unsealed), 1700);
    wire::SealedMessage altered = sealedPing({"client", key}, systemClock.wallMillis());
    altered.sender = "other";
    cr_expect_eq(service.codeFor(altered), 1700);
    cr_expect_eq(service.handled, 0);
    service.expectStillAnswers();
}

// Guards against recorded messages that are replayed later.
Test(peerservice, replayOutsideTheWindowIsRefused)
{
    const Service service;
    const WallMillis now = systemClock.wallMillis();
    cr_expect_eq(service.codeFor(sealedPing({"client", key}, now - 25000)), 0);
    cr_expect_eq(service.codeFor(sealedPing({"client", key}, now - 31000)), 1700);
    cr_expect_eq(service.codeFor(sealedPing({"client", key}, now + 35000)), 1700);
    cr_expect_eq(service.handled, 1);
    service.expectStillAnswers();
}

// Guards against a recorded answer that is replayed as the answer to another request.
Test(peerservice, answerIsBoundToItsRequest)
{
    const PeerIdentity identity {"server", key};
    const WallMillis now = systemClock.wallMillis();
    const wire::SealedMessage answer = sealAnswer(identity, {}, "code of one request", now);
    cr_expect(openAnswer(key, answer, "code of one request", now).has_value());
    cr_expect_not(openAnswer(key, answer, "code of another request", now).has_value());
    cr_expect_not(openRequest(key, answer, now).has_value());
}

// Guards against a node that answers at the former address of another node.
Test(peerservice, answerOfAnotherNodeIsRefused)
{
    const Service service;
    PeerCall call = service.call();
    call.node = "former";
    const PeerClient client({.node = "client", .key = key});
    cr_expect_not(client.exchange(call, {}).has_value());
    cr_expect_eq(lastReason().code, ResultCode::PeerUnreachable);
}

// Guards against a broken or truncated answer that counts as the answer of a node, also if it ends
// with a reset while the request is being written.
Test(peerservice, brokenAnswersAreNoAnswers)
{
    constexpr std::size_t uploadBytes = 1U << 20U;
    constexpr std::uint32_t frameBytes = 64;
    const std::uint32_t length = htonl(frameBytes);
    const std::string frameHead(reinterpret_cast<const char *>(&length), sizeof(length));
    test::BrokenServer server;
    wire::PeerRequest request;
    // The server answers when it has received an empty line.
    request.rumours = toWire(std::vector<Rumour> {
            {.subject = "engine-1", .detail = "\r\n\r\n" + std::string(uploadBytes, 'u')}});
    const PeerClient client({.node = "client", .key = key});
    const PeerCall call {.address = {.host = host, .port = server.address().port()},
                         .timeout = std::chrono::milliseconds(2000)};
    for (const std::string &answer : {std::string("HTTP/1.1 000 None\r\n\r\n"), frameHead,
                                      frameHead + std::string(frameBytes / 2, '\x82'),
                                      frameHead + std::string(frameBytes, '\x82')}) {
        for (const auto end : {test::RawEngine::End::Close, test::RawEngine::End::Reset}) {
            server.setAnswer(answer, end);
            cr_expect_not(client.exchange(call, request).has_value());
            cr_expect_eq(lastReason().code, ResultCode::PeerUnreachable);
        }
    }
    cr_expect_eq(server.requestCount(), 8);
}

Test(peerservice, serverSurvivesRandomBytes)
{
    const Service service;
    std::mt19937_64 random(20261204);
    for (int n = 0; n < 200; ++n) {
        std::string bytes(1 + random() % 300, '\0');
        for (char &it : bytes)
            it = static_cast<char>(random());
        // Half of the messages have a valid frame length, so that the protocol layer reads them.
        if (n % 2 == 0 && bytes.size() > 4) {
            const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size() - 4));
            std::memcpy(bytes.data(), &length, sizeof(length));
        }
        service.sendBytes(bytes);
    }
    service.sendBytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    // A correctly sealed body that is no PeerRequest, as a faulty node with the key could send.
    wire::SealedMessage message;
    message.sender = "client";
    message.sentAtMillis = systemClock.wallMillis();
    message.body = "\xff\xff\xff\xff\xff garbage";
    message.authenticationCode = computeAuthenticationCode(key,
                                                           {.context = requestContext,
                                                            .sender = message.sender,
                                                            .sentAt = message.sentAtMillis,
                                                            .body = message.body});
    cr_expect_eq(service.codeFor(message), 1700);
    cr_expect_eq(service.handled, 0);
    service.expectStillAnswers();
}

// Guards against memory exhaustion by frames that exceed the limit of 2 MB.
Test(peerservice, oversizedFrameIsRefused)
{
    const Service service;
    wire::PeerRequest request;
    wire::OpenRequest open;
    open.body.assign(peerFrameLimitBytes, 'x');
    wire::Handover handover;
    handover.requests.push_back(open);
    request.__set_handover(handover);
    const PeerClient client({.node = "client", .key = key});
    cr_expect_not(client.exchange(service.call(), request).has_value());
    cr_expect_eq(service.handled, 0);
    service.expectStillAnswers();
    handover.requests.front().body.resize(peerFrameLimitBytes - 4096);
    request.__set_handover(handover);
    cr_expect(client.exchange(service.call(), request).has_value());
}

// Guards against connections that stall within a message and prevent peers from being served.
Test(peerservice, stalledConnectionsDelayPeersOnlyForTheIdleTimeout)
{
    const Service service;
    std::vector<int> open;
    for (std::size_t n = 0; n < PeerServerOptions().workers + 8; ++n) {
        const int fd = connectTo(service.address);
        cr_assert_eq(send(fd, "\0", 1, MSG_NOSIGNAL), 1);
        open.push_back(fd);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const auto start = systemClock.now();
    const PeerClient client({.node = "client", .key = key});
    cr_expect(client.exchange(service.call(), {}).has_value());
    cr_expect(systemClock.now() - start < std::chrono::milliseconds(1500));
    for (const int fd : open)
        close(fd);
}

Test(peerservice, callToDeadPeerFailsWithinOneSecond)
{
    const PeerClient client({.node = "client", .key = key});
    const PeerCall call {.address = {.host = host, .port = freePort()}, .node = {}};
    const auto start = systemClock.now();
    cr_expect_not(client.exchange(call, {}).has_value());
    cr_expect_eq(lastReason().code, ResultCode::PeerUnreachable);
    cr_expect(systemClock.now() - start < std::chrono::milliseconds(1000));
}
