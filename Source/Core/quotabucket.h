#pragma once

#include "Core/ports.h"

namespace sesame {

/*!
    This node's view of one account's quota, which all nodes share.

    A token bucket that is charged with the node's own requests at once, and with those of its
    peers as they report them. A peer that is silent is charged with its equal share of the rate,
    because it may go on serving; a node that reaches nobody therefore spends its own share only.
*/
class QuotaBucket
{
public:
    /*!
        Sets rate and burst; a change keeps the part of the bucket that is filled.
    */
    void setLimit(double ratePerSecond, double burst, Timestamp now);

    /*!
        Refills the bucket for the time since the last call. \a silentShare is the part of the
        rate, 0 to 1, that belongs to peers that are out of touch. \a notice is how long a silence
        lasts before it is noticed; the share of that time is charged afterwards.
    */
    void refill(Timestamp now, double silentShare, Duration detectionDelay);

    /*!
        Takes \a cost for a request of this node. Returns false, and takes nothing, if the bucket
        does not hold it.
    */
    bool tryTake(double cost);

    /*!
        Gives back what was taken for a request that did not run.
    */
    void refund(double cost);

    /*!
        Takes what a peer has reported; the level may become negative.
    */
    void chargePeerUsage(double cost) { m_level -= cost; }

    /*!
        Empties the bucket to the part \a share of its burst, for a node that does not know what
        its last incarnation spent.
    */
    void capLevel(double share);

    /*!
        Returns the time until \a cost could be taken if nobody else takes anything.
    */
    Duration timeUntilAvailable(double cost) const;

    bool isLimited() const { return m_rate > 0.0; }
    double rate() const { return m_rate; }
    double level() const { return m_level; }
    double consumed() const { return m_consumed; } //!< By this node since its start.

private:
    double m_rate = 0.0;
    double m_burst = 0.0;
    double m_level = 0.0;
    double m_consumed = 0.0;
    double m_silentShare = 0.0;
    Timestamp m_lastRefillAt;
};

} // namespace sesame
