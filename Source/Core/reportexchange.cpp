#include "Core/reportexchange.h"

#include "Core/wireformat.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Up to this number of nodes, reports are sent at the shorter interval.
constexpr int smallDeployment = 16;
//! Nodes choose engines and grant quotas based on the last report that they received. A shorter
//! interval costs more processor time because each datagram has to be processed.
constexpr Duration shortInterval = 120ms;
constexpr Duration longInterval = 200ms;
//! Intervals without a datagram after which a node counts as silent.
constexpr int silentIntervals = 4;
//! Interval at which lists of nodes are repeated although they have not changed.
constexpr Duration listInterval = 1s;
//! Interval at which a node tries to reach aggregators that it believes not to run.
constexpr Duration probeInterval = 1s;

} // namespace

bool ReportExchange::SentList::isDue(const std::string &current, Timestamp now)
{
    if (current == bytes && now - sentAt < listInterval)
        return false;
    bytes = current;
    sentAt = now;
    return true;
}

Duration ReportExchange::interval(Timestamp now) const
{
    return m_tally.quotaShares(now).nodes <= smallDeployment ? shortInterval : longInterval;
}

std::vector<OutgoingDatagram> ReportExchange::makeDatagrams(const ReportInputs &inputs,
                                                            Timestamp now)
{
    m_peers.setSilenceLimit(silentIntervals * interval(now));
    m_peers.setSelf(inputs.sender.member);
    m_tally.removeExpired(now);
    const std::vector<std::string> aggregators = m_peers.aggregators(m_peers.zone(), now);
    const bool isAggregator = std::find(aggregators.begin(), aggregators.end(), m_peers.self())
            != aggregators.end();
    m_tally.setAggregator(isAggregator);
    wire::Datagram base;
    base.version = formatVersion;
    base.sender = inputs.sender;
    base.sender.sequence = ++m_sequence;
    m_tally.recordOwnReport(m_sequence, inputs.own);
    m_isProbing = now >= m_nextProbe;
    if (m_isProbing)
        m_nextProbe = now + probeInterval;
    std::vector<OutgoingDatagram> datagrams;
    addMemberReports(datagrams, base, inputs, now);
    // A node that others regard as an aggregator acts as one, whatever it knows itself.
    if (isAggregator || !m_tally.digestReceivers(now).empty()) {
        addZoneReports(datagrams, base, inputs, now);
        addDigests(datagrams, base, inputs, now);
    }
    return datagrams;
}

bool ReportExchange::isAcceptable(const wire::Datagram &datagram) const
{
    const std::string &node = datagram.sender.member.node;
    return datagram.version == formatVersion && !node.empty() && node != m_peers.self();
}

TallyGrowth ReportExchange::apply(const wire::Datagram &datagram, Timestamp now)
{
    const wire::Sender &sender = datagram.sender;
    const std::string &node = sender.member.node;
    m_peers.recordSender(sender, now);
    TallyGrowth growth;
    if (datagram.__isset.member)
        growth = m_tally.recordMember(sender, datagram.member, now);
    if (datagram.__isset.zone) {
        growth = m_tally.recordZone(sender, datagram.zone, now);
        if (datagram.zone.__isset.members)
            m_peers.recordMembers(node, sender.zone, datagram.zone.members, now);
    }
    if (datagram.__isset.digest) {
        growth = m_tally.recordDigest(sender, datagram.digest, now);
        for (const wire::ZoneMembers &zone : datagram.digest.zones)
            m_peers.recordMembers(node, zone.zone, zone.members, now);
    }
    return growth;
}

