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

struct PeerTableOptions
{
    //! From here on a peer is out of touch: four reports are missing. Until then both sides of a
    //! partition spend the whole quota.
    Duration silenceLimit {std::chrono::milliseconds(500)};
    //! A peer that has been silent this long no longer holds a share of quotas; the longest
    //! partition that is served through is shorter.
    Duration retention {std::chrono::seconds(15)};
};

struct PeerNode
{
    wire::NodeReport report;
    Timestamp lastReportAt {}; //!< Zero for a peer that is known from the store only.
    Timestamp addedAt {};
};

/*!
    The other nodes, as they report themselves.
*/
class PeerTable
{
public:
    explicit PeerTable(PeerTableOptions options = {}) : m_options(options) { }

    /*!
        Adds a node that the store lists, at \a entryAddress, if it is not known yet.
    */
    void addListedNode(const std::string &node, const std::string &entryAddress,
                       const std::string &zone, Timestamp now);

    /*!
        Takes a report. Returns by how much each account's consumption has grown since the last
        one; empty for a report that is older than the newest known.
    */
    std::map<std::string, double> recordReport(const wire::NodeReport &report, Timestamp now);

    /*!
        Drops peers that have been silent for the memory time; returns their names.
    */
    std::vector<std::string> removeExpired(Timestamp now);

    /*!
        Returns how many nodes hold a share of quotas, this node included.
    */
    std::size_t quotaNodeCount() const;

    /*!
        Returns the part of all shares, 0 to 1, that belongs to peers that are out of touch.
    */
    double silentQuotaShare(Timestamp now) const;

    /*!
        Returns where callers may connect: peers that are ready and in touch. \a includeUnreported
       adds those that the store lists and that have not been heard, for a node that has just
       started.
    */
    std::vector<std::string> entryAddresses(Timestamp now, bool includeUnreported) const;

    std::unordered_map<std::string, EngineLoad> engineLoads(Timestamp now) const;
    std::unordered_map<std::uint64_t, CrashCount> crashCounts() const;
    Duration silenceLimit() const { return m_options.silenceLimit; }
    bool hasRecentReport(const PeerNode &peer, Timestamp now) const;

    /*!
        Returns the peer \a name, or null.
    */
    /*!
        Returns the newest version of the configuration that a peer in touch has in force, 0 if no
        peer is in touch.
    */
    std::int64_t newestConfigVersion(Timestamp now) const;

    const PeerNode *find(const std::string &name) const;

    const std::map<std::string, PeerNode> &peers() const { return m_peers; }

private:
    PeerTableOptions m_options;
    std::map<std::string, PeerNode> m_peers;
};

} // namespace sesame
