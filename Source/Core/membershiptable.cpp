#include "Core/membershiptable.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace sesame {

namespace {

constexpr Duration forgetInterval = std::chrono::seconds(1);
constexpr Duration settleTime = std::chrono::seconds(10); //!< A rumour has ended by then.

RumourKind toKind(PeerState state)
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

PeerState toState(RumourKind kind)
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

// At the same incarnation the stronger statement wins: alive, suspect, dead, leaving.
bool overrides(PeerState state, std::int64_t incarnation, const Peer &known)
{
    if (incarnation != known.incarnation)
        return incarnation > known.incarnation;
    return static_cast<int>(state) > static_cast<int>(known.state);
}

std::string toText(const Endpoint &endpoint)
{
    return endpoint.host + ':' + std::to_string(endpoint.port);
}

// Splits the next word off the front of \a detail.
std::string_view takeWord(std::string_view *detail)
{
    const std::size_t space = std::min(detail->find(' '), detail->size());
    const std::string_view word = detail->substr(0, space);
    detail->remove_prefix(std::min(space + 1, detail->size()));
    return word;
}

bool readEndpoint(std::string_view text, Endpoint *endpoint)
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

bool readDetail(std::string_view detail, Peer *peer)
{
    if (!readEndpoint(takeWord(&detail), &peer->address)
        || !readEndpoint(takeWord(&detail), &peer->callerAddress))
        return false;
    peer->zone = detail;
    return true;
}

bool isLive(const Peer &peer)
{
    return peer.state == PeerState::Alive || peer.state == PeerState::Suspect;
}

bool isSame(const Endpoint &left, const Endpoint &right)
{
    return left.host == right.host && left.port == right.port;
}

} // namespace

MembershipTable::MembershipTable(Peer self, MembershipOptions options, std::mt19937_64 random)
    : m_self(std::move(self)), m_options(options), m_random(random)
{
    m_self.state = PeerState::Alive;
    enqueue(describe(m_self));
}

void MembershipTable::join(std::vector<Endpoint> seeds)
{
    m_seeds = std::move(seeds);
    std::erase_if(m_seeds, [this](const Endpoint &it) {
        return isSame(it, m_self.address);
    });
}

std::vector<ProbeAction> MembershipTable::tick(Timestamp now)
{
    std::vector<ProbeAction> actions;
    skipPause(now);
    checkProbe(now, actions);
    checkSuspicions(now);
    forget(now);
    startProbe(now, actions);
    pullState(now, actions);
    probeDead(now, actions);
    pushUrgent(now, actions);
    return actions;
}

// A process that was paused cannot tell a lost answer from one that it did not read in time.
void MembershipTable::skipPause(Timestamp now)
{
    if (!m_lastTick) {
        // A random phase keeps nodes that start together from probing at the same moment.
        std::uniform_int_distribution<Duration::rep> phase(0, m_options.probeInterval.count());
        m_nextProbe = now + Duration(phase(m_random));
        m_nextStatePull = now;
        m_nextDeadProbe = now + m_options.deadProbeInterval;
    } else if (now - *m_lastTick > m_options.probeInterval) {
        const Duration pause = now - *m_lastTick;
        m_probe.reset();
        m_nextStatePull = now;
        for (auto &[name, peer] : m_peers)
            peer.since += peer.state == PeerState::Suspect ? pause : Duration::zero();
    }
    m_lastTick = now;
}

template <typename Predicate>
std::vector<const Peer *> MembershipTable::pickLive(std::size_t count, Predicate matches)
{
    std::vector<const Peer *> live;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer) && matches(peer))
            live.push_back(&peer);
    }
    std::vector<const Peer *> picked;
    std::sample(live.begin(), live.end(), std::back_inserter(picked), count, m_random);
    return picked;
}

