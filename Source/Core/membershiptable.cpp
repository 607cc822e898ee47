#include "Core/membershiptable.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace sesame {

namespace {

constexpr Duration removalInterval = std::chrono::seconds(1);
// After this time, the transmissions of a rumour have ended.
constexpr Duration rumourSpreadTime = std::chrono::seconds(10);

RumourKind toRumourKind(PeerState state)
{
    switch (state) {
    case PeerState::Alive:
        return RumourKind::NodeAlive;
    case PeerState::Suspect:
        return RumourKind::NodeSuspect;
    case PeerState::Dead:
        return RumourKind::NodeDead;
    case PeerState::Leaving:
        break;
    }
    return RumourKind::NodeLeaving;
}

PeerState toPeerState(RumourKind kind)
{
    switch (kind) {
    case RumourKind::NodeAlive:
        return PeerState::Alive;
    case RumourKind::NodeSuspect:
        return PeerState::Suspect;
    case RumourKind::NodeDead:
        return PeerState::Dead;
    default:
        return PeerState::Leaving;
    }
}

// Returns whether the reported state replaces the known one. A higher incarnation always wins. At
// the same incarnation the precedence increases in the order alive, suspect, dead, leaving.
bool overrides(PeerState state, std::int64_t incarnation, const Peer &known)
{
    if (incarnation != known.incarnation)
        return incarnation > known.incarnation;
    return static_cast<int>(state) > static_cast<int>(known.state);
}

std::string formatAddress(const Endpoint &endpoint)
{
    return endpoint.host + ':' + std::to_string(endpoint.port);
}

// Removes the first word from \a detail and returns it.
std::string_view takeFirstWord(std::string_view *detail)
{
    const std::size_t space = std::min(detail->find(' '), detail->size());
    const std::string_view word = detail->substr(0, space);
    detail->remove_prefix(std::min(space + 1, detail->size()));
    return word;
}

bool parseAddress(std::string_view text, Endpoint *endpoint)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const char *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data() + colon + 1, end, endpoint->port);
    if (ec != std::errc() || last != end)
        return false;
    endpoint->host = text.substr(0, colon);
    return true;
}

bool parseDetail(std::string_view detail, Peer *peer)
{
    if (!parseAddress(takeFirstWord(&detail), &peer->address)
        || !parseAddress(takeFirstWord(&detail), &peer->callerAddress))
        return false;
    peer->zone = detail;
    return true;
}

bool isLive(const Peer &peer)
{
    return peer.state == PeerState::Alive || peer.state == PeerState::Suspect;
}

bool isSameAddress(const Endpoint &left, const Endpoint &right)
{
    return left.host == right.host && left.port == right.port;
}

} // namespace

MembershipTable::MembershipTable(Peer self, MembershipOptions options, std::mt19937_64 random)
    : m_self(std::move(self)), m_options(options), m_random(random)
{
    m_self.state = PeerState::Alive;
    enqueue(makeNodeRumour(m_self));
}

void MembershipTable::join(std::vector<Endpoint> seeds)
{
    m_seeds = std::move(seeds);
    std::erase_if(m_seeds, [this](const Endpoint &it) {
        return isSameAddress(it, m_self.address);
    });
}

std::vector<MembershipMessage> MembershipTable::tick(Timestamp now)
{
    std::vector<MembershipMessage> messages;
    handleProcessPause(now);
    checkProbe(now, messages);
    checkSuspicions(now);
    removeExpired(now);
    startProbe(now, messages);
    requestState(now, messages);
    contactDeadPeer(now, messages);
    pushUrgentRumours(now, messages);
    return messages;
}

