#include "Core/Capacity/serviceratemeter.h"

#include <cmath>

namespace sesame {

namespace {

//! Time constant of the exponential average of the rate.
constexpr double averagingTimeConstantSeconds = 1.5;

double decayed(double rate, Duration elapsed)
{
    return rate
            * std::exp(-std::chrono::duration<double>(elapsed).count()
                       / averagingTimeConstantSeconds);
}

} // namespace

void ServiceRateMeter::record(const std::string &service, std::int64_t n, Timestamp now)
{
    m_ownCounters[service] += n;
    addToRate(service, static_cast<double>(n), now);
}

void ServiceRateMeter::recordPeers(const std::string &service, std::int64_t n, Timestamp now)
{
    if (n > 0)
        addToRate(service, static_cast<double>(n), now);
}

double ServiceRateMeter::perSecond(const std::string &service, Timestamp now) const
{
    const auto found = m_rates.find(service);
    return found == m_rates.end() ? 0.0
                                  : decayed(found->second.perSecond, now - found->second.last);
}

void ServiceRateMeter::addToRate(const std::string &service, double n, Timestamp now)
{
    Rate &rate = m_rates[service];
    rate.perSecond = decayed(rate.perSecond, now - rate.last) + n / averagingTimeConstantSeconds;
    rate.last = now;
}

} // namespace sesame
