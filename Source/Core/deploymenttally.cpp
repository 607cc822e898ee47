#include "Core/deploymenttally.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Own reports that are kept to tell which part of a digest is this node's own.
constexpr std::size_t maxOwnReports = 32;
//! A node that sent a report or a sum within this time still gets the answers to it.
constexpr Duration activityLimit = 1s;
//! Loads of the last digest are used for this time when no new one arrives, because old loads are
//! closer to the truth than none.
constexpr Duration loadRetention = 2s;

//! Engines whose delays a datagram contains, about. Each takes 20 bytes.
constexpr std::size_t maxDelaysPerDatagram = 100;
//! Time after which the delays of other engines are reported, at least the interval of reports.
constexpr Duration delayRotation = 200ms;

template <typename Map>
void addTo(Map &sum, const Map &growth)
{
    for (const auto &[key, n] : growth)
        sum[key] += n;
}

//! Returns the growth of \a after over \a before. Keys that \a before lacks started at zero.
template <typename Map>
Map growthOf(const Map &before, const Map &after)
{
    Map growth;
    for (const auto &[key, n] : after) {
        const auto known = before.find(key);
        const auto increase = n - (known == before.end() ? 0 : known->second);
        if (increase != 0)
            growth[key] = increase;
    }
    return growth;
}

//! Takes the late part out of the consumed units, which contain it.
void splitLate(TallyGrowth &growth)
{
    for (auto &[account, late] : growth.late) {
        double &consumed = growth.consumed[account];
        late = std::min(late, std::max(consumed, 0.0));
        consumed -= late;
    }
    const auto isZero = [](const auto &item) {
        return item.second == 0.0;
    };
    std::erase_if(growth.consumed, isZero);
    std::erase_if(growth.late, isZero);
}

void addLoads(wire::Tally &sum, const wire::Tally &part)
{
    for (const auto &[id, share] : part.engines) {
        wire::EngineShare &total = sum.engines[id];
        total.requests += share.requests;
        total.tokens += share.tokens;
        // Nodes without uneven engines report no unread tokens and no delays.
        if (share.__isset.unreadTokens)
            total.__set_unreadTokens(total.unreadTokens + share.unreadTokens);
        if (share.__isset.delayWeight && share.__isset.weightedLogDelay) {
            total.__set_delayWeight(total.delayWeight + share.delayWeight);
            total.__set_weightedLogDelay(total.weightedLogDelay + share.weightedLogDelay);
        }
    }
}

/*!
    Keeps the observed delays of some of \a engines, of others at another time. They change slowly,
    and a datagram with those of all engines would be too large in large deployments.
*/
void limitDelays(std::map<std::string, wire::EngineShare> &engines, Timestamp now)
{
    const std::size_t parts = 1 + engines.size() / maxDelaysPerDatagram;
    const auto part = static_cast<std::size_t>(now.time_since_epoch() / delayRotation) % parts;
    std::size_t i = 0;
    for (auto &[id, share] : engines) {
        const bool isKept = i++ % parts == part;
        share.__isset.delayWeight = share.__isset.delayWeight && isKept;
        share.__isset.weightedLogDelay = share.__isset.weightedLogDelay && isKept;
    }
}

EngineLoad loadOf(const wire::EngineShare &share)
{
    EngineLoad load {.requests = share.requests, .tokens = share.tokens};
    load.unreadTokens = share.unreadTokens;
    if (share.__isset.delayWeight && share.__isset.weightedLogDelay)
        load.delay = {.weight = share.delayWeight, .weightedLog = share.weightedLogDelay};
    return load;
}

void addCrashes(wire::Tally &sum, const wire::Tally &part)
{
    for (const auto &[fingerprint, share] : part.crashes) {
        wire::CrashShare &total = sum.crashes[fingerprint];
        total.crashes += share.crashes;
        total.successes += share.successes;
    }
    mergePromptEvidence(sum.prompts, part.prompts);
}