// After a pause the process cannot distinguish a lost answer from one that it did not read in time.
// The running probe is therefore discarded, and the pause does not count towards suspicion
// timeouts.
void MembershipTable::handleProcessPause(Timestamp now)
{
    if (!m_lastTick) {
        // A random phase prevents nodes that start together from probing at the same time.
        std::uniform_int_distribution<Duration::rep> phase(0, m_options.probeInterval.count());
        m_nextProbe = now + Duration(phase(m_random));
        m_nextStatePull = now;
        m_nextDeadProbe = now + m_options.deadProbeInterval;
    } else if (now - *m_lastTick > m_options.probeInterval) {
        const Duration pause = now - *m_lastTick;
        m_probe.reset();
        m_nextStatePull = now;
        for (auto &[name, peer] : m_peers)
            peer.stateSince += peer.state == PeerState::Suspect ? pause : Duration::zero();
    }
    m_lastTick = now;
}

template <typename Predicate>
std::vector<const Peer *> MembershipTable::sampleLivePeers(std::size_t count, Predicate matches)
{
    std::vector<const Peer *> live;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer) && matches(peer))
            live.push_back(&peer);
    }
    std::vector<const Peer *> sample;
    std::sample(live.begin(), live.end(), std::back_inserter(sample), count, m_random);
    return sample;
}

void MembershipTable::checkProbe(Timestamp now, std::vector<MembershipMessage> &messages)
{
    if (!m_probe)
        return;
    const auto it = m_peers.find(m_probe->node);
    if (it == m_peers.end() || !isLive(it->second)) {
        m_probe.reset();
        return;
    }
    if (now >= m_probe->started + m_options.probeInterval) {
        if (it->second.state == PeerState::Alive) {
            ++m_suspicionCount;
            changeState(it->second, PeerState::Suspect, now);
            // Informing the peer of the suspicion at once lets it refute the suspicion early.
            messages.push_back(makeMessage(MembershipMessageKind::Push, it->second));
        }
        m_probe.reset();
        return;
    }
    if (m_probe->indirect || now < m_probe->started + m_options.probeTimeout)
        return;
    m_probe->indirect = true;
    const auto isHelper = [this](const Peer &peer) {
        return peer.node != m_probe->node;
    };
    for (const Peer *helper : sampleLivePeers(m_options.indirectProbeCount, isHelper)) {
        messages.push_back({.kind = MembershipMessageKind::PingRequest,
                            .sequence = m_probe->sequence,
                            .node = helper->node,
                            .address = helper->address,
                            .target = m_probe->node,
                            .timeout = m_options.probeInterval - m_options.probeTimeout});
    }
}

void MembershipTable::checkSuspicions(Timestamp now)
{
    const Duration limit = scaledSuspicionTime();
    std::erase_if(m_suspects, [&](const std::string &name) {
        const auto it = m_peers.find(name);
        if (it == m_peers.end() || it->second.state != PeerState::Suspect)
            return true;
        if (now - it->second.stateSince < limit)
            return false;
        changeState(it->second, PeerState::Dead, now);
        return true;
    });
}

void MembershipTable::removeExpired(Timestamp now)
{
    if (now < m_nextRemoval)
        return;
    m_nextRemoval = now + removalInterval;
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const Duration age = now - peer.stateSince;
        return (peer.state == PeerState::Leaving && age > m_options.leavingRetention)
                || (peer.state == PeerState::Dead && age > m_options.deadRetention);
    });
    std::erase_if(m_nonNodeRumours, [&](const auto &entry) {
        return now - entry.second.acceptedAt > m_options.nonNodeRumourRetention;
    });
}

void MembershipTable::startProbe(Timestamp now, std::vector<MembershipMessage> &messages)
{
    if (now < m_nextProbe || m_probe)
        return;
    m_nextProbe = std::max(m_nextProbe + m_options.probeInterval, now);
    const auto target = takeNextProbeTarget();
    if (!target)
        return;
    const Peer &peer = m_peers.find(*target)->second;
    m_probe = Probe {.sequence = ++m_lastSequence, .node = *target, .started = now};
    messages.push_back({.kind = MembershipMessageKind::Ping,
                        .sequence = m_lastSequence,
                        .node = peer.node,
                        .address = peer.address,
                        .target = {},
                        .timeout = m_options.probeInterval});
}

MembershipMessage MembershipTable::makeMessage(MembershipMessageKind kind, const Peer &peer) const
{
    return {.kind = kind,
            .node = peer.node,
            .address = peer.address,
            .target = {},
            .timeout = m_options.probeInterval};
}

