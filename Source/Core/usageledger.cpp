#include "Core/usageledger.h"

#include <algorithm>

namespace sesame {

namespace {

void raise(AccountCounts &known, const AccountCounts &counts)
{
    for (const auto &[account, n] : counts) {
        std::int64_t &value = known[account];
        value = std::max(value, n);
    }
}

} // namespace

void UsageLedger::count(std::int64_t window, const std::string &reporter,
                        const std::string &account)
{
    ++m_windows[window].nodes[reporter][account];
}

void UsageLedger::mergeNode(std::int64_t window, const std::string &reporter,
                            const AccountCounts &counts)
{
    raise(m_windows[window].nodes[reporter], counts);
}

void UsageLedger::mergeZone(std::int64_t window, const std::string &zone,
                            const AccountCounts &counts)
{
    raise(m_windows[window].zones[zone], counts);
}

AccountCounts UsageLedger::ownZoneTotal(std::int64_t window) const
{
    AccountCounts sum;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return sum;
    for (const auto &[reporter, counts] : found->second.nodes) {
        for (const auto &[account, n] : counts)
            sum[account] += n;
    }
    const auto reported = found->second.zones.find(m_zone);
    if (reported != found->second.zones.end())
        raise(sum, reported->second);
    return sum;
}

std::map<std::string, AccountCounts> UsageLedger::zoneTotals(std::int64_t window) const
{
    std::map<std::string, AccountCounts> totals;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return totals;
    totals = found->second.zones;
    totals[m_zone] = ownZoneTotal(window);
    return totals;
}

AccountCounts UsageLedger::total(std::int64_t window) const
{
    AccountCounts sum;
    for (const auto &[zone, counts] : zoneTotals(window)) {
        for (const auto &[account, n] : counts)
            sum[account] += n;
    }
    return sum;
}

AccountCounts UsageLedger::nodeCounts(std::int64_t window, const std::string &reporter) const
{
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return {};
    const auto node = found->second.nodes.find(reporter);
    return node == found->second.nodes.end() ? AccountCounts {} : node->second;
}

void UsageLedger::removeBefore(std::int64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

std::int64_t UsageLedger::lastWindow() const
{
    return m_windows.empty() ? 0 : m_windows.rbegin()->first;
}

} // namespace sesame
