#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sesame {

//! Number of requests that engines started to run, by account.
using AccountCounts = std::map<std::string, std::int64_t>;

/*!
    Number of requests that engines started to run in each usage window, as counted by all nodes.

    The nodes of this node's zone are known one by one, those of the other zones as the sums that
    their aggregators report. All counts only increase, so copies from several sources are merged by
    taking the maximum. The sum of a zone that an aggregator restarted with misses the counts of
    nodes that have died since; the earlier sum covers them until the others exceed it.
*/
class UsageLedger
{
public:
    /*!
        \a zone is the zone of this node.
    */
    explicit UsageLedger(std::string zone) : m_zone(std::move(zone)) { }

    /*!
        Counts one request of \a account for \a reporter, which is one incarnation of one node.
    */
    void count(std::int64_t window, const std::string &reporter, const std::string &account);

    /*!
        Raises the counts of \a reporter, a node of this zone, to \a counts where these are larger.
    */
    void mergeNode(std::int64_t window, const std::string &reporter, const AccountCounts &counts);

    /*!
        Raises the sum of \a zone to \a counts where these are larger.
    */
    void mergeZone(std::int64_t window, const std::string &zone, const AccountCounts &counts);

    /*!
        Returns the sum over this node's zone in \a window.
    */
    AccountCounts ownZoneTotal(std::int64_t window) const;

    /*!
        Returns the sums of all zones in \a window.
    */
    std::map<std::string, AccountCounts> zoneTotals(std::int64_t window) const;

    /*!
        Returns the counts of \a window, summed over all nodes.
    */
    AccountCounts total(std::int64_t window) const;

    /*!
        Returns what \a reporter has counted in \a window.
    */
    AccountCounts nodeCounts(std::int64_t window, const std::string &reporter) const;

    /*!
        Removes all windows before \a window.
    */
    void removeBefore(std::int64_t window);

    /*!
        Returns the latest window with a count, or 0 if there is none.
    */
    std::int64_t lastWindow() const;

private:
    struct Window
    {
        std::map<std::string, AccountCounts> nodes; //!< By reporter, of this node's zone.
        std::map<std::string, AccountCounts> zones; //!< Reported sums by zone.
    };

    std::string m_zone;
    std::map<std::int64_t, Window> m_windows;
};

} // namespace sesame
