#pragma once

#include "Core/crashtable.h"
#include "Core/enginedirectory.h"
#include "Core/ports.h"

#include <exchange_types.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesame {

/*!
    Time limits of a PeerTable.
*/
struct PeerTableOptions
{
    //! A peer without a report for this time, in which four reports are due, counts as silent.
    //! Until then both sides of a partition can spend the whole quota.
    Duration silenceLimit {std::chrono::milliseconds(500)};
    //! A peer that has sent no report for this time is removed and loses its share of quotas. The
    //! value must exceed the longest partition during which a node continues to serve callers.
    Duration retention {std::chrono::seconds(15)};
};

/*!
    Another entry node and its last report.
*/
struct PeerNode
{
    wire::NodeReport report;
    Timestamp lastReportAt {}; //!< Zero if the peer is known only from the store.
    Timestamp addedAt {};
};

/*!
    The other entry nodes with the state that each one reports about itself.
*/
class PeerTable
{
public:
    explicit PeerTable(PeerTableOptions options = {}) : m_options(options) { }

    /*!
        Adds \a node, which the store lists with \a entryAddress, if it is not known yet.
    */
    void addListedNode(const std::string &node, const std::string &entryAddress,
                       const std::string &zone, Timestamp now);

    /*!
        Records \a report. Returns the increase of each account's consumption since the previous
        report of the node. The result is empty if a newer report is already known.
    */
    std::map<std::string, double> recordReport(const wire::NodeReport &report, Timestamp now);

    /*!
        Removes the peers without a report for the retention time and returns their names.
    */
    std::vector<std::string> removeExpired(Timestamp now);

    /*!
        Returns the number of nodes that hold a share of quotas, including this node.
    */
    std::size_t quotaNodeCount() const;

    /*!
        Returns the fraction of all quota shares, 0 to 1, that silent peers hold.
    */
    double silentQuotaShare(Timestamp now) const;

    /*!
        Returns the addresses to which callers may connect: those of peers that are ready and have
        sent a recent report. With \a includeUnreported the result also contains peers that the
        store lists but that have sent no report yet, for a node that has just started.
    */
    std::vector<std::string> entryAddresses(Timestamp now, bool includeUnreported) const;

    /*!
        Returns the load of each engine, summed over the peers with a recent report.
    */
    std::unordered_map<std::string, EngineLoad> engineLoads(Timestamp now) const;

    /*!
        Returns the crash counts of each request fingerprint, summed over all peers.
    */
    std::unordered_map<std::uint64_t, CrashCount> crashCounts() const;
    Duration silenceLimit() const { return m_options.silenceLimit; }
    /*!
        Returns whether \a peer has sent a report within the silence limit.
    */
    bool hasRecentReport(const PeerNode &peer, Timestamp now) const;

    /*!
        Returns the newest configuration version in force at any peer with a recent report, or 0 if
        there is no such peer.
    */
    std::int64_t newestConfigVersion(Timestamp now) const;

    /*!
        Returns the peer \a name, or null.
    */
    const PeerNode *find(const std::string &name) const;

    const std::map<std::string, PeerNode> &peers() const { return m_peers; }

private:
    PeerTableOptions m_options;
    std::map<std::string, PeerNode> m_peers;
};

} // namespace sesame
