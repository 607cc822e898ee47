#include "Core/peertable.h"

namespace sesame {

void PeerTable::addListed(const std::string &node, const std::string &entryAddress,
                          const std::string &zone, Timestamp now)
{
    const auto [found, added] = m_peers.try_emplace(node);
    if (!added)
        return;
    found->second.firstKnown = now;
    found->second.report.node = node;
    found->second.report.entryAddress = entryAddress;
    found->second.report.zone = zone;
    found->second.report.ready = true;
}

std::map<std::string, double> PeerTable::observe(const wire::NodeReport &report, Timestamp now)
{
    const auto [found, added] = m_peers.try_emplace(report.node);
    PeerNode &peer = found->second;
    if (added)
        peer.firstKnown = now;
    const bool isHeard = peer.lastHeard != Timestamp {};
    const wire::NodeReport &last = peer.report;
    if (isHeard
        && (report.incarnation < last.incarnation
            || (report.incarnation == last.incarnation && report.sequence <= last.sequence)))
        return {};
    // What a peer spent before it was first heard is not charged: it lies before this node's own
    // start, or before the peer's silence was charged with its share.
    std::map<std::string, double> grown;
    if (isHeard) {
        const bool isSame = report.incarnation == last.incarnation;
        for (const auto &[account, consumed] : report.consumed) {
            const auto before = last.consumed.find(account);
            const bool isKnown = isSame && before != last.consumed.end();
            const double growth = consumed - (isKnown ? before->second : 0.0);
            if (growth != 0.0)
                grown[account] = growth;
        }
    }
    peer.report = report;
    peer.lastHeard = now;
    return grown;
}

std::vector<std::string> PeerTable::expire(Timestamp now)
{
    std::vector<std::string> gone;
    for (const auto &[name, peer] : m_peers) {
        const Timestamp last = std::max(peer.lastHeard, peer.firstKnown);
        if (now - last >= m_options.memory)
            gone.push_back(name);
    }
    for (const std::string &name : gone)
        m_peers.erase(name);
    return gone;
}

std::size_t PeerTable::sharers() const
{
    std::size_t n = 1;
    for (const auto &[name, peer] : m_peers)
        n += peer.report.leaving ? 0 : 1;
    return n;
}

std::int64_t PeerTable::newestConfig(Timestamp now) const
{
    std::int64_t newest = 0;
    for (const auto &[name, peer] : m_peers) {
        if (isInTouch(peer, now))
            newest = std::max(newest, peer.report.configVersion);
    }
    return newest;
}

const PeerNode *PeerTable::find(const std::string &name) const
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool PeerTable::isInTouch(const PeerNode &peer, Timestamp now) const
{
    return peer.lastHeard != Timestamp {} && now - peer.lastHeard < m_options.silence;
}

double PeerTable::silentShare(Timestamp now) const
{
    std::size_t silent = 0;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.report.leaving && !isInTouch(peer, now))
            ++silent;
    }
    return static_cast<double>(silent) / static_cast<double>(sharers());
}

std::vector<std::string> PeerTable::entryAddresses(Timestamp now, bool trustUnheard) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        const bool isUnheard = peer.lastHeard == Timestamp {};
        const bool isThere = isUnheard ? trustUnheard : isInTouch(peer, now);
        if (isThere && peer.report.ready && !peer.report.leaving)
            addresses.push_back(peer.report.entryAddress);
    }
    return addresses;
}

std::unordered_map<std::string, EngineLoad> PeerTable::engineLoads(Timestamp now) const
{
    std::unordered_map<std::string, EngineLoad> loads;
    for (const auto &[name, peer] : m_peers) {
        if (!isInTouch(peer, now))
            continue;
        for (const auto &[id, share] : peer.report.engines) {
            loads[id].requests += share.requests;
            loads[id].tokens += share.tokens;
        }
    }
    return loads;
}

std::unordered_map<std::uint64_t, CrashCount> PeerTable::crashCounts() const
{
    std::unordered_map<std::uint64_t, CrashCount> counts;
    for (const auto &[name, peer] : m_peers) {
        for (const auto &[fingerprint, share] : peer.report.crashes) {
            CrashCount &count = counts[static_cast<std::uint64_t>(fingerprint)];
            count.crashes += share.crashes;
            count.successes += share.successes;
        }
    }
    return counts;
}

} // namespace sesame
