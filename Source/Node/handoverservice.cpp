#include "Node/handoverservice.h"

#include "Adapter/json.h"
#include "Adapter/log.h"
#include "Node/enginecall.h"

namespace sesame {

namespace {

constexpr std::chrono::milliseconds handoverTimeout {1000};
constexpr std::chrono::seconds keepTime {60}; // A caller comes at once or not at all.

std::string keyOf(const std::string &account, const std::string &requestId)
{
    return account + "~" + requestId;
}

std::string callerUrl(const Peer &peer)
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

std::string HandoverService::zoneOfEngine(ModelStream &stream)
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
            continue; // Only a stream can be told in-band where to continue.
        requests.push_back({.id = stream->engineRequestId(),
                            .engineZone = zoneOfEngine(*stream),
                            .rank = stream->rank()});
    }
    const std::vector<std::string> leavingZones {m_context.settings.zone};
    const HandoverPlan plan = planHandovers(m_context.settings.zone, leavingZones, listPeers(),
                                            requests);
    if (plan.zoneRuleRelaxed)
        logEvent(LogLevel::Warning, "handover stays within a leaving zone");
    for (const Handover &handover : plan.handovers) {
        for (const ModelStreamPtr &stream : streams) {
            if (stream->engineRequestId() == handover.requestId && !handover.node.empty())
                stream->requestHandover(handover.node);
        }
    }
}

wire::OpenRequest HandoverService::describe(ModelStream &stream)
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
    handover.requests.push_back(describe(stream));
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
    const std::string address = callerUrl(*target);
    stream.buffer().write(makeContinueEvent(m_context, stream, address));
    stream.markHandedOver();
    return address;
}

int HandoverService::accept(const wire::Handover &handover)
{
    if (!m_context.lifecycle.acceptsRequests())
        return 0;
    const Timestamp now = m_context.clock.now();
    const std::lock_guard lock(m_mutex);
    dropExpired(now);
    for (const wire::OpenRequest &request : handover.requests) {
        m_kept[keyOf(request.account, request.requestId)] = Kept {.request = request,
                                                                  .until = now + keepTime};
    }
    return static_cast<int>(handover.requests.size());
}

std::optional<wire::OpenRequest> HandoverService::take(const std::string &account,
                                                       const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    dropExpired(m_context.clock.now());
    const auto node = m_kept.extract(keyOf(account, requestId));
    if (node.empty())
        return std::nullopt;
    return node.mapped().request;
}

void HandoverService::dropExpired(Timestamp now)
{
    std::erase_if(m_kept, [now](const auto &entry) {
        return entry.second.until < now;
    });
}

} // namespace sesame
