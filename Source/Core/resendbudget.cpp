#include "Core/resendbudget.h"

#include <algorithm>

namespace sesame {

void ResendBudget::recordRequest(const std::string &service, Timestamp now)
{
    Window &window = m_windows[service];
    dropExpired(window, now);
    window.requests.push_back(now);
}

bool ResendBudget::tryResend(const std::string &service, std::size_t nodes, Timestamp now)
{
    Window &window = m_windows[service];
    dropExpired(window, now);
    const double slack = m_options.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double allowed = m_options.usableShare
            * (m_options.ratio * static_cast<double>(window.requests.size()) + slack);
    if (static_cast<double>(window.resends.size()) + 1.0 > allowed)
        return false;
    window.resends.push_back(now);
    return true;
}

void ResendBudget::dropExpired(Window &window, Timestamp now) const
{
    for (std::deque<Timestamp> *times : {&window.requests, &window.resends}) {
        while (!times->empty() && now - times->front() >= m_options.window)
            times->pop_front();
    }
}

} // namespace sesame
