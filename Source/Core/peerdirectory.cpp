#include "Core/peerdirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace sesame {

Timestamp PeerNode::lastSeenAt() const
{
    Timestamp last = std::max(heardAt, addedAt);
    for (const auto &[source, time] : listedBy)
        last = std::max(last, time);
    return last;
}

PeerDirectory::PeerDirectory(const wire::Member &self, std::string zone,
                             PeerDirectoryOptions options)
    : m_options(options), m_self(self), m_zone(std::move(zone))
{
}

void PeerDirectory::addListedNode(const wire::Member &member, const std::string &zone,
                                  Timestamp now)
{
    const auto [found, added] = m_peers.try_emplace(member.node);
    if (!added)
        return;
    found->second.member = member;
    found->second.zone = zone;
    found->second.addedAt = now;
}

bool PeerDirectory::recordSender(const wire::Sender &sender, Timestamp now)
{
    const auto [found, added] = m_peers.try_emplace(sender.member.node);
    PeerNode &peer = found->second;
    peer.member = sender.member;
    peer.zone = sender.zone;
    peer.heardAt = now;
    peer.suspectUntil = {};
    if (added)
        peer.addedAt = now;
    return added;
}

void PeerDirectory::recordMembers(const std::string &source, const std::string &zone,
                                  std::span<const wire::Member> members, Timestamp now)
{
    for (const wire::Member &member : members) {
        if (member.node == m_self.node)
            continue;
        const auto [found, added] = m_peers.try_emplace(member.node);
        PeerNode &peer = found->second;
        // What a node says of itself goes before what others say.
        if (!isHeard(peer, now))
            peer.member = member;
        peer.zone = zone;
        peer.listedBy[source] = now;
        if (added)
            peer.addedAt = now;
    }
    for (auto &[name, peer] : m_peers) {
        if (peer.zone != zone)
            continue;
        const auto listed = peer.listedBy.find(source);
        if (listed != peer.listedBy.end() && listed->second != now)
            peer.listedBy.erase(listed);
    }
}

void PeerDirectory::suspect(const std::string &node, Timestamp now)
{
    const auto found = m_peers.find(node);
    if (found != m_peers.end())
        found->second.suspectUntil = now + m_options.suspicion;
}

std::vector<std::string> PeerDirectory::removeExpired(Timestamp now)
{
    std::vector<std::string> removed;
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.lastSeenAt() >= m_options.retention)
            removed.push_back(name);
    }
    for (const std::string &name : removed)
        m_peers.erase(name);
    return removed;
}

std::vector<std::string> PeerDirectory::aggregators(const std::string &zone, Timestamp now) const
{
    return rank(zone, [&](const PeerNode &peer) {
        if (now < peer.suspectUntil)
            return false;
        const bool isUnseen = peer.heardAt == Timestamp {} && peer.listedBy.empty();
        return isRunning(peer, now) || (isUnseen && now - peer.addedAt < m_options.discoveryTime);
    });
}

std::vector<std::string> PeerDirectory::usualAggregators(const std::string &zone) const
{
    return rank(zone, [](const PeerNode &) {
        return true;
    });
}

std::vector<std::string>
PeerDirectory::rank(const std::string &zone,
                    const std::function<bool(const PeerNode &)> &isCandidate) const
{
    using Rank = std::tuple<int, std::uint64_t, std::string>;
    std::vector<Rank> ranked;
    const auto add = [&ranked](const wire::Member &member) {
        const std::string &name = member.node;
        ranked.emplace_back(-member.capacity, XXH3_64bits(name.data(), name.size()), name);
    };
    if (zone == m_zone && !m_self.leaving)
        add(m_self);
    for (const auto &[name, peer] : m_peers) {
        if (peer.zone == zone && !peer.member.leaving && isCandidate(peer))
            add(peer.member);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    for (const Rank &rank : ranked) {
        if (names.size() == m_options.aggregatorsPerZone)
            break;
        names.push_back(std::get<std::string>(rank));
    }
    return names;
}

std::vector<std::string> PeerDirectory::storeFollowers(Timestamp now) const
{
    // The first aggregators of all zones come before the second ones.
    std::vector<std::tuple<std::size_t, std::uint64_t, std::string>> ranked;
    for (const std::string &zone : zones()) {
        const std::vector<std::string> nodes = aggregators(zone, now);
        for (std::size_t place = 0; place < nodes.size(); ++place)
            ranked.emplace_back(place, XXH3_64bits(zone.data(), zone.size()), nodes[place]);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> followers;
    for (const auto &item : ranked) {
        if (followers.size() < m_options.storeFollowers)
            followers.push_back(std::get<std::string>(item));
    }
    return followers;
}

bool PeerDirectory::isHeard(const PeerNode &peer, Timestamp now) const
{
    return peer.heardAt != Timestamp {} && now - peer.heardAt < m_silenceLimit;
}

bool PeerDirectory::isRunning(const PeerNode &peer, Timestamp now) const
{
    if (isHeard(peer, now))
        return true;
    return std::any_of(peer.listedBy.begin(), peer.listedBy.end(), [&](const auto &listed) {
        return now - listed.second < m_options.listingLimit;
    });
}

std::vector<wire::Member> PeerDirectory::runningMembers(const std::string &zone,
                                                        Timestamp now) const
{
    std::vector<wire::Member> members;
    if (zone == m_zone)
        members.push_back(m_self);
    for (const auto &[name, peer] : m_peers) {
        if (peer.zone == zone && isRunning(peer, now))
            members.push_back(peer.member);
    }
    return members;
}

int PeerDirectory::nodeCount(const std::string &zone) const
{
    const auto n = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return item.second.zone == zone && !item.second.member.leaving;
    });
    return static_cast<int>(n) + (zone == m_zone ? 1 : 0);
}

int PeerDirectory::unheardCount(Timestamp now) const
{
    const auto n = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        const PeerNode &peer = item.second;
        return peer.zone == m_zone && !peer.member.leaving && !isHeard(peer, now);
    });
    return static_cast<int>(n);
}

std::vector<std::string> PeerDirectory::zones() const
{
    std::set<std::string> names {m_zone};
    for (const auto &[name, peer] : m_peers)
        names.insert(peer.zone);
    return {names.begin(), names.end()};
}

std::vector<std::string> PeerDirectory::entryAddresses(Timestamp now, bool includeUnseen) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, peer] : m_peers) {
        const bool isUnseen = peer.heardAt == Timestamp {} && peer.listedBy.empty();
        const bool isUsed = isUnseen ? includeUnseen : isRunning(peer, now);
        if (isUsed && peer.member.ready && !peer.member.leaving)
            addresses.push_back(peer.member.entryAddress);
    }
    return addresses;
}

const PeerNode *PeerDirectory::find(const std::string &name) const
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

} // namespace sesame
