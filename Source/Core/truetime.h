#pragma once

#include "Core/ports.h"

#include <map>
#include <string>

namespace sesame {

/*!
    Estimates the true time of day even if the clocks of some nodes are wrong.

    The node's time of day is read once and advanced by a clock that is never adjusted. It is
    corrected by the median of the offsets of this node and its peers, so that a minority of wrong
    clocks does not affect the estimate.
*/
class TrueTime
{
public:
    /*!
        Starts with the time of day \a wall, which was read at \a bootMillis on a clock that also
        advances while the machine is suspended.
    */
    TrueTime(WallMillis wall, std::int64_t bootMillis) : m_ownOffset(wall - bootMillis) { }

    /*!
        Records the estimate \a peerEstimate that \a peer sent and this node received at
        \a bootMillis.
    */
    void recordPeerEstimate(const std::string &peer, WallMillis peerEstimate,
                            std::int64_t bootMillis);
    void forgetPeer(const std::string &peer) { m_peerOffsets.erase(peer); }

    /*!
        Returns the estimate to send to peers. It excludes the corrections from peers, so that
        errors are not fed back to them.
    */
    WallMillis ownEstimate(std::int64_t bootMillis) const { return m_ownOffset + bootMillis; }

    /*!
        Returns the estimated true time of day at \a bootMillis, corrected by the peers.
    */
    WallMillis now(std::int64_t bootMillis) const;

private:
    std::int64_t m_ownOffset;
    std::map<std::string, std::int64_t> m_peerOffsets;
};

} // namespace sesame
