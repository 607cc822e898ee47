#include "Core/stopschedule.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Callers may use a directory response for three times its time to live of two seconds.
constexpr Duration directoryDrainTime = 6s;
//! Part of the grace that remains for open requests when the entry closes.
constexpr Duration drainReserve = 2500ms;
//! Part of the grace that remains when the last open requests are answered.
constexpr Duration answerReserve = 400ms;
//! Part of the grace that is reserved for the exit of the process.
constexpr Duration exitReserve = 200ms;
//! Share of the grace in which requests that an engine may repeat, and streams, are accepted
//! although their time limit is later than answerTime(). Most of them take far less time than their
//! limit.
constexpr double earlyShare = 0.35;

} // namespace

Timestamp StopSchedule::entryCloseTime() const
{
    return m_start + std::min(directoryDrainTime, m_grace - drainReserve);
}

Timestamp StopSchedule::answerTime() const
{
    return m_start + m_grace - answerReserve;
}

Timestamp StopSchedule::exitTime() const
{
    return m_start + m_grace - exitReserve;
}

bool StopSchedule::mayAccept(RouteKind kind, Duration limit, Timestamp now) const
{
    if (now + limit <= answerTime())
        return true;
    const auto earlyTime = std::chrono::duration_cast<Duration>(earlyShare * m_grace);
    return kind != RouteKind::Unsafe && now < m_start + earlyTime;
}

} // namespace sesame
