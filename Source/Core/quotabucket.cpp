#include "Core/quotabucket.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

//! Share of the configured burst that the bucket holds. The rest covers requests that other nodes
//! have granted but not reported yet.
constexpr double grantedBurstShare = 0.9;
//! Longest time for which the withheld units are kept to cover later reports.
constexpr double maxWithheldSeconds = 15.0;
//! Time constant of the exponential average of the peers' consumption.
constexpr double peerRateSeconds = 0.5;
//! Mean age of the reports as a share of the time after which a silent peer is detected.
constexpr double reportAgeShare = 0.5;
//! Largest share of the burst that is kept for requests that peers have granted but not reported.
constexpr double maxUnreportedShare = 0.5;

} // namespace

void QuotaBucket::setLimit(double ratePerSecond, double burst, Timestamp now)
{
    if (ratePerSecond == m_rate && burst * grantedBurstShare == m_burst)
        return;
    const bool wasLimited = isLimited();
    const double filledShare = wasLimited && m_burst > 0.0 ? m_level / m_burst : 1.0;
    m_rate = ratePerSecond;
    m_burst = burst * grantedBurstShare;
    // A negative level must not grow in proportion to the new burst.
    m_level = filledShare < 0.0 ? std::max(m_level, -m_burst) : filledShare * m_burst;
    if (!wasLimited)
        m_lastRefillAt = now;
}

void QuotaBucket::refill(Timestamp now, double silentShare, Duration detectionDelay)
{
    if (now <= m_lastRefillAt)
        return;
    const double seconds = std::chrono::duration<double>(now - m_lastRefillAt).count();
    m_lastRefillAt = now;
    m_detectionDelay = detectionDelay;
    const double share = std::clamp(1.0 - silentShare, 0.0, 1.0);
    // Each side of a network partition may spend its share of the burst, so that the sum over both
    // sides stays one burst.
    m_withheld += seconds * m_rate * (1.0 - share);
    m_level += seconds * m_rate * share;
    if (m_level > m_burst * share) {
        m_withheld += std::min(m_level, m_burst) - m_burst * share;
        m_level = m_burst * share;
    }
    // Until the missing reports were detected, each side of the partition also spent the share of
    // the other side.
    if (silentShare > m_silentShare) {
        const double used = (silentShare - m_silentShare) * m_rate
                * std::chrono::duration<double>(detectionDelay).count();
        m_level -= used;
        m_withheld += used;
    }
    m_withheld = std::min(m_withheld, m_burst + m_rate * maxWithheldSeconds);
    m_silentShare = silentShare;
}

void QuotaBucket::chargePeerUsage(double cost, Timestamp now)
{
    m_level -= cost;
    const double seconds = std::chrono::duration<double>(now - m_lastPeerChargeAt).count();
    m_peerRate = m_peerRate * std::exp(-seconds / peerRateSeconds) + cost / peerRateSeconds;
    m_lastPeerChargeAt = now;
}

/*!
    Returns what the peers have probably granted since their last reports.
*/
double QuotaBucket::unreportedUsage() const
{
    const double seconds = std::chrono::duration<double>(m_detectionDelay).count() * reportAgeShare;
    return std::clamp(m_peerRate * seconds, 0.0, m_burst * maxUnreportedShare);
}

void QuotaBucket::chargeLateUsage(double cost)
{
    const double covered = std::clamp(cost, 0.0, m_withheld);
    m_withheld -= covered;
    m_level -= cost - covered;
}

bool QuotaBucket::tryTake(double cost)
{
    if (!isLimited()) {
        m_consumed += cost;
        return true;
    }
    // A request that costs more than the burst could never be granted, so it may take a full
    // bucket.
    if (m_level < std::min(cost, m_burst)
        || m_level - unreportedUsage() < std::min(cost, m_burst * (1.0 - maxUnreportedShare)))
        return false;
    m_level -= cost;
    m_consumed += cost;
    return true;
}

void QuotaBucket::refund(double cost)
{
    m_level = std::min(m_level + cost, m_burst);
    m_consumed -= cost;
}

void QuotaBucket::capLevel(double share)
{
    m_level = std::min(m_level, m_burst * share);
}

Duration QuotaBucket::timeUntilAvailable(double cost) const
{
    const double missingUnits = std::min(cost, m_burst) - m_level;
    if (missingUnits <= 0.0 || m_rate <= 0.0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(missingUnits / m_rate));
}

} // namespace sesame
