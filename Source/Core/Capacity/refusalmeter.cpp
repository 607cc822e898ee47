#include "Core/Capacity/refusalmeter.h"

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

void RefusalMeter::record(const std::string &service, Timestamp now)
{
    ++m_ownCounters[service];
    addToRate(service, 1.0, now);
}

void RefusalMeter::recordPeerRefusals(const std::string &service, std::int64_t n, Timestamp now)
{
    if (n > 0)
        addToRate(service, static_cast<double>(n), now);
}

double RefusalMeter::refusalsPerSecond(const std::string &service, Timestamp now) const
{
    const auto found = m_rates.find(service);
    return found == m_rates.end()
            ? 0.0
            : decayed(found->second.refusalsPerSecond, now - found->second.last);
}

void RefusalMeter::addToRate(const std::string &service, double refusals, Timestamp now)
{
    Rate &rate = m_rates[service];
    rate.refusalsPerSecond = decayed(rate.refusalsPerSecond, now - rate.last)
            + refusals / averagingTimeConstantSeconds;
    rate.last = now;
}

} // namespace sesame
