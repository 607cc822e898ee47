#include "Node/handoverservice.h"

#include "Adapter/json.h"
#include "Adapter/log.h"
#include "Node/enginecall.h"

namespace sesame {

namespace {

constexpr std::chrono::milliseconds handoverTimeout {1000};
constexpr std::chrono::seconds pendingHandoverTimeout {60}; // Callers resume at once or not at all.

std::string makePendingKey(const std::string &account, const std::string &requestId)
{
    return account + "~" + requestId;
}

std::string makeCallerUrl(const Peer &peer)
{
    return "http://" + peer.callerAddress.host + ":" + std::to_string(peer.callerAddress.port);
}

} // namespace

HandoverService::HandoverService(NodeContext &context)
    : m_context(context),
      m_client(PeerIdentity {.node = context.settings.node, .key = context.settings.peerKey})
{
}

std::vector<HandoverPeer> HandoverService::listPeers()
{
    std::vector<HandoverPeer> peers;
    for (const Peer &peer : m_context.membership.lock()->liveNodes()) {
        if (peer.node != m_context.settings.node && peer.state == PeerState::Alive)
            peers.push_back({.node = peer.node, .zone = peer.zone});
    }
    return peers;
}

std::string HandoverService::findEngineZone(ModelStream &stream)
{
    const std::string id = stream.session().lock()->engine().id;
    for (const BackendView &engine : m_context.backends.lock()->engines(m_context.clock.now())) {
        if (engine.id == id)
            return engine.zone;
    }
    return {};
}

void HandoverService::chooseTargets(const std::vector<ModelStreamPtr> &streams)
{
    std::vector<OpenRequest> requests;
    for (const ModelStreamPtr &stream : streams) {
        if (!stream->request().stream || !stream->hasPrompt())
            continue; // Only a streaming response can carry the event to continue elsewhere.
        requests.push_back({.id = stream->engineRequestId(),
                            .engineZone = findEngineZone(*stream),
                            .rank = stream->rank()});
    }
    const std::vector<std::string> leavingZones {m_context.settings.zone};
    const HandoverPlan plan = planHandovers(m_context.settings.zone, leavingZones, listPeers(),
                                            requests);
    if (plan.zoneRuleRelaxed)
        logEvent(LogLevel::Warning, "handover target is in a leaving zone");
    for (const Handover &handover : plan.handovers) {
        for (const ModelStreamPtr &stream : streams) {
            if (stream->engineRequestId() == handover.requestId && !handover.node.empty())
                stream->requestHandover(handover.node);
        }
    }
}

wire::OpenRequest HandoverService::makeOpenRequest(ModelStream &stream)
{
    wire::OpenRequest request;
    request.requestId = stream.requestId();
    request.account = stream.account();
    request.model = stream.model();
    request.rank = static_cast<std::int32_t>(stream.rank());
    request.body = stream.request().body;
    auto session = stream.session().lock();
    request.deliveredTokens = static_cast<std::int64_t>(session->nextOffset());
    request.deliveredText = session->deliveredText();
    request.engine = session->engine().id;
    request.attempt = static_cast<std::int64_t>(session->attempt());
    return request;
}

std::optional<std::string> HandoverService::handOver(ModelStream &stream, const std::string &peer)
{
    const auto target = m_context.membership.lock()->find(peer);
    if (!target)
        return fail(ResultCode::PeerUnreachable, "the peer is not known any more");
    wire::Handover handover;
    handover.requests.push_back(makeOpenRequest(stream));
    wire::PeerRequest request;
    request.__set_handover(handover);
    request.incarnation = m_context.incarnation;
    request.storeReachable = m_context.storeReachable;
    request.fleetVersion = static_cast<std::int64_t>(m_context.fleet.lock()->fleetVersion());
    const auto reply = m_client.exchange(
            {.address = target->address, .node = peer, .timeout = handoverTimeout}, request);
    if (!reply)
        return std::nullopt;
    if (reply->answer.acceptedRequests != 1)
        return fail(ResultCode::NodeLeaving, "the peer did not accept the request");
    const std::string address = makeCallerUrl(*target);
    stream.buffer().write(makeContinueEvent(m_context, stream, address));
    stream.markHandedOver();
    return address;
}

int HandoverService::acceptRequests(const wire::Handover &handover)
{
    if (!m_context.lifecycle.acceptsRequests())
        return 0;
    const Timestamp now = m_context.clock.now();
    const std::lock_guard lock(m_mutex);
    removeExpired(now);
    for (const wire::OpenRequest &request : handover.requests) {
        m_pendingHandovers[makePendingKey(request.account, request.requestId)] = PendingHandover {
                .request = request, .expiry = now + pendingHandoverTimeout};
    }
    return static_cast<int>(handover.requests.size());
}

std::optional<wire::OpenRequest> HandoverService::takeRequest(const std::string &account,
                                                              const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    removeExpired(m_context.clock.now());
    const auto node = m_pendingHandovers.extract(makePendingKey(account, requestId));
    if (node.empty())
        return std::nullopt;
    return node.mapped().request;
}

void HandoverService::removeExpired(Timestamp now)
{
    std::erase_if(m_pendingHandovers, [now](const auto &entry) {
        return entry.second.expiry < now;
    });
}

} // namespace sesame
