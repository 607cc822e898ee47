#pragma once

#include "Core/ports.h"
#include "Core/servingconfig.h"

namespace sesame {

/*!
    The times of a planned stop. The platform kills the process when its grace has passed, so a
    request is accepted only if the node can answer it by then.
*/
class StopSchedule
{
public:
    /*!
        Creates the schedule of a stop that was requested at \a start, with the time \a grace until
        the process is killed.
    */
    StopSchedule(Timestamp start, Duration grace) : m_start(start), m_grace(grace) { }

    /*!
        Returns the time at which the entry closes. Until then, callers may use an old directory
        response.
    */
    Timestamp entryCloseTime() const;

    /*!
        Returns the time by which every open request is answered, with a failure if its engine is
        still at work.
    */
    Timestamp answerTime() const;

    /*!
        Returns the time at which the process exits, whatever is open.
    */
    Timestamp exitTime() const;

    /*!
        Returns whether a request on a route of kind \a kind may be accepted at \a now if its engine
        may take up to \a limit.
    */
    bool mayAccept(RouteKind kind, Duration limit, Timestamp now) const;

private:
    Timestamp m_start;
    Duration m_grace;
};

} // namespace sesame
