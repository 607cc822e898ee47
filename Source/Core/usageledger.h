#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sesame {

//! Number of requests that engines started to run, by account.
using AccountCounts = std::map<std::string, std::int64_t>;
//! Counts by reporter. A reporter is one incarnation of one node.
using ReporterCounts = std::map<std::string, AccountCounts>;

/*!
    Number of requests that engines started to run in each usage window, as counted by all nodes.

    The counts of each reporter only increase, so copies from several sources are merged by taking
    the maximum. If a node is killed, only the counts that it had not sent to any peer are lost.
*/
class UsageLedger
{
public:
    /*!
        Counts one request of \a account for \a reporter.
    */
    void count(std::int64_t window, const std::string &reporter, const std::string &account);

    /*!
        Raises the counts of \a reporter in \a window to \a counts where these are larger.
    */
    void merge(std::int64_t window, const std::string &reporter, const AccountCounts &counts);

    /*!
        Returns the counts of \a window, summed over all reporters.
    */
    AccountCounts total(std::int64_t window) const;

    /*!
        Removes all windows before \a window.
    */
    void removeBefore(std::int64_t window);

    const std::map<std::int64_t, ReporterCounts> &windows() const { return m_windows; }

private:
    std::map<std::int64_t, ReporterCounts> m_windows;
};

} // namespace sesame