//! Adds the evidence of roll-outs. A deployment has few roll-outs at a time, so the lists are
//! short.
void addVersions(wire::Tally &sum, const wire::Tally &part)
{
    for (const wire::VersionEvidence &item : part.versions) {
        const auto found = std::find_if(
                sum.versions.begin(), sum.versions.end(), [&](const wire::VersionEvidence &known) {
                    return known.serviceName == item.serviceName && known.order == item.order
                            && known.version == item.version && known.route == item.route;
                });
        if (found == sum.versions.end()) {
            sum.versions.push_back(item);
            continue;
        }
        found->sent += item.sent;
        found->answers += item.answers;
        found->failures += item.failures;
        found->logTimeSum += item.logTimeSum;
        found->logTimeSquareSum += item.logTimeSquareSum;
    }
}

} // namespace

TallyGrowth DeploymentTally::recordMember(const wire::Sender &sender,
                                          const wire::MemberReport &report, Timestamp now)
{
    MemberEntry &member = m_members[sender.member.node];
    const Counters &known = member.counters;
    if (isLate(known.incarnation, known.sequence, member.receivedAt, sender, now))
        return {};
    const bool wasSilent = !isFresh(member.receivedAt, now);
    const TallyGrowth growth = update(member.counters, sender, report.tally, wasSilent);
    member.report = report;
    member.receivedAt = now;
    addTo(m_zoneTotal.consumed, growth.consumed);
    addTo(m_zoneTotal.late, growth.late);
    addTo(m_zoneTotal.refused, growth.refused);
    addTo(m_zoneTotal.promptTokens, growth.promptTokens);
    addToTotal(growth);
    return m_isAggregator ? growth : TallyGrowth {};
}

TallyGrowth DeploymentTally::recordZone(const wire::Sender &sender, const wire::ZoneReport &report,
                                        Timestamp now)
{
    ZoneEntry &zone = m_zones[sender.zone];
    ZoneSource &source = zone.sources[sender.member.node];
    const Counters &known = source.counters;
    if (isLate(known.incarnation, known.sequence, source.receivedAt, sender, now))
        return {};
    const bool wasSilent = !isFresh(source.receivedAt, now);
    const TallyGrowth growth = update(source.counters, sender, report.tally, wasSilent);
    source.report = report;
    source.receivedAt = now;
    const ZoneSource *current = currentSource(zone);
    if (!current || !isFresh(current->receivedAt, now))
        zone.current = sender.member.node;
    if (zone.current != sender.member.node)
        return {};
    addToTotal(growth);
    return m_isAggregator ? growth : TallyGrowth {};
}

TallyGrowth DeploymentTally::recordDigest(const wire::Sender &sender, const wire::Digest &digest,
                                          Timestamp now)
{
    const std::string &node = sender.member.node;
    DigestSource &source = m_digestSources[node];
    if (isLate(source.incarnation, source.sequence, source.receivedAt, sender, now))
        return {};
    const bool isCurrentFresh = isFresh(m_digestAt, now);
    if (!isCurrentFresh || m_currentDigestSource.empty())
        m_currentDigestSource = node;
    const bool isCurrent = m_currentDigestSource == node;
    if (isCurrent) {
        m_digest = digest;
        m_digestAt = now;
    }
    const wire::Tally *own = ownReport(digest.acknowledged);
    source.sequence = sender.sequence;
    if (!own) {
        source.incarnation = sender.incarnation;
        return {};
    }
    TallyGrowth growth;
    if (source.incarnation == sender.incarnation && source.receivedAt != Timestamp {}) {
        const auto ownGrowth = growthOf(source.ownConsumed, own->consumed);
        for (const auto &[account, n] : growthOf(source.consumed, digest.consumed)) {
            const auto found = ownGrowth.find(account);
            const double others = n - (found == ownGrowth.end() ? 0.0 : found->second);
            if (others > 0.0)
                growth.consumed[account] = others;
        }
        growth.late = growthOf(source.late, digest.late);
        if (!isFresh(source.receivedAt, now))
            growth.late = growth.consumed;
        splitLate(growth);
    }
    source.incarnation = sender.incarnation;
    source.consumed = digest.consumed;
    source.late = digest.late;
    source.ownConsumed = own->consumed;
    source.receivedAt = now;
    return isCurrent && !m_isAggregator ? growth : TallyGrowth {};
}

void DeploymentTally::recordOwnReport(std::int64_t sequence, const wire::Tally &tally)
{
    m_ownReports.emplace_back(sequence, tally);
    if (m_ownReports.size() > maxOwnReports)
        m_ownReports.pop_front();
}