void MembershipTable::checkProbe(Timestamp now, std::vector<ProbeAction> &actions)
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
            // The sooner it hears of the suspicion, the sooner it can refute it.
            actions.push_back(push(ProbeKind::Push, it->second));
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
    for (const Peer *helper : pickLive(m_options.indirectProbes, isHelper)) {
        actions.push_back({.kind = ProbeKind::PingRequest,
                           .sequence = m_probe->sequence,
                           .node = helper->node,
                           .address = helper->address,
                           .target = m_probe->node,
                           .timeout = m_options.probeInterval - m_options.probeTimeout});
    }
}

void MembershipTable::checkSuspicions(Timestamp now)
{
    const Duration limit = suspicionTime();
    std::erase_if(m_suspects, [&](const std::string &name) {
        const auto it = m_peers.find(name);
        if (it == m_peers.end() || it->second.state != PeerState::Suspect)
            return true;
        if (now - it->second.since < limit)
            return false;
        changeState(it->second, PeerState::Dead, now);
        return true;
    });
}

void MembershipTable::forget(Timestamp now)
{
    if (now < m_nextForget)
        return;
    m_nextForget = now + forgetInterval;
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const Duration age = now - peer.since;
        return (peer.state == PeerState::Leaving && age > m_options.leavingRetention)
                || (peer.state == PeerState::Dead && age > m_options.deadRetention);
    });
    std::erase_if(m_notices, [&](const auto &entry) {
        return now - entry.second.since > m_options.noticeRetention;
    });
}

void MembershipTable::startProbe(Timestamp now, std::vector<ProbeAction> &actions)
{
    if (now < m_nextProbe || m_probe)
        return;
    m_nextProbe = std::max(m_nextProbe + m_options.probeInterval, now);
    const auto target = nextTarget();
    if (!target)
        return;
    const Peer &peer = m_peers.find(*target)->second;
    m_probe = Probe {.sequence = ++m_sequence, .node = *target, .started = now};
    actions.push_back({.kind = ProbeKind::Ping,
                       .sequence = m_sequence,
                       .node = peer.node,
                       .address = peer.address,
                       .target = {},
                       .timeout = m_options.probeInterval});
}

ProbeAction MembershipTable::push(ProbeKind kind, const Peer &peer) const
{
    return {.kind = kind,
            .node = peer.node,
            .address = peer.address,
            .target = {},
            .timeout = m_options.probeInterval};
}

void MembershipTable::pullState(Timestamp now, std::vector<ProbeAction> &actions)
{
    if (now < m_nextStatePull)
        return;
    const auto peers = pickLive(1, [](const Peer &) {
        return true;
    });
    if (!peers.empty()) {
        m_nextStatePull = now + m_options.stateInterval;
        actions.push_back(push(ProbeKind::StatePull, *peers.front()));
        return;
    }
    m_nextStatePull = now + m_options.joinInterval;
    // The own entry may have been sent often enough to nodes that were not up yet.
    enqueue(describe(m_self));
    for (const Endpoint &seed : m_seeds) {
        const Peer unnamed {.node = {}, .address = seed, .zone = {}, .since = now};
        actions.push_back(push(ProbeKind::StatePull, unnamed));
    }
}

// Both sides of a healed partition hold each other for dead and would never probe again.
void MembershipTable::probeDead(Timestamp now, std::vector<ProbeAction> &actions)
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
    actions.push_back(push(ProbeKind::Push, *dead[pick(m_random)]));
}

// Each push without an answer is repeated to a peer that was not tried yet, so that a cut towards
// some peers cannot hold back the notice.
void MembershipTable::pushUrgent(Timestamp now, std::vector<ProbeAction> &actions)
{
    std::size_t count = std::erase_if(m_pushes, [now](const auto &entry) {
        return entry.second <= now;
    });
    if (std::exchange(m_urgentWaiting, false)) {
        m_pushTried.clear();
        count = m_options.urgentFanout;
    }
    if (count == 0)
        return;
    const auto isUntried = [this](const Peer &peer) {
        return !m_pushTried.contains(peer.node);
    };
    for (const Peer *peer : pickLive(count, isUntried)) {
        m_pushTried.insert(peer->node);
        ProbeAction action = push(ProbeKind::Push, *peer);
        action.sequence = ++m_sequence;
        m_pushes[action.sequence] = now + action.timeout;
        actions.push_back(std::move(action));
    }
}

