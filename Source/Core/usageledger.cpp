#include "Core/usageledger.h"

#include <algorithm>

namespace sesame {

void UsageLedger::count(std::int64_t window, const std::string &reporter,
                        const std::string &account)
{
    ++m_windows[window][reporter][account];
}

void UsageLedger::merge(std::int64_t window, const std::string &reporter,
                        const AccountCounts &counts)
{
    AccountCounts &known = m_windows[window][reporter];
    for (const auto &[account, n] : counts) {
        std::int64_t &value = known[account];
        value = std::max(value, n);
    }
}

AccountCounts UsageLedger::total(std::int64_t window) const
{
    AccountCounts sum;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return sum;
    for (const auto &[reporter, counts] : found->second) {
        for (const auto &[account, n] : counts)
            sum[account] += n;
    }
    return sum;
}

void UsageLedger::removeBefore(std::int64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

} // namespace sesame
