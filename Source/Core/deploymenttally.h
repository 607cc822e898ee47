#pragma once

#include "Core/crashtable.h"
#include "Core/enginedirectory.h"
#include "Core/peerdirectory.h"
#include "Core/ports.h"
#include "Core/promptcrashtable.h"

#include <exchange_types.h>

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace sesame {

/*!
    Growth of counters of other nodes that this node has not taken into account before.
*/
struct TallyGrowth
{
    std::map<std::string, double> consumed; //!< Quota units by account.
    //! Quota units that are reported after a silence, besides consumed.
    std::map<std::string, double> late;
    std::map<std::string, std::int64_t> refused; //!< Refused requests by service.
    //! Prompt tokens of callers' requests by service.
    std::map<std::string, std::int64_t> promptTokens;
};

/*!
    Share of the quotas that belongs to nodes whose consumption is not known.
*/
struct QuotaShares
{
    int nodes = 1; //!< Nodes that hold a share, with this one.
    int silent = 0; //!< Those of them whose consumption is not known.

    double silentShare() const { return static_cast<double>(silent) / static_cast<double>(nodes); }
};

/*!
    What the other nodes consume and have in progress, summed over the deployment.

    An aggregator adds up the reports of its zone's nodes and receives the sums of the other zones.
    Another node receives digests with the sums over all nodes. Each datagram carries the full
    values of all counters and a sequence number, so the next one replaces a lost one, and late and
    repeated ones are ignored.

    Both aggregators of a zone report its sum. Only one of them is used at a time, the other one
    takes over when it falls silent; as the counters of both are followed all the time, the change
    counts nothing twice.
*/
class DeploymentTally
{
public:
    explicit DeploymentTally(const PeerDirectory &peers) : m_peers(peers) { }

    /*!
        Records a report from a node of this zone.
    */
    TallyGrowth recordMember(const wire::Sender &sender, const wire::MemberReport &report,
                             Timestamp now);

    /*!
        Records the sum of another zone from one of its aggregators.
    */
    TallyGrowth recordZone(const wire::Sender &sender, const wire::ZoneReport &report,
                           Timestamp now);

    /*!
        Records the sums over the deployment from an aggregator of this zone. What this node has
        consumed itself is not part of the result.
    */
    TallyGrowth recordDigest(const wire::Sender &sender, const wire::Digest &digest, Timestamp now);

    /*!
        Records that this node's report \a sequence contained \a tally.
    */
    void recordOwnReport(std::int64_t sequence, const wire::Tally &tally);

    /*!
        Forgets nodes that the directory no longer knows.
    */
    void removeExpired(Timestamp now);

    /*!
        Returns the sum over this zone, of which \a own is this node's part.
    */
    wire::ZoneReport makeZoneReport(const wire::Tally &own, Timestamp now) const;

    /*!
        Returns the sums over the deployment, of which \a own is this node's part.
    */
    wire::Digest makeDigest(const wire::Tally &own, Timestamp now) const;

    /*!
        Sets the fields of \a digest that differ between its receivers.
    */
    void addressDigest(wire::Digest &digest, const std::string &receiver, Timestamp now) const;

    /*!
        Returns the nodes of this zone from which this node receives no reports, though another
        node lists them as running.
    */
    std::vector<std::string> unheardMembers(Timestamp now) const;

    /*!
        Returns the nodes of this zone that asked for digests lately.
    */
    std::vector<std::string> digestReceivers(Timestamp now) const;

    /*!
        Returns the nodes of other zones that sent the sum of their zone lately.
    */
    std::vector<std::string> activeAggregators(Timestamp now) const;

    /*!
        Returns the load of each engine that the other nodes cause.
    */
    std::unordered_map<std::string, EngineLoad> peerLoads(Timestamp now) const;

    /*!
        Returns the crash counts of the other nodes.
    */
    std::unordered_map<std::uint64_t, CrashCount> peerCrashCounts(Timestamp now) const;

    /*!
        Returns what the other nodes know of parts of prompts that crash engines. It may contain
        what this node has reported.
    */
    wire::PromptEvidence peerPromptEvidence(Timestamp now) const;

    /*!
        Returns the evidence of roll-outs of all nodes, of which \a own is this node's part. Only an
        aggregator knows the other nodes' part.
    */
    std::vector<wire::VersionEvidence> versionEvidence(const wire::Tally &own, Timestamp now) const;

    /*!
        Returns how the quotas are shared.
    */
    QuotaShares quotaShares(Timestamp now) const;

    /*!
        Returns whether this node receives digests.
    */
    bool hasFreshDigest(Timestamp now) const;

    /*!
        Sets whether this node is an aggregator, which adds up the reports of others, or follows
        the digests.
    */
    void setAggregator(bool isAggregator) { m_isAggregator = isAggregator; }
    bool isAggregator() const { return m_isAggregator; }

private:
    //! Counters that a node reported last.
    struct Counters
    {
        std::int64_t incarnation = 0;
        std::int64_t sequence = 0;
        std::map<std::string, double> consumed;
        std::map<std::string, double> late;
        std::map<std::string, std::int64_t> refused;
        std::map<std::string, std::int64_t> promptTokens;
    };
    struct MemberEntry
    {
        Counters counters;
        wire::MemberReport report;
        Timestamp receivedAt {};
    };
    struct ZoneSource
    {
        Counters counters;
        wire::ZoneReport report;
        Timestamp receivedAt {};
    };
    struct ZoneEntry
    {
        std::string current; //!< The aggregator whose sum is used.
        std::map<std::string, ZoneSource> sources;
    };
    struct DigestSource
    {
        std::int64_t incarnation = 0;
        std::int64_t sequence = 0;
        std::map<std::string, double> consumed;
        std::map<std::string, double> late;
        std::map<std::string, double> ownConsumed; //!< This node's part of consumed.
        Timestamp receivedAt {};
    };

    bool isFresh(Timestamp time, Timestamp now) const;
    static TallyGrowth update(Counters &counters, const wire::Sender &sender,
                              const wire::Tally &tally, bool wasSilent);
    void addToTotal(const TallyGrowth &growth);
    bool isLate(std::int64_t incarnation, std::int64_t sequence, Timestamp receivedAt,
                const wire::Sender &sender, Timestamp now) const;
    const ZoneSource *currentSource(const ZoneEntry &zone) const;
    const wire::Tally *ownReport(std::int64_t sequence) const;
    int silentInZone(const std::string &zone, Timestamp now) const;
    int nodesInZone(const std::string &zone, Timestamp now) const;
    wire::Tally sumOfPeers(Timestamp now) const;
    void addMembers(wire::Tally &sum, Timestamp now) const;

    const PeerDirectory &m_peers;
    bool m_isAggregator = false;
    std::map<std::string, MemberEntry> m_members; //!< By node, of this zone.
    std::map<std::string, ZoneEntry> m_zones; //!< By zone, of the other zones.
    TallyGrowth m_zoneTotal; //!< Growth of the members' counters since the start.
    TallyGrowth m_total; //!< Growth of all other nodes' counters since the start.
    std::deque<std::pair<std::int64_t, wire::Tally>> m_ownReports; //!< By sequence number.
    std::map<std::string, DigestSource> m_digestSources;
    std::string m_currentDigestSource;
    wire::Digest m_digest; //!< The latest digest of the current source.
    Timestamp m_digestAt {};
};

} // namespace sesame