void DeploymentTally::removeExpired(Timestamp now)
{
    std::erase_if(m_members, [&](const auto &item) {
        return !m_peers.find(item.first);
    });
    for (auto &[name, zone] : m_zones) {
        std::erase_if(zone.sources, [&](const auto &item) {
            return !m_peers.find(item.first);
        });
        // The aggregator that reports now takes over from one that has fallen silent.
        const ZoneSource *current = currentSource(zone);
        if (current && isFresh(current->receivedAt, now))
            continue;
        for (const auto &[node, source] : zone.sources) {
            if (isFresh(source.receivedAt, now))
                zone.current = node;
        }
    }
    std::erase_if(m_zones, [](const auto &item) {
        return item.second.sources.empty();
    });
    std::erase_if(m_digestSources, [&](const auto &item) {
        return !m_peers.find(item.first);
    });
}

wire::ZoneReport DeploymentTally::makeZoneReport(const wire::Tally &own, Timestamp now) const
{
    wire::ZoneReport report;
    wire::Tally &tally = report.tally;
    tally.consumed = own.consumed;
    tally.refused = own.refused;
    addTo(tally.consumed, m_zoneTotal.consumed);
    addTo(tally.consumed, m_zoneTotal.late);
    tally.late = m_zoneTotal.late;
    addTo(tally.refused, m_zoneTotal.refused);
    if (own.__isset.promptTokens) {
        tally.__set_promptTokens(own.promptTokens);
        addTo(tally.promptTokens, m_zoneTotal.promptTokens);
    }
    addLoads(tally, own);
    addCrashes(tally, own);
    addVersions(tally, own);
    addMembers(tally, now);
    limitDelays(tally.engines, now);
    tally.__isset.versions = !tally.versions.empty();
    // An aggregator's own steps are the latest that it has heard of.
    if (own.__isset.rolloutSteps)
        tally.__set_rolloutSteps(own.rolloutSteps);
    report.nodes = nodesInZone(m_peers.zone(), now);
    report.silent = silentInZone(m_peers.zone(), now);
    return report;
}

wire::Digest DeploymentTally::makeDigest(const wire::Tally &own, Timestamp now) const
{
    wire::Digest digest;
    wire::Tally sum = sumOfPeers(now);
    addLoads(sum, own);
    addCrashes(sum, own);
    limitDelays(sum.engines, now);
    digest.engines = std::move(sum.engines);
    digest.crashes = std::move(sum.crashes);
    digest.prompts = sum.prompts;
    if (own.__isset.rolloutSteps)
        digest.__set_rolloutSteps(own.rolloutSteps);
    digest.consumed = own.consumed;
    addTo(digest.consumed, m_total.consumed);
    addTo(digest.consumed, m_total.late);
    digest.late = m_total.late;
    for (const std::string &zone : m_peers.zones()) {
        digest.nodes += nodesInZone(zone, now);
        digest.silent += silentInZone(zone, now);
    }
    return digest;
}

void DeploymentTally::addressDigest(wire::Digest &digest, const std::string &receiver,
                                    Timestamp now) const
{
    const auto member = m_members.find(receiver);
    digest.acknowledged = member == m_members.end() ? 0 : member->second.counters.sequence;
    digest.counted = std::none_of(m_members.begin(), m_members.end(), [&](const auto &item) {
        const std::vector<std::string> &unheard = item.second.report.unheard;
        return isFresh(item.second.receivedAt, now)
                && std::find(unheard.begin(), unheard.end(), receiver) != unheard.end();
    });
}

std::vector<std::string> DeploymentTally::unheardMembers(Timestamp now) const
{
    std::vector<std::string> unheard;
    for (const auto &[name, peer] : m_peers.peers()) {
        if (peer.zone == m_peers.zone() && m_peers.isRunning(peer, now)
            && !m_peers.isHeard(peer, now))
            unheard.push_back(name);
    }
    return unheard;
}

std::vector<std::string> DeploymentTally::digestReceivers(Timestamp now) const
{
    std::vector<std::string> receivers;
    for (const auto &[node, member] : m_members) {
        if (member.report.wantsDigest && now - member.receivedAt < activityLimit)
            receivers.push_back(node);
    }
    return receivers;
}

