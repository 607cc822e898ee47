#include "support/exchangesimulation.h"

#include <algorithm>

namespace sesame::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration stepTime = 10ms;
constexpr Duration tickInterval = 100ms;
constexpr Duration storeReadInterval = 300ms;
constexpr Duration quotaWindow = 8s;
//! A node counts as undisturbed if no fault has affected it for this time.
constexpr Duration contactTime = 4s;
constexpr const char *account = "account";

std::int64_t millisOf(Timestamp time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

ExchangeSimulation::ExchangeSimulation(const Options &options)
    : m_options(options), m_random(options.seed)
{
    m_objects.push_back({.name = "object", .revision = m_revision, .content = "{}"});
    for (int zone = 0; zone < options.zones; ++zone) {
        for (int i = 0; i < options.nodesPerZone; ++i) {
            auto node = std::make_unique<Node>();
            node->zone = "z" + std::to_string(zone);
            node->name = node->zone + "-" + std::to_string(i);
            nodes.push_back(std::move(node));
        }
    }
    for (const auto &node : nodes)
        startNode(*node);
}

double ExchangeSimulation::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

std::size_t ExchangeSimulation::choose(std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
}

void ExchangeSimulation::startNode(Node &node)
{
    const bool isFirst = node.incarnation == 0;
    node.incarnation = millisOf(now);
    node.transitMeter = TransitMeter();
    wire::Member self;
    self.node = node.name;
    self.entryAddress = "10.0.0.1:80";
    self.ready = true;
    self.capacity = 120;
    node.peers = std::make_unique<PeerDirectory>(self, node.zone);
    node.tally = std::make_unique<DeploymentTally>(*node.peers);
    node.exchange = std::make_unique<ReportExchange>(*node.peers, *node.tally, node.incarnation);
    node.followPolicy = std::make_unique<FollowPolicy>(uniform());
    node.guard = std::make_unique<SuspensionGuard>(now);
    node.replica = ObjectReplica();
    node.peerKnownAt.reset();
    node.isFollowing = false;
    node.isFetching = false;
    node.bucket = QuotaBucket();
    node.bucket.setLimit(m_options.rate, m_options.burst, now);
    if (!isFirst)
        node.bucket.capLevel(0.25);
    node.startedAt = now;
    node.lastHeardAt = {};
    node.nextReport = now + stepTime * static_cast<int>(choose(12));
    listNodes(node);
}

/*!
    Lets \a node read the records of the nodes in the store.
*/
void ExchangeSimulation::listNodes(Node &node)
{
    const Duration interval = node.tally->isAggregator() ? 3s : 30s;
    node.nextNodeList = now + interval;
    if (!node.reachesStore)
        return;
    for (const auto &other : nodes) {
        if (other->name == node.name)
            continue;
        wire::Member member = node.peers->selfMember();
        member.node = other->name;
        node.peers->addListedNode(member, other->zone, now);
    }
}

void ExchangeSimulation::run(Duration time)
{
    const Timestamp end = now + time;
    while (now < end)
        step();
}

void ExchangeSimulation::step()
{
    now += stepTime;
    deliver();
    for (const auto &node : nodes) {
        if (!node->isRunning || node->isPaused)
            continue;
        node->guard->recordRun(now);
        followStore(*node);
        if (now >= node->nextNodeList)
            listNodes(*node);
        if (now >= node->nextReport)
            sendReports(*node);
    }
    grantRequests();
    checkKnowledge();
}

bool ExchangeSimulation::reaches(const Node &from, const Node &to) const
{
    return from.isRunning && to.isRunning && from.partition == to.partition;
}

void ExchangeSimulation::sendReports(Node &node)
{
    node.nextReport = now + node.exchange->interval(now);
    node.peers->removeExpired(now);
    ReportInputs inputs;
    inputs.sender.member = node.peers->selfMember();
    inputs.sender.zone = node.zone;
    inputs.sender.incarnation = node.incarnation;
    inputs.sender.engines = node.replica.version(now);
    inputs.sender.trueMillis = millisOf(now);
    inputs.own.consumed[account] = node.bucket.consumed();
    for (OutgoingDatagram &outgoing : node.exchange->makeDatagrams(inputs, now)) {
        ++datagrams;
        const Node *receiver = find(outgoing.receiver);
        if (!receiver || !reaches(node, *receiver) || uniform() < m_options.loss)
            continue;
        const auto datagram = std::make_shared<const wire::Datagram>(std::move(outgoing.datagram));
        const int copies = uniform() < m_options.duplicates ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            m_network.push_back({.at = now + stepTime * static_cast<int>(1 + choose(3)),
                                 .receiver = outgoing.receiver,
                                 .sender = node.name,
                                 .datagram = datagram});
    }
}

void ExchangeSimulation::deliver()
{
    std::deque<Delivery> waiting;
    for (Delivery &delivery : m_network) {
        Node *receiver = find(delivery.receiver);
        if (!receiver->isRunning)
            continue;
        // Datagrams wait in the socket of a suspended process.
        if (delivery.at > now || receiver->isPaused)
            waiting.push_back(std::move(delivery));
        else
            handle(*receiver, *delivery.datagram);
    }
    m_network = std::move(waiting);
    for (std::size_t i = 0; i < m_fetches.size();) {
        if (m_fetches[i].first > now) {
            ++i;
            continue;
        }
        const auto done = m_fetches[i].second;
        m_fetches.erase(m_fetches.begin() + static_cast<std::ptrdiff_t>(i));
        done();
    }
}

void ExchangeSimulation::handle(Node &node, const wire::Datagram &datagram)
{
    node.guard->recordRun(now);
    if (node.guard->mustDiscard(now) || !node.exchange->isAcceptable(datagram))
        return;
    node.lastHeardAt = now;
    const TallyGrowth growth = node.exchange->apply(datagram, now);
    for (const auto &[name, n] : growth.consumed)
        node.bucket.chargePeerUsage(n, now);
    for (const auto &[name, n] : growth.late)
        node.bucket.chargeLateUsage(n);
    const wire::StateVersion &version = datagram.sender.engines;
    if (version.ageMillis < 0)
        return;
    const Timestamp sentAt = now
            - node.transitMeter.measure(datagram.sender.member.node, datagram.sender.incarnation,
                                        datagram.sender.trueMillis, millisOf(now));
    const Timestamp knownAt = sentAt - std::chrono::milliseconds(version.ageMillis);
    node.peerKnownAt = node.peerKnownAt ? std::max(*node.peerKnownAt, knownAt) : knownAt;
    node.replica.confirm(version, sentAt);
    if (!node.replica.hasState() || version.revision > node.replica.revision())
        fetch(node, datagram.sender.member.node);
}

void ExchangeSimulation::fetch(Node &node, const std::string &source)
{
    if (node.isFetching)
        return;
    node.isFetching = true;
    const Timestamp start = now;
    const std::int64_t since = node.replica.hasState() ? node.replica.revision() : -1;
    m_fetches.emplace_back(
            now + 2 * stepTime, [this, &node, source, start, since, boot = node.incarnation] {
                if (boot != node.incarnation)
                    return;
                node.isFetching = false;
                const Node *peer = find(source);
                if (node.isRunning && !node.isPaused && !peer->isPaused && reaches(*peer, node)
                    && peer->replica.hasState())
                    node.replica.applyUpdate(peer->replica.changesSince(since, start), start);
            });
}

void ExchangeSimulation::followStore(Node &node)
{
    const bool isStarting = !node.replica.hasState() && now - node.startedAt < 1500ms;
    const auto followers = node.peers->storeFollowers(now);
    FollowInputs inputs;
    inputs.isFollower = std::find(followers.begin(), followers.end(), node.name) != followers.end();
    inputs.isAggregator = node.tally->isAggregator();
    inputs.hearsPeers = now - node.lastHeardAt < node.followPolicy->isolationLimit();
    inputs.age = node.replica.age(now);
    if (node.peerKnownAt)
        inputs.peerAge = now - *node.peerKnownAt;
    if (!isStarting || inputs.isFollower)
        node.isFollowing = node.followPolicy->update(inputs, now);
    if (!node.isFollowing || now < node.nextStoreRead)
        return;
    node.nextStoreRead = now + storeReadInterval;
    ++storeReads;
    if (node.reachesStore)
        node.replica.applyListing(m_objects, m_revision, now, std::nullopt);
}

void ExchangeSimulation::grantRequests()
{
    const double perStep = m_options.requestsPerSecond
            * std::chrono::duration<double>(stepTime).count();
    double n = 0.0;
    for (int i = 0; i < static_cast<int>(perStep); ++i) {
        Node &node = *nodes[choose(nodes.size())];
        if (!node.isRunning || node.isPaused)
            continue;
        node.bucket.refill(now, node.tally->quotaShares(now).silentShare(),
                           node.peers->silenceLimit());
        if (node.bucket.tryTake(1.0))
            n += 1.0;
    }
    granted += static_cast<std::int64_t>(n);
    m_grants.emplace_back(now, n);
    m_windowGrants += n;
    while (now - m_grants.front().first >= quotaWindow) {
        m_windowGrants -= m_grants.front().second;
        m_grants.pop_front();
    }
    largestWindow = std::max(largestWindow, m_windowGrants);
}

void ExchangeSimulation::checkKnowledge()
{
    for (const auto &[revision, time] : m_changes) {
        for (const auto &node : nodes) {
            if (!node->isRunning || node->isPaused || !node->replica.hasState()
                || node->replica.revision() >= revision)
                continue;
            const Duration missing = now - time;
            worstAgeError = std::max(worstAgeError, missing - *node->replica.age(now));
            const Timestamp calmSince = std::max(node->disturbedAt, node->startedAt) + contactTime;
            if (time >= calmSince && node->reachesStore && node->partition == 0)
                worstDelay = std::max(worstDelay, missing);
        }
    }
    std::erase_if(m_changes, [this](const auto &change) {
        return now - change.second > 10s;
    });
}

void ExchangeSimulation::changeStore()
{
    ++m_revision;
    m_objects.front().revision = m_revision;
    m_changes.emplace_back(m_revision, now);
}

void ExchangeSimulation::kill(Node &node)
{
    node.isRunning = false;
    node.isPaused = false;
    node.disturbedAt = now;
}

void ExchangeSimulation::restart(Node &node)
{
    node.isRunning = true;
    node.disturbedAt = now;
    startNode(node);
}

void ExchangeSimulation::setPaused(Node &node, bool paused)
{
    node.isPaused = paused;
    node.disturbedAt = now;
}

void ExchangeSimulation::setReachesStore(Node &node, bool reaches)
{
    node.reachesStore = reaches;
    node.disturbedAt = now;
}

void ExchangeSimulation::setPartition(Node &node, int partition)
{
    node.partition = partition;
    node.disturbedAt = now;
}

std::vector<ExchangeSimulation::Node *> ExchangeSimulation::nodesOf(const std::string &zone)
{
    std::vector<Node *> found;
    for (const auto &node : nodes) {
        if (node->zone == zone)
            found.push_back(node.get());
    }
    return found;
}

ExchangeSimulation::Node *ExchangeSimulation::find(const std::string &name)
{
    const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const auto &node) {
        return node->name == name;
    });
    return found == nodes.end() ? nullptr : found->get();
}

} // namespace sesame::test
