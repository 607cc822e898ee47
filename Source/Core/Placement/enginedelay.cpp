#include "Core/Placement/enginedelay.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Time in which the weight of an observation falls to 37%. It holds enough answers of all nodes
//! to tell fast machines from slow ones.
constexpr Duration fadeTime = 8s;
//! Time in which the recent part falls to 37%. Disturbances by other work last less than a second.
constexpr Duration recentFadeTime = 500ms;
//! Time for which a node's reports name an engine after a request, about. Reports name only engines
//! that have requests, so that each contains the observations of a few nodes.
constexpr Duration peerNamingTime = 1s;
//! Weight of the service's mean, at which an engine without observations starts.
constexpr double priorWeight = 5.0;
//! Limits of a single observation: a request behind a stopped engine says nothing about speed.
constexpr double minLog = -1.2;
constexpr double maxLog = 2.0;
//! Smaller excesses over the mean are within the usual spread of answers.
constexpr double recentThreshold = 0.7;
//! Time for which a stated delay is used; it changes many times a second.
constexpr Duration statedDelayLifetime = 300ms;

double decay(Timestamp since, Timestamp now, Duration time)
{
    return since == Timestamp {} ? 0.0
                                 : std::exp(-std::chrono::duration<double>(now - since)
                                            / std::chrono::duration<double>(time));
}

} // namespace

void EngineDelay::record(double logDelay, double weight, Timestamp now)
{
    const double limited = std::clamp(logDelay, minLog, maxLog);
    const double excess = limited - meanLog(now);
    m_own = ownSums(now);
    m_ownAt = now;
    m_own.weight += weight;
    m_own.weightedLog += weight * limited;
    const double recent = m_recentLog * decay(m_recentAt, now, recentFadeTime);
    // A single fast answer may have found its prompt in the cache, so it only halves the delay.
    m_recentLog = excess > recentThreshold ? std::max(recent, excess * weight) : recent / 2.0;
    m_recentAt = now;
}

void EngineDelay::addPeerSums(const DelaySums &sums, Timestamp now)
{
    if (sums.weight <= 0.0)
        return;
    const double kept = decay(m_peersAt, now, fadeTime);
    const double share = m_peersAt == Timestamp {}
            ? 0.0
            : std::min(std::chrono::duration<double>(now - m_peersAt)
                               / std::chrono::duration<double>(peerNamingTime),
                       1.0);
    m_peers.weight = kept * m_peers.weight + share * sums.weight;
    m_peers.weightedLog = kept * m_peers.weightedLog + share * sums.weightedLog;
    m_peersAt = now;
}

void EngineDelay::recordStated(double percent, Timestamp now)
{
    m_statedLog = std::clamp(std::log(percent / 100.0), minLog, maxLog);
    m_statedAt = now;
}

void EngineDelay::begin(std::uint64_t id, double expectedMs, Timestamp now)
{
    m_waiting[id] = {.sentAt = now, .expectedMs = expectedMs};
}

DelaySums EngineDelay::ownSums(Timestamp now) const
{
    const double kept = decay(m_ownAt, now, fadeTime);
    return {.weight = m_own.weight * kept, .weightedLog = m_own.weightedLog * kept};
}

double EngineDelay::meanLog(Timestamp now) const
{
    const DelaySums own = ownSums(now);
    const double kept = decay(m_peersAt, now, fadeTime);
    return (own.weightedLog + kept * m_peers.weightedLog)
            / (own.weight + kept * m_peers.weight + priorWeight);
}

std::optional<double> EngineDelay::statedLog(Timestamp now) const
{
    if (m_statedAt == Timestamp {} || now - m_statedAt > statedDelayLifetime)
        return std::nullopt;
    return m_statedLog;
}

double EngineDelay::logFactor(Timestamp now) const
{
    const double mean = meanLog(now);
    double recent = statedLog(now).value_or(m_recentLog * decay(m_recentAt, now, recentFadeTime));
    for (const auto &[id, waiting] : m_waiting) {
        const double elapsedMs = std::chrono::duration<double, std::milli>(now - waiting.sentAt)
                                         .count();
        const double excess = std::log(std::max(elapsedMs, 1.0) / waiting.expectedMs) - mean;
        if (excess > recentThreshold)
            recent = std::max(recent, excess);
    }
    return std::clamp(mean + recent, minLog, maxLog);
}

} // namespace sesame