void MembershipTable::recordAck(std::int64_t sequence)
{
    if (m_probe && m_probe->sequence == sequence)
        m_probe.reset();
    m_pushes.erase(sequence);
}

std::vector<Rumour> MembershipTable::receive(std::span<const Rumour> rumours, Timestamp now)
{
    std::vector<Rumour> fresh;
    for (const Rumour &rumour : rumours) {
        if (accept(rumour, now))
            fresh.push_back(rumour);
    }
    return fresh;
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
    const bool inserted = m_notices
                                  .try_emplace(queueKey(rumour),
                                               Notice {.rumour = rumour, .since = now})
                                  .second;
    if (inserted)
        enqueue(rumour);
    return inserted;
}

bool MembershipTable::acceptOwnRumour(const Rumour &rumour)
{
    if (rumour.kind == RumourKind::NodeAlive) {
        // A later incarnation under this name can only be a newer process, or this one before a
        // restart with a clock that went back; rising above it keeps this process visible.
        if (rumour.incarnation <= m_self.incarnation)
            return false;
    } else if (rumour.incarnation < m_self.incarnation || m_leaving) {
        // The refutation did not reach the sender; answers of a slow node are lost, for example.
        if (rumour.kind != RumourKind::NodeLeaving)
            enqueue(describe(m_self));
        return false;
    } else if (rumour.kind == RumourKind::NodeLeaving) {
        return true;
    }
    m_self.incarnation = rumour.incarnation + 1;
    if (rumour.kind != RumourKind::NodeSuspect && m_lastTick)
        m_nextStatePull = *m_lastTick;
    enqueue(describe(m_self));
    m_urgentWaiting = true;
    return true;
}

bool MembershipTable::acceptNodeRumour(const Rumour &rumour, Timestamp now)
{
    const PeerState state = toState(rumour.kind);
    Peer heard {.node = rumour.subject,
                .address = {},
                .callerAddress = {},
                .zone = {},
                .incarnation = rumour.incarnation,
                .state = state,
                .since = now};
    if (!readDetail(rumour.detail, &heard))
        return false;
    const auto it = m_peers.find(rumour.subject);
    if (it != m_peers.end() && !overrides(state, rumour.incarnation, it->second)) {
        contradict(rumour, it->second, now);
        return false;
    }
    const bool leftBefore = it == m_peers.end() && !isLive(heard);
    if (state == PeerState::Suspect)
        m_suspects.insert(rumour.subject);
    m_peers.insert_or_assign(rumour.subject, std::move(heard));
    // The end of a node that was never known here concerns nobody else who asked this node.
    if (!leftBefore)
        enqueue(rumour);
    return true;
}

// Rumours end after a number of transmissions, so some nodes may have missed one. A peer that
// still spreads an older state long after a change shows that this happened.
void MembershipTable::contradict(const Rumour &rumour, const Peer &known, Timestamp now)
{
    const Rumour current = describe(known);
    if (rumour.incarnation == current.incarnation && rumour.kind == current.kind)
        return;
    if (now - known.since > settleTime && !m_queue.contains(queueKey(current)))
        enqueue(current);
}

void MembershipTable::changeState(Peer &peer, PeerState state, Timestamp now)
{
    peer.state = state;
    peer.since = now;
    if (state == PeerState::Suspect)
        m_suspects.insert(peer.node);
    enqueue(describe(peer));
}

