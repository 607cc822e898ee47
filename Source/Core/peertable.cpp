#include "Core/peertable.h"

namespace sesame {

void PeerTable::addListedNode(const std::string &node, const std::string &entryAddress,
                              const std::string &zone, Timestamp now)
{
    const auto [found, added] = m_peers.try_emplace(node);
    if (!added)
        return;
    found->second.addedAt = now;
    found->second.report.node = node;
    found->second.report.entryAddress = entryAddress;
    found->second.report.zone = zone;
    found->second.report.ready = true;
}

std::map<std::string, double> PeerTable::recordReport(const wire::NodeReport &report, Timestamp now)
{
    const auto [found, added] = m_peers.try_emplace(report.node);
    PeerNode &peer = found->second;
    if (added)
        peer.addedAt = now;
    const bool hasReport = peer.lastReportAt != Timestamp {};
    const wire::NodeReport &last = peer.report;
    if (hasReport
        && (report.incarnation < last.incarnation
            || (report.incarnation == last.incarnation && report.sequence <= last.sequence)))
        return {};
    // Consumption before a peer's first report is not charged. It took place before this node
    // started, or before the silent peer's quota share was charged in its place.
    std::map<std::string, double> increases;
    if (hasReport) {
        const bool isSameIncarnation = report.incarnation == last.incarnation;
        for (const auto &[account, consumed] : report.consumed) {
            const auto before = last.consumed.find(account);
            const bool isKnown = isSameIncarnation && before != last.consumed.end();
            const double increase = consumed - (isKnown ? before->second : 0.0);
            if (increase != 0.0)
                increases[account] = increase;
        }
    }
    peer.report = report;
    peer.lastReportAt = now;
    return increases;
}

std::vector<std::string> PeerTable::removeExpired(Timestamp now)
{
    std::vector<std::string> removed;
    for (const auto &[name, peer] : m_peers) {
        const Timestamp last = std::max(peer.lastReportAt, peer.addedAt);
        if (now - last >= m_options.retention)
            removed.push_back(name);
    }
    for (const std::string &name : removed)
        m_peers.erase(name);
    return removed;
}

std::size_t PeerTable::quotaNodeCount() const
{
    std::size_t count = 1;
    for (const auto &[name, peer] : m_peers)
        count += peer.report.leaving ? 0 : 1;
    return count;
}

std::int64_t PeerTable::newestConfigVersion(Timestamp now) const
{
    std::int64_t newest = 0;
    for (const auto &[name, peer] : m_peers) {
        if (hasRecentReport(peer, now))
            newest = std::max(newest, peer.report.configVersion);
    }
    return newest;
}

const PeerNode *PeerTable::find(const std::string &name) const
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool PeerTable::hasRecentReport(const PeerNode &peer, Timestamp now) const
{
    return peer.lastReportAt != Timestamp {} && now - peer.lastReportAt < m_options.silenceLimit;
}

double PeerTable::silentQuotaShare(Timestamp now) const
{
    std::size_t silent = 0;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.report.leaving && !hasRecentReport(peer, now))
            ++silent;
    }
    return static_cast<double>(silent) / static_cast<double>(quotaNodeCount());
}

std::vector<std::string> PeerTable::entryAddresses(Timestamp now, bool includeUnreported) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        const bool isUnreported = peer.lastReportAt == Timestamp {};
        const bool isListed = isUnreported ? includeUnreported : hasRecentReport(peer, now);
        if (isListed && peer.report.ready && !peer.report.leaving)
            addresses.push_back(peer.report.entryAddress);
    }
    return addresses;
}

std::unordered_map<std::string, EngineLoad> PeerTable::engineLoads(Timestamp now) const
{
    std::unordered_map<std::string, EngineLoad> loads;
    for (const auto &[name, peer] : m_peers) {
        if (!hasRecentReport(peer, now))
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
