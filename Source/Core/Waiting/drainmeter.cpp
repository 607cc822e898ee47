#include "Core/Waiting/drainmeter.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

//! Occupied time assumed before the first request has left its engine. Long, so that a node that
//! knows nothing about the engines lets only requests with much time wait.
constexpr double initialOccupiedSeconds = 1.0;
//! Weight of the newest request in the mean occupied time.
constexpr double newestSampleWeight = 0.1;
//! Time constant of the rates of arrival. Bursts begin and end within seconds.
constexpr double arrivalTimeConstantSeconds = 0.5;
//! Weight of the newest wait in the correction.
constexpr double newestWaitWeight = 0.2;
//! Time constant with which the correction returns to none, so that requests wait again after a
//! time in which all of them were refused.
constexpr double correctionTimeConstantSeconds = 5.0;
//! Bounds of a single ratio of actual to predicted wait. Waits of a few milliseconds have ratios
//! that say little.
constexpr double minWaitRatio = 0.5;
constexpr double maxWaitRatio = 4.0;
//! Ratio that a refused request counts at least, as its actual wait would have been longer.
constexpr double minRefusedWaitRatio = 1.5;
//! Part of the places left by the requests of other nodes, up to an equal share, that this node is
//! expected to get. The other nodes use most of them for their own waiting requests.
constexpr double sharedPlaceWeight = 0.25;
//! Part of the drain that remains at least for requests that are preceded by others.
constexpr double minRemainingDrain = 0.02;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double decay(Duration elapsed, double timeConstantSeconds)
{
    return std::exp(-toSeconds(elapsed) / timeConstantSeconds);
}

} // namespace

void DrainMeter::recordOccupied(Duration time)
{
    const double seconds = std::max(toSeconds(time), 0.001);
    m_occupiedSeconds = m_occupiedSeconds == 0.0
            ? seconds
            : m_occupiedSeconds + newestSampleWeight * (seconds - m_occupiedSeconds);
}

void DrainMeter::recordWait(Duration predicted, Duration actual, bool isDispatched, Timestamp now)
{
    if (predicted <= Duration::zero())
        return;
    double ratio = toSeconds(actual) / toSeconds(predicted);
    if (!isDispatched)
        ratio = std::max(ratio, minRefusedWaitRatio);
    // The prediction contains the present correction, which the ratio adds to.
    const double log = std::log(std::clamp(ratio, minWaitRatio, maxWaitRatio));
    const double current = std::log(correction(now));
    m_logCorrection = std::clamp(current + newestWaitWeight * log, std::log(minWaitRatio),
                                 std::log(maxWaitRatio));
    m_correctedAt = now;
}

void DrainMeter::recordArrival(int precedence, Timestamp now)
{
    DecayingRate &rate = m_arrivals[precedence];
    rate.perSecond = rate.perSecond * decay(now - rate.last, arrivalTimeConstantSeconds)
            + 1.0 / arrivalTimeConstantSeconds;
    rate.last = now;
}

double DrainMeter::meanOccupiedSeconds() const
{
    return m_occupiedSeconds == 0.0 ? initialOccupiedSeconds : m_occupiedSeconds;
}

double DrainMeter::correction(Timestamp now) const
{
    return std::exp(m_logCorrection * decay(now - m_correctedAt, correctionTimeConstantSeconds));
}

double DrainMeter::placesPerSecond() const
{
    const double share = static_cast<double>(std::max(m_view.requests, 1))
            / static_cast<double>(std::max(m_view.nodes, 1));
    const auto own = static_cast<double>(m_view.ownRequests);
    return (own + sharedPlaceWeight * std::max(share - own, 0.0)) / meanOccupiedSeconds();
}

double DrainMeter::totalPlacesPerSecond() const
{
    return static_cast<double>(std::max(m_view.requests, 1)) / meanOccupiedSeconds();
}

Duration DrainMeter::timeUntilFree(double places, int precedence, Timestamp now) const
{
    const double drain = placesPerSecond();
    double remaining = drain;
    for (const auto &[other, rate] : m_arrivals) {
        if (other < precedence)
            remaining -= rate.perSecond * decay(now - rate.last, arrivalTimeConstantSeconds);
    }
    remaining = std::max(remaining, minRemainingDrain * drain);
    // If there are more requests than places, the others leave first.
    const double excess = std::max(0, m_view.requests - m_view.places) / totalPlacesPerSecond();
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(excess + places / remaining * correction(now)));
}

} // namespace sesame
