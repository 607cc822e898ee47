#include "support/virtualfleet.h"

#include "Adapter/peermessage.h"

#include <algorithm>

namespace sesame {

namespace {

using Millis = std::chrono::milliseconds;

constexpr Millis tickInterval {50};
constexpr std::size_t rumourLimit = 10;
constexpr std::uint64_t envelopeBytes = 40; // Thrift's call header and field headers.

std::uint64_t wireBytes(const std::string &sender, const std::vector<Rumour> &rumours)
{
    wire::PeerRequest request;
    request.__set_ping({});
    request.rumours = toWire(rumours);
    const auto sealed = sealRequest({.node = sender, .key = {}}, request, 0);
    return sealed.sender.size() + sealed.body.size() + sealed.authenticationCode.size()
            + envelopeBytes;
}

// The port is the index, so that addresses lead back to nodes.
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
                     .since = m_now};
    Member &member = m_members.emplace_back();
    member.name = name;
    member.table = std::make_unique<MembershipTable>(self, m_options, std::mt19937_64(m_random()));
    member.table->join(seeds);
    schedule(m_now + Millis(m_random() % tickInterval.count()), node, [this, node] {
        tick(node);
    });
    return node;
}

void VirtualFleet::startAll(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
        start("node-" + std::to_string(n));
    runUntil(
            [this] {
                return agree();
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
        cut(node, n);
        cut(n, node);
    }
}

void VirtualFleet::run(Duration time)
{
    const Timestamp end = m_now + time;
    while (!m_events.empty() && m_events.top().time <= end)
        step();
    m_now = end;
}

std::optional<Duration> VirtualFleet::runUntil(const std::function<bool()> &holds, Duration limit)
{
    const Timestamp start = m_now;
    while (!holds()) {
        if (m_now - start >= limit)
            return std::nullopt;
        run(tickInterval);
    }
    return m_now - start;
}

bool VirtualFleet::agree() const
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
    m_events.push({.time = time, .order = ++m_steps, .node = node, .handle = std::move(handle)});
}

void VirtualFleet::step()
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

void VirtualFleet::tick(std::size_t node)
{
    schedule(m_now + tickInterval, node, [this, node] {
        tick(node);
    });
    MembershipTable *table = m_members[node].table.get();
    for (const ProbeAction &action : table->tick(m_now)) {
        const std::size_t to = action.address.port;
        const auto acked = [table, sequence = action.sequence] {
            table->recordAck(sequence);
        };
        if (action.kind != ProbeKind::PingRequest) {
            send(node, to, action.kind == ProbeKind::StatePull, action.timeout, acked);
            continue;
        }
        const auto target = table->find(action.target);
        if (!target || isLost(node, to))
            continue;
        // The helper probes the target and then answers, which costs another way back.
        schedule(m_now + latency(), to, [this, node, to, end = target->address.port, acked] {
            send(to, end, false, m_options.probeTimeout, [this, node, to, acked] {
                if (!isLost(to, node))
                    schedule(m_now + latency(), node, acked);
            });
        });
    }
}

void VirtualFleet::send(std::size_t from, std::size_t to, bool wantsState, Duration timeout,
                        const AckHandler &acked)
{
    const auto rumours = rumoursFor(from, to, false);
    if (isLost(from, to))
        return;
    const Timestamp deadline = m_now + timeout;
    schedule(m_now + latency(), to, [this, from, to, wantsState, deadline, acked, rumours] {
        deliver(to, rumours);
        answer(to, from, wantsState, deadline, acked);
    });
}

void VirtualFleet::answer(std::size_t from, std::size_t to, bool wantsState, Timestamp deadline,
                          const AckHandler &acked)
{
    const auto rumours = rumoursFor(from, to, wantsState);
    if (isLost(from, to))
        return;
    const Timestamp arrival = m_now + m_members[from].answerDelay + latency();
    schedule(arrival, to, [this, to, deadline, acked, rumours] {
        if (m_now > deadline)
            return;
        deliver(to, rumours);
        acked();
    });
}

void VirtualFleet::deliver(std::size_t node, const std::vector<Rumour> &rumours)
{
    const auto fresh = m_members[node].table->receive(rumours, m_now);
    if (received && !fresh.empty())
        received(node, fresh);
}

std::vector<Rumour> VirtualFleet::rumoursFor(std::size_t from, std::size_t to, bool wantsState)
{
    Member &sender = m_members[from];
    auto rumours = wantsState ? sender.table->allRumours()
                              : sender.table->rumoursToSend(rumourLimit, m_members[to].name);
    if (!spreadRumours)
        std::erase_if(rumours, [](const Rumour &it) {
            return !isNodeRumour(it.kind);
        });
    sender.sentBytes += wireBytes(sender.name, rumours);
    ++sender.sentMessages;
    return rumours;
}

bool VirtualFleet::isLost(std::size_t from, std::size_t to)
{
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    return m_cuts.contains({from, to}) || (lossRate > 0.0 && draw(m_random) < lossRate);
}

// One way within a region: 1 ms, with a tail of a few milliseconds.
Duration VirtualFleet::latency()
{
    std::exponential_distribution<double> tail(1.0);
    return std::chrono::microseconds(1000 + static_cast<int>(1000.0 * tail(m_random)));
}

} // namespace sesame