void MembershipTable::requestState(Timestamp now, std::vector<MembershipMessage> &messages)
{
    if (now < m_nextStatePull)
        return;
    const auto peers = sampleLivePeers(1, [](const Peer &) {
        return true;
    });
    if (!peers.empty()) {
        m_nextStatePull = now + m_options.stateExchangeInterval;
        messages.push_back(makeMessage(MembershipMessageKind::StatePull, *peers.front()));
        return;
    }
    m_nextStatePull = now + m_options.joinRetryInterval;
    // The rumour about this node may have used up its transmissions on nodes that were not running
    // yet, so it is queued again.
    enqueue(makeNodeRumour(m_self));
    for (const Endpoint &seed : m_seeds) {
        const Peer seedPeer {.node = {}, .address = seed, .zone = {}, .stateSince = now};
        messages.push_back(makeMessage(MembershipMessageKind::StatePull, seedPeer));
    }
}

// After a partition each side regards the nodes of the other side as dead, and dead nodes are not
// probed. A message to a random dead node lets the two sides find each other again.
void MembershipTable::contactDeadPeer(Timestamp now, std::vector<MembershipMessage> &messages)
{
    if (now < m_nextDeadProbe)
        return;
    m_nextDeadProbe = now + m_options.deadProbeInterval;
    std::vector<const Peer *> dead;
    for (const auto &[name, peer] : m_peers) {
        if (peer.state == PeerState::Dead)
            dead.push_back(&peer);
    }
    if (dead.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, dead.size() - 1);
    messages.push_back(makeMessage(MembershipMessageKind::Push, *dead[pick(m_random)]));
}

// Each push without an answer is repeated to a peer that has not received it yet, so that a network
// fault between this node and some peers cannot delay the rumour.
void MembershipTable::pushUrgentRumours(Timestamp now, std::vector<MembershipMessage> &messages)
{
    std::size_t count = std::erase_if(m_pushDeadlines, [now](const auto &entry) {
        return entry.second <= now;
    });
    if (std::exchange(m_hasUnpushedUrgent, false)) {
        m_pushReceivers.clear();
        count = m_options.urgentFanout;
    }
    if (count == 0)
        return;
    const auto isNotYetTried = [this](const Peer &peer) {
        return !m_pushReceivers.contains(peer.node);
    };
    for (const Peer *peer : sampleLivePeers(count, isNotYetTried)) {
        m_pushReceivers.insert(peer->node);
        MembershipMessage message = makeMessage(MembershipMessageKind::Push, *peer);
        message.sequence = ++m_lastSequence;
        m_pushDeadlines[message.sequence] = now + message.timeout;
        messages.push_back(std::move(message));
    }
}

void MembershipTable::recordAck(std::int64_t sequence)
{
    if (m_probe && m_probe->sequence == sequence)
        m_probe.reset();
    m_pushDeadlines.erase(sequence);
}

std::vector<Rumour> MembershipTable::applyRumours(std::span<const Rumour> rumours, Timestamp now)
{
    std::vector<Rumour> accepted;
    for (const Rumour &rumour : rumours) {
        if (accept(rumour, now))
            accepted.push_back(rumour);
    }
    return accepted;
}

bool MembershipTable::announce(const Rumour &rumour, Timestamp now)
{
    return accept(rumour, now);
}

bool MembershipTable::accept(const Rumour &rumour, Timestamp now)
{
    if (isNodeRumour(rumour.kind))
        return rumour.subject == m_self.node ? acceptOwnRumour(rumour)
                                             : acceptNodeRumour(rumour, now);
    const bool inserted = m_nonNodeRumours
                                  .try_emplace(queueKey(rumour),
                                               StoredRumour {.rumour = rumour, .acceptedAt = now})
                                  .second;
    if (inserted)
        enqueue(rumour);
    return inserted;
}

