#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sesame {

//! Requests that began to run, by account.
using AccountCounts = std::map<std::string, std::int64_t>;
//! Counts of each reporter, which is one incarnation of one node.
using ReporterCounts = std::map<std::string, AccountCounts>;

/*!
    Requests that engines began in each window, as counted by all nodes.

    Each reporter's counts only grow, so copies from several sources merge by maximum and a node
    that was killed is lost only with what it had not told anyone.
*/
class UsageLedger
{
public:
    /*!
        Counts one request of \a account for \a reporter.
    */
    void count(std::int64_t window, const std::string &reporter, const std::string &account);

    void merge(std::int64_t window, const std::string &reporter, const AccountCounts &counts);

    /*!
        Returns the sum over all reporters of \a window.
    */
    AccountCounts total(std::int64_t window) const;

    /*!
        Drops windows before \a window.
    */
    void removeBefore(std::int64_t window);

    const std::map<std::int64_t, ReporterCounts> &windows() const { return m_windows; }

private:
    std::map<std::int64_t, ReporterCounts> m_windows;
};

} // namespace sesame
