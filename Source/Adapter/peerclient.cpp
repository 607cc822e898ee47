#include "Adapter/peerclient.h"

#include "Adapter/peertransport.h"
#include "Adapter/systemclock.h"
#include "Core/lastreason.h"

#include <Peer.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <memory>

namespace sesame {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

// Connects, sends the message and receives the answer, normally within call.timeout in total. It
// can take longer because the socket's timeout applies to each read separately.
wire::SealedMessage transfer(const PeerCall &call, const wire::SealedMessage &message)
{
    const auto start = std::chrono::steady_clock::now();
    const auto config = std::make_shared<TConfiguration>(peerFrameLimitBytes, peerFrameLimitBytes);
    const auto socket = std::make_shared<TSocket>(call.address.host, call.address.port, config);
    socket->setConnTimeout(static_cast<int>(call.timeout.count()));
    socket->open();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
    const auto left = std::max(call.timeout - elapsed, std::chrono::milliseconds(1));
    socket->setSendTimeout(static_cast<int>(left.count()));
    socket->setRecvTimeout(static_cast<int>(left.count()));
    const auto framed = std::make_shared<PeerTransport>(socket, config);
    wire::PeerClient client(std::make_shared<TCompactProtocolT<TFramedTransport>>(
            framed, peerFrameLimitBytes, peerListLimit));
    wire::SealedMessage answer;
    client.exchange(answer, message);
    return answer;
}

} // namespace

PeerClient::PeerClient(PeerIdentity identity) : m_identity(std::move(identity))
{
    redirectThriftOutput();
}

std::optional<PeerReply> PeerClient::exchange(const PeerCall &call,
                                              const wire::PeerRequest &request) const
{
    const SystemClock clock;
    const wire::SealedMessage message = sealRequest(m_identity, request, clock.wallMillis());
    wire::SealedMessage received;
    try {
        received = transfer(call, message);
    } catch (const wire::PeerRefused &e) {
        return fail(static_cast<ResultCode>(e.code), "refused by peer: " + e.reason);
    } catch (const TException &e) {
        return fail(ResultCode::PeerUnreachable, e.what());
    }
    auto answer = openAnswer(m_identity.key, received, message.authenticationCode,
                             clock.wallMillis());
    if (!answer)
        return std::nullopt;
    // After a restart, another node may listen at the address of a node that has stopped.
    if (!call.node.empty() && call.node != received.sender)
        return fail(ResultCode::PeerUnreachable, "answered by node " + received.sender);
    return PeerReply {.sender = received.sender, .answer = *answer};
}

} // namespace sesame
