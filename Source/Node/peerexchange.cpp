#include "Node/peerexchange.h"

#include "Adapter/log.h"

namespace sesame {

namespace {

constexpr std::size_t maxRumoursPerMessage = 12;
constexpr Duration suspectRepeatDelay = std::chrono::milliseconds(100);

wire::SuspectRumour toWire(const SuspectUpdate &rumour)
{
    wire::SuspectRumour out;
    out.fingerprint = static_cast<std::int64_t>(rumour.fingerprint);
    out.holder = rumour.holder;
    out.sequence = static_cast<std::int64_t>(rumour.sequence);
    out.crashedOn = rumour.crashedOn;
    out.cleared = rumour.cleared;
    out.engine = rumour.engine;
    out.quarantined = rumour.quarantined;
    return out;
}

SuspectUpdate fromWire(const wire::SuspectRumour &rumour)
{
    return {.fingerprint = static_cast<Fingerprint>(rumour.fingerprint),
            .holder = rumour.holder,
            .sequence = static_cast<std::uint64_t>(rumour.sequence),
            .crashedOn = rumour.crashedOn,
            .cleared = rumour.cleared,
            .engine = rumour.engine,
            .quarantined = rumour.quarantined};
}

} // namespace

PeerExchange::PeerExchange(NodeContext &context, ModelService &models, HandoverService &handovers)
    : m_context(context), m_models(models), m_handovers(handovers),
      m_client(PeerIdentity {.node = context.settings.node, .key = context.settings.peerKey})
{
}

template <typename Message>
void PeerExchange::recordPeer(std::string_view peer, const Message &message)
{
    m_context.fleet.lock()->recordPeerMessage(m_context.clock.now(), peer,
                                              static_cast<std::uint64_t>(message.fleetVersion),
                                              message.storeReachable);
    recordIncarnation(peer, message.incarnation);
}

void PeerExchange::tick()
{
    const Timestamp now = m_context.clock.now();
    const std::vector<MembershipMessage> actions = m_context.membership.lock()->tick(now);
    for (const MembershipMessage &action : actions)
        m_context.controlWorkers.submit([this, action] {
            sendProbe(action);
        });
    sendSuspectRumours(now);
}

wire::PeerRequest PeerExchange::makeRequest(std::string_view receiver)
{
    wire::PeerRequest request;
    request.rumours = sesame::toWire(
            m_context.membership.lock()->selectRumoursToSend(maxRumoursPerMessage, receiver));
    request.fleetVersion = static_cast<std::int64_t>(m_context.fleet.lock()->fleetVersion());
    request.incarnation = m_context.incarnation;
    request.storeReachable = m_context.storeReachable;
    return request;
}

void PeerExchange::sendProbe(const MembershipMessage &action)
{
    wire::PeerRequest request = makeRequest(action.node);
    PeerCall call;
    call.address = action.address;
    call.node = action.node;
    call.timeout = std::chrono::ceil<std::chrono::milliseconds>(action.timeout);
    if (action.kind == MembershipMessageKind::PingRequest) {
        wire::PingRequest ping;
        ping.sequence = action.sequence;
        ping.target = action.target;
        request.__set_pingRequest(ping);
    } else {
        wire::Ping ping;
        ping.sequence = action.sequence;
        ping.wantsState = action.kind == MembershipMessageKind::StatePull;
        request.__set_ping(ping);
    }
    const auto reply = m_client.exchange(call, request);
    if (!reply)
        return;
    applyAnswer(*reply);
    if (reply->answer.alive)
        m_context.membership.lock()->recordAck(action.sequence);
}

void PeerExchange::sendSuspectRumours(Timestamp now)
{
    std::uint64_t sequence = 0;
    {
        auto suspects = m_context.suspects.lock();
        suspects->update(now);
        sequence = suspects->sequence();
    }
    const std::vector<Peer> peers = m_context.membership.lock()->liveNodes();
    auto deliveries = m_suspectDeliveries.lock();
    for (const Peer &peer : peers) {
        if (peer.node == m_context.settings.node)
            continue;
        SuspectDelivery &delivery = (*deliveries)[peer.node];
        if (delivery.isSending || delivery.confirmed >= sequence || now < delivery.repeatAt)
            continue;
        delivery.isSending = true;
        m_context.controlWorkers.submit([this, peer, confirmed = delivery.confirmed] {
            sendSuspectRumours(peer, confirmed);
        });
    }
}

/*!
    Sends \a peer the changes after \a confirmed. If it does not answer, tick() repeats them.
*/
void PeerExchange::sendSuspectRumours(const Peer &peer, std::uint64_t confirmed)
{
    wire::PeerRequest request = makeRequest(peer.node);
    std::uint64_t sequence = 0;
    {
        auto suspects = m_context.suspects.lock();
        sequence = suspects->sequence();
        for (const SuspectUpdate &rumour : suspects->updatesSince(confirmed))
            request.suspects.push_back(toWire(rumour));
    }
    request.__set_ping(wire::Ping());
    const auto reply = m_client.exchange({.address = peer.address, .node = peer.node}, request);
    {
        auto deliveries = m_suspectDeliveries.lock();
        SuspectDelivery &delivery = (*deliveries)[peer.node];
        delivery.isSending = false;
        // A peer that restarted meanwhile has lost what it confirmed.
        if (reply && delivery.confirmed == confirmed)
            delivery.confirmed = sequence;
        if (!reply)
            delivery.repeatAt = m_context.clock.now() + suspectRepeatDelay;
    }
    if (reply)
        applyAnswer(*reply);
}

wire::PeerAnswer PeerExchange::handleRequest(const wire::PeerRequest &request,
                                             std::string_view sender)
{
    applyRumours(request.rumours);
    applySuspectRumours(request.suspects);
    recordPeer(sender, request);
    wire::PeerAnswer answer;
    answer.alive = true;
    if (request.__isset.pingRequest)
        answer.alive = probePeer(request.pingRequest.target, request.pingRequest.sequence);
    if (request.__isset.handover)
        answer.acceptedRequests = m_handovers.acceptRequests(request.handover);
    if (request.__isset.fleetQuery) {
        auto fleet = m_context.fleet.lock();
        if (static_cast<std::int64_t>(fleet->fleetVersion()) > request.fleetQuery.haveVersion)
            answer.__set_fleetDocument(fleet->storedDocument());
    }
    {
        auto membership = m_context.membership.lock();
        const bool wantsState = request.__isset.ping && request.ping.wantsState;
        answer.rumours = sesame::toWire(
                wantsState ? membership->allRumours()
                           : membership->selectRumoursToSend(maxRumoursPerMessage, sender));
    }
    if (request.__isset.ping && request.ping.wantsState) {
        for (const SuspectUpdate &rumour : m_context.suspects.lock()->makeAllUpdates())
            answer.suspects.push_back(toWire(rumour));
    }
    answer.fleetVersion = static_cast<std::int64_t>(m_context.fleet.lock()->fleetVersion());
    answer.incarnation = m_context.incarnation;
    answer.storeReachable = m_context.storeReachable;
    return answer;
}

bool PeerExchange::probePeer(std::string_view target, std::int64_t sequence)
{
    const auto peer = m_context.membership.lock()->find(target);
    if (!peer)
        return false;
    wire::PeerRequest request = makeRequest(target);
    wire::Ping ping;
    ping.sequence = sequence;
    request.__set_ping(ping);
    const auto reply = m_client.exchange({.address = peer->address, .node = peer->node}, request);
    if (reply)
        applyAnswer(*reply);
    return reply.has_value();
}

void PeerExchange::applyAnswer(const PeerReply &reply)
{
    applyRumours(reply.answer.rumours);
    applySuspectRumours(reply.answer.suspects);
    recordPeer(reply.sender, reply.answer);
}

void PeerExchange::recordIncarnation(std::string_view peer, std::int64_t incarnation)
{
    {
        auto incarnations = m_incarnations.lock();
        const auto it = incarnations->find(peer);
        if (it != incarnations->end() && it->second >= incarnation)
            return;
        incarnations->insert_or_assign(std::string(peer), incarnation);
    }
    {
        auto deliveries = m_suspectDeliveries.lock();
        const auto it = deliveries->find(peer);
        if (it != deliveries->end())
            it->second.confirmed = 0;
    }
    m_context.suspects.lock()->forgetHolders(std::string(peer) + "#",
                                             makeSuspectHolder(peer, incarnation));
}

void PeerExchange::applyRumours(std::span<const wire::Rumour> rumours)
{
    if (rumours.empty())
        return;
    const Timestamp now = m_context.clock.now();
    const auto converted = sesame::fromWire(rumours);
    for (const Rumour &rumour : m_context.membership.lock()->applyRumours(converted, now)) {
        if (rumour.kind == RumourKind::BackendLeaving) {
            m_context.backends.lock()->applyRumour(rumour, now, m_context.clock.wallMillis());
            m_models.moveRequestsOff(rumour.subject);
        } else if (rumour.kind == RumourKind::NodeDead || rumour.kind == RumourKind::NodeLeaving) {
            m_context.fleet.lock()->removePeer(rumour.subject);
            m_context.suspects.lock()->forgetHolders(rumour.subject + "#");
            logEvent(LogLevel::Info, "peer left or died", {{"peer", rumour.subject}});
        }
    }
}

void PeerExchange::applySuspectRumours(const std::vector<wire::SuspectRumour> &rumours)
{
    if (rumours.empty())
        return;
    std::vector<SuspectUpdate> converted;
    converted.reserve(rumours.size());
    for (const wire::SuspectRumour &rumour : rumours)
        converted.push_back(fromWire(rumour));
    m_context.suspects.lock()->applyUpdates(converted, m_context.clock.now());
}

void PeerExchange::announce(std::span<const Rumour> rumours)
{
    const Timestamp now = m_context.clock.now();
    for (const Rumour &rumour : rumours) {
        m_context.membership.lock()->announce(rumour, now);
        if (rumour.kind == RumourKind::BackendLeaving)
            m_models.moveRequestsOff(rumour.subject);
    }
}

void PeerExchange::pullFleetDocument()
{
    const auto name = m_context.fleet.lock()->peerToPull(m_context.clock.now());
    if (!name)
        return;
    const auto peer = m_context.membership.lock()->find(*name);
    if (!peer) {
        m_context.fleet.lock()->recordPullFailure(*name);
        return;
    }
    wire::PeerRequest request = makeRequest(*name);
    wire::FleetQuery query;
    query.haveVersion = static_cast<std::int64_t>(m_context.fleet.lock()->fleetVersion());
    request.__set_fleetQuery(query);
    PeerCall call {.address = peer->address, .node = peer->node};
    call.timeout *= 2; // The document may be large.
    const auto reply = m_client.exchange(call, request);
    if (!reply) {
        m_context.fleet.lock()->recordPullFailure(*name);
        return;
    }
    applyAnswer(*reply);
    if (reply->answer.__isset.fleetDocument) {
        auto fleet = m_context.fleet.lock();
        fleet->adoptIfNewer(reply->answer.fleetDocument, FleetSource::Peer);
    }
}

} // namespace sesame