std::vector<std::string> DeploymentTally::activeAggregators(Timestamp now) const
{
    std::vector<std::string> nodes;
    for (const auto &[name, zone] : m_zones) {
        for (const auto &[node, source] : zone.sources) {
            if (now - source.receivedAt < activityLimit)
                nodes.push_back(node);
        }
    }
    return nodes;
}

std::unordered_map<std::string, EngineLoad> DeploymentTally::peerLoads(Timestamp now) const
{
    std::unordered_map<std::string, EngineLoad> loads;
    if (m_isAggregator) {
        for (const auto &[id, share] : sumOfPeers(now).engines)
            loads[id] = loadOf(share);
        return loads;
    }
    if (now - m_digestAt >= loadRetention)
        return loads;
    const wire::Tally *own = ownReport(m_digest.acknowledged);
    for (const auto &[id, share] : m_digest.engines) {
        EngineLoad load = loadOf(share);
        if (own) {
            const auto part = own->engines.find(id);
            if (part != own->engines.end()) {
                load.requests = std::max(load.requests - part->second.requests, 0);
                load.tokens = std::max<std::int64_t>(load.tokens - part->second.tokens, 0);
                load.unreadTokens = std::max<std::int64_t>(
                        load.unreadTokens - part->second.unreadTokens, 0);
                load.delay.weight -= part->second.delayWeight;
                load.delay.weightedLog -= part->second.weightedLogDelay;
            }
        }
        loads[id] = load;
    }
    return loads;
}

std::unordered_map<std::uint64_t, CrashCount> DeploymentTally::peerCrashCounts(Timestamp now) const
{
    std::unordered_map<std::uint64_t, CrashCount> counts;
    const auto add = [&counts](const std::map<std::int64_t, wire::CrashShare> &crashes, int sign) {
        for (const auto &[fingerprint, share] : crashes) {
            CrashCount &count = counts[static_cast<std::uint64_t>(fingerprint)];
            count.crashes += sign * share.crashes;
            count.successes += sign * share.successes;
        }
    };
    if (m_isAggregator) {
        add(sumOfPeers(now).crashes, 1);
        return counts;
    }
    add(m_digest.crashes, 1);
    if (const wire::Tally *own = ownReport(m_digest.acknowledged))
        add(own->crashes, -1);
    for (auto &[fingerprint, count] : counts) {
        count.crashes = std::max<std::int64_t>(count.crashes, 0);
        count.successes = std::max<std::int64_t>(count.successes, 0);
    }
    return counts;
}

wire::PromptEvidence DeploymentTally::peerPromptEvidence(Timestamp now) const
{
    return m_isAggregator ? sumOfPeers(now).prompts : m_digest.prompts;
}

std::vector<wire::VersionEvidence> DeploymentTally::versionEvidence(const wire::Tally &own,
                                                                    Timestamp now) const
{
    wire::Tally sum = sumOfPeers(now);
    addVersions(sum, own);
    return sum.versions;
}

QuotaShares DeploymentTally::quotaShares(Timestamp now) const
{
    QuotaShares shares {.nodes = 0, .silent = 0};
    if (m_isAggregator) {
        for (const std::string &zone : m_peers.zones()) {
            shares.nodes += nodesInZone(zone, now);
            shares.silent += silentInZone(zone, now);
        }
    } else if (hasFreshDigest(now) && m_digest.counted) {
        shares = {.nodes = m_digest.nodes, .silent = m_digest.silent};
    } else {
        shares.nodes = std::max(m_digest.nodes, static_cast<int>(m_peers.peers().size()) + 1);
        shares.silent = shares.nodes - 1;
    }
    shares.nodes = std::max(shares.nodes, 1);
    shares.silent = std::clamp(shares.silent, 0, shares.nodes - 1);
    return shares;
}

bool DeploymentTally::hasFreshDigest(Timestamp now) const
{
    return isFresh(m_digestAt, now);
}

bool DeploymentTally::isFresh(Timestamp time, Timestamp now) const
{
    return time != Timestamp {} && now - time < m_peers.silenceLimit();
}