bool MembershipTable::acceptOwnRumour(const Rumour &rumour)
{
    if (rumour.kind == RumourKind::NodeAlive) {
        // A higher incarnation of this node name belongs to a newer process, or to this node before
        // a restart with a clock that was set back. Exceeding it keeps this process visible.
        if (rumour.incarnation <= m_self.incarnation)
            return false;
    } else if (rumour.incarnation < m_self.incarnation || m_leaving) {
        // The sender has not received the refutation, for example because answers of a slow node
        // are lost.
        if (rumour.kind != RumourKind::NodeLeaving)
            enqueue(makeNodeRumour(m_self));
        return false;
    } else if (rumour.kind == RumourKind::NodeLeaving) {
        return true;
    }
    m_self.incarnation = rumour.incarnation + 1;
    if (rumour.kind != RumourKind::NodeSuspect && m_lastTick)
        m_nextStatePull = *m_lastTick;
    enqueue(makeNodeRumour(m_self));
    m_hasUnpushedUrgent = true;
    return true;
}

bool MembershipTable::acceptNodeRumour(const Rumour &rumour, Timestamp now)
{
    const PeerState state = toPeerState(rumour.kind);
    Peer reported {.node = rumour.subject,
                   .address = {},
                   .callerAddress = {},
                   .zone = {},
                   .incarnation = rumour.incarnation,
                   .state = state,
                   .stateSince = now};
    if (!parseDetail(rumour.detail, &reported))
        return false;
    const auto it = m_peers.find(rumour.subject);
    if (it != m_peers.end() && !overrides(state, rumour.incarnation, it->second)) {
        respreadNewerState(rumour, it->second, now);
        return false;
    }
    const bool isUnknownAndGone = it == m_peers.end() && !isLive(reported);
    if (state == PeerState::Suspect)
        m_suspects.insert(rumour.subject);
    m_peers.insert_or_assign(rumour.subject, std::move(reported));
    // If this node never knew the node as alive, its death or leave is not spread further.
    if (!isUnknownAndGone)
        enqueue(rumour);
    return true;
}

// Rumours are sent a limited number of times, so some nodes may miss one. If a peer still sends an
// older state long after a change, it missed the rumour, which is then queued again.
void MembershipTable::respreadNewerState(const Rumour &rumour, const Peer &known, Timestamp now)
{
    const Rumour current = makeNodeRumour(known);
    if (rumour.incarnation == current.incarnation && rumour.kind == current.kind)
        return;
    if (now - known.stateSince > rumourSpreadTime && !m_rumourQueue.contains(queueKey(current)))
        enqueue(current);
}

void MembershipTable::changeState(Peer &peer, PeerState state, Timestamp now)
{
    peer.state = state;
    peer.stateSince = now;
    if (state == PeerState::Suspect)
        m_suspects.insert(peer.node);
    enqueue(makeNodeRumour(peer));
}

std::string MembershipTable::queueKey(const Rumour &rumour)
{
    if (isNodeRumour(rumour.kind))
        return "node " + rumour.subject;
    return std::to_string(static_cast<int>(rumour.kind)) + ' ' + rumour.subject + ' '
            + std::to_string(rumour.incarnation) + ' ' + rumour.detail;
}

Rumour MembershipTable::makeNodeRumour(const Peer &peer) const
{
    return {.kind = toRumourKind(peer.state),
            .subject = peer.node,
            .incarnation = peer.incarnation,
            .detail = formatAddress(peer.address) + ' ' + formatAddress(peer.callerAddress) + ' '
                    + peer.zone};
}

void MembershipTable::enqueue(const Rumour &rumour)
{
    m_rumourQueue.insert_or_assign(queueKey(rumour),
                                   QueuedRumour {.rumour = rumour, .firstSent = {}});
    m_hasUnpushedUrgent = m_hasUnpushedUrgent || rumourPriority(rumour.kind) == 0;
}

