#pragma once

#include "Core/ports.h"

#include <map>
#include <string>

namespace sesame {

/*!
    Estimates true time from clocks of which some may be set wrong.

    The node's time of day is read once and carried on by a clock that is never set; the median of
    the differences to the peers' estimates corrects it, so a minority of wrong clocks does not
    move it.
*/
class TrueTime
{
public:
    /*!
        Starts from time of day \a wall, read at \a boot on a clock that also runs while the
        machine is suspended.
    */
    TrueTime(WallMillis wall, std::int64_t bootMillis) : m_ownOffset(wall - bootMillis) { }

    /*!
        Takes the estimate \a theirs of \a peer, received at \a bootMillis.
    */
    void recordPeerEstimate(const std::string &peer, WallMillis peerEstimate,
                            std::int64_t bootMillis);
    void forgetPeer(const std::string &peer) { m_peerOffsets.erase(peer); }

    /*!
        Returns the estimate that is told to peers: without their corrections, so that errors do
        not travel in circles.
    */
    WallMillis ownEstimate(std::int64_t bootMillis) const { return m_ownOffset + bootMillis; }
    WallMillis now(std::int64_t bootMillis) const;

private:
    std::int64_t m_ownOffset;
    std::map<std::string, std::int64_t> m_peerOffsets;
};

} // namespace sesame
