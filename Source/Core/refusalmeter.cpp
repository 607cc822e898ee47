#include "Core/refusalmeter.h"

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

void RefusalMeter::mergePeerCounters(const std::string &peer, std::int64_t incarnation,
                                     const std::map<std::string, std::int64_t> &counters,
                                     Timestamp now)
{
    Peer &known = m_peers[peer];
    const bool isFirst = known.incarnation == 0;
    if (known.incarnation != incarnation)
        known = {.incarnation = incarnation};
    for (const auto &[service, n] : counters) {
        std::int64_t &before = known.counters[service];
        // The first report of a peer contains refusals whose times are unknown.
        if (n > before && !isFirst)
            addToRate(service, static_cast<double>(n - before), now);
        before = std::max(before, n);
    }
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