/*!
    Chooses the aggregator that this node asks for digests. One that does not answer is not chosen
    again for some time.
*/
void ReportExchange::choosePrimary(const std::vector<std::string> &aggregators, Timestamp now)
{
    const PeerNode *primary = m_peers.find(m_primary);
    if (primary && now - m_primarySince >= m_peers.silenceLimit()
        && !m_peers.isHeard(*primary, now)) {
        m_peers.suspect(m_primary, now);
        m_primary.clear();
    }
    std::vector<std::string> usable;
    for (const std::string &name : aggregators) {
        const PeerNode *peer = m_peers.find(name);
        if (peer && now >= peer->suspectUntil)
            usable.push_back(name);
    }
    if (std::find(usable.begin(), usable.end(), m_primary) != usable.end())
        return;
    m_primary.clear();
    if (usable.empty())
        return;
    // Spreads the nodes of the zone over its aggregators.
    const std::string &self = m_peers.self();
    m_primary = usable[XXH3_64bits(self.data(), self.size()) % usable.size()];
    m_primarySince = now;
}

void ReportExchange::addMemberReports(std::vector<OutgoingDatagram> &datagrams,
                                      const wire::Datagram &base, const ReportInputs &inputs,
                                      Timestamp now)
{
    const bool isAggregator = m_tally.isAggregator();
    if (isAggregator)
        m_primary.clear();
    else
        choosePrimary(m_peers.aggregators(m_peers.zone(), now), now);
    wire::MemberReport report;
    report.tally = inputs.own;
    if (isAggregator)
        report.unheard = m_tally.unheardMembers(now);
    const std::vector<std::string> aggregators = m_peers.aggregators(m_peers.zone(), now);
    std::set<std::string> receivers(aggregators.begin(), aggregators.end());
    if (m_isProbing) {
        for (const std::string &name : m_peers.usualAggregators(m_peers.zone()))
            receivers.insert(name);
    }
    receivers.erase(m_peers.self());
    wire::Datagram datagram = base;
    for (const std::string &name : receivers) {
        report.wantsDigest = name == m_primary;
        datagram.__set_member(report);
        datagrams.push_back({.receiver = name, .datagram = datagram});
    }
}

void ReportExchange::addZoneReports(std::vector<OutgoingDatagram> &datagrams,
                                    const wire::Datagram &base, const ReportInputs &inputs,
                                    Timestamp now)
{
    wire::ZoneReport report = m_tally.makeZoneReport(inputs.own, now);
    report.tally.began = inputs.zoneBegan;
    wire::ZoneMembers members;
    members.members = m_peers.runningMembers(m_peers.zone(), now);
    if (m_sentMembers.isDue(encodeWire(members), now))
        report.__set_members(members.members);
    std::set<std::string> receivers;
    for (const std::string &zone : m_peers.zones()) {
        if (zone == m_peers.zone())
            continue;
        for (const std::string &name : m_peers.aggregators(zone, now))
            receivers.insert(name);
        if (!m_isProbing)
            continue;
        for (const std::string &name : m_peers.usualAggregators(zone))
            receivers.insert(name);
    }
    for (const std::string &name : m_tally.activeAggregators(now))
        receivers.insert(name);
    wire::Datagram datagram = base;
    datagram.__set_zone(report);
    for (const std::string &name : receivers)
        datagrams.push_back({.receiver = name, .datagram = datagram});
}

void ReportExchange::addDigests(std::vector<OutgoingDatagram> &datagrams,
                                const wire::Datagram &base, const ReportInputs &inputs,
                                Timestamp now)
{
    const std::vector<std::string> receivers = m_tally.digestReceivers(now);
    if (receivers.empty())
        return;
    std::vector<wire::ZoneMembers> zones;
    std::string bytes;
    for (const std::string &zone : m_peers.zones()) {
        wire::ZoneMembers members;
        members.zone = zone;
        members.members = m_peers.runningMembers(zone, now);
        bytes += encodeWire(members);
        zones.push_back(std::move(members));
    }
    wire::Digest digest = m_tally.makeDigest(inputs.own, now);
    if (m_sentZones.isDue(bytes, now))
        digest.__set_zones(zones);
    wire::Datagram datagram = base;
    for (const std::string &name : receivers) {
        m_tally.addressDigest(digest, name, now);
        datagram.__set_digest(digest);
        datagrams.push_back({.receiver = name, .datagram = datagram});
    }
}

} // namespace sesame