std::string MembershipTable::queueKey(const Rumour &rumour)
{
    if (isNodeRumour(rumour.kind))
        return "node " + rumour.subject;
    return std::to_string(static_cast<int>(rumour.kind)) + ' ' + rumour.subject + ' '
            + std::to_string(rumour.incarnation) + ' ' + rumour.detail;
}

Rumour MembershipTable::describe(const Peer &peer) const
{
    return {.kind = toKind(peer.state),
            .subject = peer.node,
            .incarnation = peer.incarnation,
            .detail = toText(peer.address) + ' ' + toText(peer.callerAddress) + ' ' + peer.zone};
}

void MembershipTable::enqueue(const Rumour &rumour)
{
    m_queue.insert_or_assign(queueKey(rumour), QueuedRumour {.rumour = rumour, .firstSent = {}});
    m_urgentWaiting = m_urgentWaiting || rumourPriority(rumour.kind) == 0;
}

std::vector<Rumour> MembershipTable::rumoursToSend(std::size_t limit, std::string_view receiver)
{
    std::vector<Rumour> rumours;
    const auto it = m_peers.find(receiver);
    if (it != m_peers.end() && it->second.state != PeerState::Alive)
        rumours.push_back(describe(it->second));
    if (it == m_peers.end() && !receiver.empty() && receiver != m_self.node)
        rumours.push_back({.kind = RumourKind::NodeDead,
                           .subject = std::string(receiver),
                           .incarnation = 0,
                           .detail = "0.0.0.0:0 0.0.0.0:0 "});
    std::vector<QueuedRumour *> order;
    for (auto &[key, queued] : m_queue)
        order.push_back(&queued);
    std::stable_sort(order.begin(), order.end(), [](const auto *left, const auto *right) {
        return std::pair(rumourPriority(left->rumour.kind), left->sent)
                < std::pair(rumourPriority(right->rumour.kind), right->sent);
    });
    const std::size_t most = transmitLimit();
    std::size_t urgentLeft = m_options.urgentLimit;
    std::size_t repeatsLeft = m_options.urgentRepeats;
    for (QueuedRumour *queued : order) {
        const bool urgent = rumourPriority(queued->rumour.kind) == 0;
        std::size_t &left = !urgent ? limit : queued->sent < most ? urgentLeft : repeatsLeft;
        if (left == 0)
            continue;
        --left;
        rumours.push_back(queued->rumour);
        ++queued->sent;
        if (!queued->firstSent)
            queued->firstSent = m_lastTick;
    }
    std::erase_if(m_queue, [this](const auto &entry) {
        return isSpread(entry.second);
    });
    return rumours;
}

bool MembershipTable::isSpread(const QueuedRumour &queued) const
{
    if (queued.sent < transmitLimit())
        return false;
    return rumourPriority(queued.rumour.kind) > 0 || !queued.firstSent
            || *m_lastTick - *queued.firstSent >= m_options.urgentTime;
}

std::vector<Rumour> MembershipTable::allRumours() const
{
    std::vector<Rumour> rumours {describe(m_self)};
    for (const auto &[name, peer] : m_peers)
        rumours.push_back(describe(peer));
    for (const auto &[key, notice] : m_notices)
        rumours.push_back(notice.rumour);
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

// Shuffled rounds instead of independent draws bound the time until every peer was probed.
std::optional<std::string> MembershipTable::nextTarget()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_round.empty()) {
            std::string name = std::move(m_round.back());
            m_round.pop_back();
            const auto it = m_peers.find(name);
            if (it != m_peers.end() && isLive(it->second))
                return name;
        }
        for (const auto &[name, peer] : m_peers) {
            if (isLive(peer))
                m_round.push_back(name);
        }
        std::shuffle(m_round.begin(), m_round.end(), m_random);
    }
    return std::nullopt;
}

// Larger fleets need more rounds to carry a suspicion to its subject and the refutation back.
Duration MembershipTable::suspicionTime() const
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
