#pragma once

#include "Core/ports.h"

namespace sesame {

struct SuspensionGuardOptions
{
    //! A process that did not run for this time may have been suspended.
    Duration pauseLimit {std::chrono::milliseconds(800)};
    //! Time in which the datagrams that waited for a suspended process are read.
    Duration discardTime {std::chrono::milliseconds(250)};
};

/*!
    Detects that the process was suspended, so that datagrams which waited meanwhile are discarded:
    the ages that they state would make old knowledge look new.

    Times are those of a clock that also advances while the machine is suspended.
*/
class SuspensionGuard
{
public:
    explicit SuspensionGuard(Timestamp now, SuspensionGuardOptions options = {})
        : m_options(options), m_lastRunAt(now)
    {
    }

    /*!
        Records that the process runs at \a now, which has to be called several times a second.
        Returns whether a suspension has ended just now.
    */
    bool recordRun(Timestamp now)
    {
        const bool wasPaused = now - m_lastRunAt >= m_options.pauseLimit;
        m_lastRunAt = now;
        if (wasPaused) {
            m_resumedAt = now;
            m_discardUntil = now + m_options.discardTime;
        }
        return wasPaused;
    }

    /*!
        Returns the time at which the end of the last suspension was noticed; zero if there was
       none.
    */
    Timestamp resumedAt() const { return m_resumedAt; }

    /*!
        Returns whether datagrams that are read at \a now may have waited during a suspension.
    */
    bool mustDiscard(Timestamp now) const { return now < m_discardUntil; }

private:
    SuspensionGuardOptions m_options;
    Timestamp m_lastRunAt;
    Timestamp m_resumedAt {};
    Timestamp m_discardUntil {};
};

} // namespace sesame