/*!
    Returns whether a datagram from \a sender is older than the last one from that node, of
    \a incarnation and \a sequence. A process may have an earlier start time than the one before it
   if the machine's clock was set back; it counts as the newer one once that is silent.
*/
bool DeploymentTally::isLate(std::int64_t incarnation, std::int64_t sequence, Timestamp receivedAt,
                             const wire::Sender &sender, Timestamp now) const
{
    if (sender.incarnation == incarnation)
        return sender.sequence <= sequence;
    return sender.incarnation < incarnation && isFresh(receivedAt, now);
}

/*!
    Replaces \a counters by those of \a tally and returns their growth. What was counted before the
    first report of a node is not part of the growth: it took place before this node started, or
    while the node's share was withheld in its place.
*/
TallyGrowth DeploymentTally::update(Counters &counters, const wire::Sender &sender,
                                    const wire::Tally &tally, bool wasSilent)
{
    const bool isFirst = counters.incarnation == 0;
    if (counters.incarnation != sender.incarnation)
        counters = {.incarnation = sender.incarnation};
    counters.sequence = sender.sequence;
    TallyGrowth growth;
    if (!isFirst) {
        growth.consumed = growthOf(counters.consumed, tally.consumed);
        growth.late = wasSilent ? growth.consumed : growthOf(counters.late, tally.late);
        splitLate(growth);
        growth.refused = growthOf(counters.refused, tally.refused);
        growth.promptTokens = growthOf(counters.promptTokens, tally.promptTokens);
    }
    counters.consumed = tally.consumed;
    counters.late = tally.late;
    counters.refused = tally.refused;
    counters.promptTokens = tally.promptTokens;
    return growth;
}

void DeploymentTally::addToTotal(const TallyGrowth &growth)
{
    addTo(m_total.consumed, growth.consumed);
    addTo(m_total.late, growth.late);
}

const DeploymentTally::ZoneSource *DeploymentTally::currentSource(const ZoneEntry &zone) const
{
    const auto found = zone.sources.find(zone.current);
    return found == zone.sources.end() ? nullptr : &found->second;
}

const wire::Tally *DeploymentTally::ownReport(std::int64_t sequence) const
{
    for (const auto &[number, tally] : m_ownReports) {
        if (number == sequence)
            return &tally;
    }
    return nullptr;
}

int DeploymentTally::nodesInZone(const std::string &zone, Timestamp now) const
{
    const int known = m_peers.nodeCount(zone);
    const auto found = m_zones.find(zone);
    const ZoneSource *current = found == m_zones.end() ? nullptr : currentSource(found->second);
    if (zone == m_peers.zone() || !current)
        return known;
    return isFresh(current->receivedAt, now) ? current->report.nodes
                                             : std::max(current->report.nodes, known);
}

int DeploymentTally::silentInZone(const std::string &zone, Timestamp now) const
{
    if (zone == m_peers.zone())
        return m_peers.unheardCount(now);
    const auto found = m_zones.find(zone);
    const ZoneSource *current = found == m_zones.end() ? nullptr : currentSource(found->second);
    if (current && isFresh(current->receivedAt, now))
        return current->report.silent;
    return nodesInZone(zone, now);
}

/*!
    Returns the work in progress and the crashes of all other nodes.
*/
wire::Tally DeploymentTally::sumOfPeers(Timestamp now) const
{
    wire::Tally sum;
    addMembers(sum, now);
    for (const auto &[name, zone] : m_zones) {
        const ZoneSource *current = currentSource(zone);
        if (!current)
            continue;
        addCrashes(sum, current->report.tally);
        addVersions(sum, current->report.tally);
        if (isFresh(current->receivedAt, now))
            addLoads(sum, current->report.tally);
    }
    return sum;
}

/*!
    Adds the work in progress and the crashes of the other nodes of this zone to \a sum. The crashes
    count also when their node has fallen silent.
*/
void DeploymentTally::addMembers(wire::Tally &sum, Timestamp now) const
{
    for (const auto &[node, member] : m_members) {
        addCrashes(sum, member.report.tally);
        addVersions(sum, member.report.tally);
        if (isFresh(member.receivedAt, now))
            addLoads(sum, member.report.tally);
    }
}

} // namespace sesame