std::vector<Rumour> MembershipTable::selectRumoursToSend(std::size_t limit,
                                                         std::string_view receiver)
{
    std::vector<Rumour> rumours;
    const auto it = m_peers.find(receiver);
    if (it != m_peers.end() && it->second.state != PeerState::Alive)
        rumours.push_back(makeNodeRumour(it->second));
    if (it == m_peers.end() && !receiver.empty() && receiver != m_self.node)
        rumours.push_back({.kind = RumourKind::NodeDead,
                           .subject = std::string(receiver),
                           .incarnation = 0,
                           .detail = "0.0.0.0:0 0.0.0.0:0 "});
    std::vector<QueuedRumour *> sorted;
    for (auto &[key, queued] : m_rumourQueue)
        sorted.push_back(&queued);
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto *left, const auto *right) {
        return std::pair(rumourPriority(left->rumour.kind), left->sendCount)
                < std::pair(rumourPriority(right->rumour.kind), right->sendCount);
    });
    const std::size_t maxSends = transmitLimit();
    std::size_t urgentRemaining = m_options.maxUrgentPerMessage;
    std::size_t resendsRemaining = m_options.maxUrgentResendsPerMessage;
    for (QueuedRumour *queued : sorted) {
        const bool isUrgent = rumourPriority(queued->rumour.kind) == 0;
        std::size_t &remaining = !isUrgent     ? limit
                : queued->sendCount < maxSends ? urgentRemaining
                                               : resendsRemaining;
        if (remaining == 0)
            continue;
        --remaining;
        rumours.push_back(queued->rumour);
        ++queued->sendCount;
        if (!queued->firstSent)
            queued->firstSent = m_lastTick;
    }
    std::erase_if(m_rumourQueue, [this](const auto &entry) {
        return hasBeenSpread(entry.second);
    });
    return rumours;
}

bool MembershipTable::hasBeenSpread(const QueuedRumour &queued) const
{
    if (queued.sendCount < transmitLimit())
        return false;
    return rumourPriority(queued.rumour.kind) > 0 || !queued.firstSent
            || *m_lastTick - *queued.firstSent >= m_options.minUrgentSpreadTime;
}

std::vector<Rumour> MembershipTable::allRumours() const
{
    std::vector<Rumour> rumours {makeNodeRumour(m_self)};
    for (const auto &[name, peer] : m_peers)
        rumours.push_back(makeNodeRumour(peer));
    for (const auto &[key, stored] : m_nonNodeRumours)
        rumours.push_back(stored.rumour);
    return rumours;
}

void MembershipTable::leave(Timestamp now)
{
    m_leaving = true;
    changeState(m_self, PeerState::Leaving, now);
}

std::vector<Peer> MembershipTable::liveNodes() const
{
    std::vector<Peer> nodes;
    if (!m_leaving)
        nodes.push_back(m_self);
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer))
            nodes.push_back(peer);
    }
    return nodes;
}

std::optional<Peer> MembershipTable::find(std::string_view node) const
{
    if (node == m_self.node)
        return m_self;
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return std::nullopt;
    return it->second;
}

// Probing the peers in shuffled rounds, instead of picking each target independently, bounds the
// time until every peer has been probed.
std::optional<std::string> MembershipTable::takeNextProbeTarget()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_remainingProbeTargets.empty()) {
            std::string name = std::move(m_remainingProbeTargets.back());
            m_remainingProbeTargets.pop_back();
            const auto it = m_peers.find(name);
            if (it != m_peers.end() && isLive(it->second))
                return name;
        }
        for (const auto &[name, peer] : m_peers) {
            if (isLive(peer))
                m_remainingProbeTargets.push_back(name);
        }
        std::shuffle(m_remainingProbeTargets.begin(), m_remainingProbeTargets.end(), m_random);
    }
    return std::nullopt;
}

// In larger fleets a suspicion and its refutation need more gossip rounds to spread.
Duration MembershipTable::scaledSuspicionTime() const
{
    const double scale = std::max(1.0, std::log10(static_cast<double>(m_peers.size() + 1)));
    return Duration(static_cast<Duration::rep>(
            scale * static_cast<double>(m_options.suspicionTime.count())));
}

std::size_t MembershipTable::transmitLimit() const
{
    const double nodes = static_cast<double>(m_peers.size()) + 2.0;
    return m_options.transmitFactor * static_cast<std::size_t>(std::ceil(std::log2(nodes)));
}

} // namespace sesame
