#include "support/virtualfleet.h"

#include "Adapter/peermessage.h"

#include <algorithm>

namespace sesame {

namespace {

using Millis = std::chrono::milliseconds;

constexpr Millis tickInterval {50};
constexpr std::size_t rumourLimit = 10;
constexpr std::uint64_t thriftHeaderBytes = 40; // Header of the Thrift call and of its fields.

std::uint64_t sealedSize(const std::string &sender, const std::vector<Rumour> &rumours)
{
    wire::PeerRequest request;
    request.__set_ping({});
    request.rumours = toWire(rumours);
    const auto sealed = sealRequest({.node = sender, .key = {}}, request, 0);
    return sealed.sender.size() + sealed.body.size() + sealed.authenticationCode.size()
            + thriftHeaderBytes;
}

// The port is the index of the node, so that an address identifies its node.
Endpoint addressOf(std::size_t node)
{
    return {.host = "10.0.0.1", .port = static_cast<std::uint16_t>(node)};
}

} // namespace

VirtualFleet::VirtualFleet(std::uint64_t seed, MembershipOptions options)
    : m_options(options), m_random(seed)
{
}

std::size_t VirtualFleet::start(const std::string &name)
{
    const std::size_t node = m_members.size();
    std::vector<Endpoint> seeds;
    for (std::size_t n = 0; n < node && seeds.size() < 3; ++n) {
        if (m_members[n].running && !m_members[n].leaving)
            seeds.push_back(addressOf(n));
    }
    const Peer self {.node = name,
                     .address = addressOf(node),
                     .zone = "zone-" + std::to_string(node % 4),
                     .incarnation = m_now.time_since_epoch().count(),
                     .stateSince = m_now};
    Member &member = m_members.emplace_back();
    member.name = name;
    member.table = std::make_unique<MembershipTable>(self, m_options, std::mt19937_64(m_random()));
    member.table->join(seeds);
    schedule(m_now + Millis(m_random() % tickInterval.count()), node, [this, node] {
        tickNode(node);
    });
    return node;
}

void VirtualFleet::startAll(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
        start("node-" + std::to_string(n));
    runUntil(
            [this] {
                return isConverged();
            },
            std::chrono::minutes(5));
}

void VirtualFleet::leave(std::size_t node)
{
    m_members[node].leaving = true;
    m_members[node].table->leave(m_now);
}

void VirtualFleet::isolate(std::size_t node)
{
    for (std::size_t n = 0; n < size(); ++n) {
        blockLink(node, n);
        blockLink(n, node);
    }
}

void VirtualFleet::run(Duration time)
{
    const Timestamp end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end)
        handleNextEvent();
    m_now = end;
}

std::optional<Duration> VirtualFleet::runUntil(const std::function<bool()> &condition,
                                               Duration limit)
{
    const Timestamp start = m_now;
    while (!condition()) {
        if (m_now - start >= limit)
            return std::nullopt;
        run(tickInterval);
    }
    return m_now - start;
}

bool VirtualFleet::isConverged() const
{
    std::vector<std::string> expected;
    for (const Member &it : m_members) {
        if (it.running && !it.leaving)
            expected.push_back(it.name);
    }
    std::sort(expected.begin(), expected.end());
    return std::all_of(m_members.begin(), m_members.end(), [&](const Member &it) {
        if (!it.running || it.leaving)
            return true;
        std::vector<std::string> listed;
        for (const Peer &peer : it.table->liveNodes())
            listed.push_back(peer.node);
        std::sort(listed.begin(), listed.end());
        return listed == expected;
    });
}

void VirtualFleet::schedule(Timestamp time, std::size_t node, std::function<void()> handle)
{
    m_events.push(
            {.time = time, .order = ++m_eventCount, .node = node, .handle = std::move(handle)});
}

void VirtualFleet::handleNextEvent()
{
    Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    const Member &member = m_members[event.node];
    if (!member.running)
        return;
    if (member.frozenUntil > m_now)
        schedule(member.frozenUntil, event.node, std::move(event.handle));
    else
        event.handle();
}

void VirtualFleet::tickNode(std::size_t node)
{
    schedule(m_now + tickInterval, node, [this, node] {
        tickNode(node);
    });
    MembershipTable *table = m_members[node].table.get();
    for (const MembershipMessage &action : table->tick(m_now)) {
        const std::size_t to = action.address.port;
        const auto onAck = [table, sequence = action.sequence] {
            table->recordAck(sequence);
        };
        if (action.kind != MembershipMessageKind::PingRequest) {
            send(node, to, action.kind == MembershipMessageKind::StatePull, action.timeout, onAck);
            continue;
        }
        const auto target = table->find(action.target);
        if (!target || drawLoss(node, to))
            continue;
        // The asked peer probes the target and then answers, which takes another transmission.
        schedule(m_now + drawLatency(), to,
                 [this, node, to, targetNode = target->address.port, onAck] {
                     send(to, targetNode, false, m_options.probeTimeout, [this, node, to, onAck] {
                         if (!drawLoss(to, node))
                             schedule(m_now + drawLatency(), node, onAck);
                     });
                 });
    }
}

void VirtualFleet::send(std::size_t from, std::size_t to, bool wantsState, Duration timeout,
                        const AckHandler &onAck)
{
    const auto rumours = takeRumoursFor(from, to, false);
    if (drawLoss(from, to))
        return;
    const Timestamp deadline = m_now + timeout;
    schedule(m_now + drawLatency(), to, [this, from, to, wantsState, deadline, onAck, rumours] {
        deliver(to, rumours);
        answer(to, from, wantsState, deadline, onAck);
    });
}

void VirtualFleet::answer(std::size_t from, std::size_t to, bool wantsState, Timestamp deadline,
                          const AckHandler &onAck)
{
    const auto rumours = takeRumoursFor(from, to, wantsState);
    if (drawLoss(from, to))
        return;
    const Timestamp arrival = m_now + m_members[from].answerDelay + drawLatency();
    schedule(arrival, to, [this, to, deadline, onAck, rumours] {
        if (m_now > deadline)
            return;
        deliver(to, rumours);
        onAck();
    });
}

void VirtualFleet::deliver(std::size_t node, const std::vector<Rumour> &rumours)
{
    const auto accepted = m_members[node].table->applyRumours(rumours, m_now);
    if (onRumoursAccepted && !accepted.empty())
        onRumoursAccepted(node, accepted);
}

std::vector<Rumour> VirtualFleet::takeRumoursFor(std::size_t from, std::size_t to, bool wantsState)
{
    Member &sender = m_members[from];
    auto rumours = wantsState ? sender.table->allRumours()
                              : sender.table->selectRumoursToSend(rumourLimit, m_members[to].name);
    if (!spreadNonNodeRumours)
        std::erase_if(rumours, [](const Rumour &it) {
            return !isNodeRumour(it.kind);
        });
    sender.sentBytes += sealedSize(sender.name, rumours);
    ++sender.sentMessages;
    return rumours;
}

bool VirtualFleet::drawLoss(std::size_t from, std::size_t to)
{
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    return m_blockedLinks.contains({from, to}) || (lossRate > 0.0 && draw(m_random) < lossRate);
}

// Returns the one-way latency within a region: 1 ms plus an exponentially distributed time with a
// mean of 1 ms.
Duration VirtualFleet::drawLatency()
{
    std::exponential_distribution<double> tail(1.0);
    return std::chrono::microseconds(1000 + static_cast<int>(1000.0 * tail(m_random)));
}

} // namespace sesame
