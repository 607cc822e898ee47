#pragma once

#include "Core/ports.h"

namespace sesame {

/*!
    Token bucket that holds one node's estimate of an account's quota. The quota is shared by all
    nodes.

    The bucket is charged at once for the node's own requests, and for the requests of its peers
    when they report them. For each peer that does not report, an equal share of the rate is
    withheld, because that peer may still grant requests. A node that reaches no peer therefore
    grants only its own share. What is withheld covers what the peer reports later.
*/
class QuotaBucket
{
public:
    /*!
        Sets the refill rate and the burst, in quota units (requests or tokens). When they change,
        the filled fraction of the bucket stays the same.
    */
    void setLimit(double ratePerSecond, double burst, Timestamp now);

    /*!
        Refills the bucket for the time since the last call. \a silentShare is the share of the
        rate, 0 to 1, that belongs to peers whose reports are missing. \a detectionDelay is the
        time until a missing report is detected; the peers' share for that time is charged
        afterwards.
    */
    void refill(Timestamp now, double silentShare, Duration detectionDelay);

    /*!
        Takes \a cost for a request of this node. Returns false and leaves the bucket unchanged if
        its level is too low for it and for what the peers have probably granted since their last
        reports.
    */
    bool tryTake(double cost);

    /*!
        Returns the \a cost that was taken for a request that did not run.
    */
    void refund(double cost);

    /*!
        Charges the \a cost of requests that a peer has reported. The level may become negative.
    */
    void chargePeerUsage(double cost, Timestamp now);

    /*!
        Charges the \a cost of requests that a peer has reported after a silence. What was withheld
        for silent peers covers it first.
    */
    void chargeLateUsage(double cost);

    /*!
        Lowers the level to at most \a share of the burst, for a node that does not know how much
        its previous incarnation granted.
    */
    void capLevel(double share);

    /*!
        Returns the time until \a cost can be taken if no other request is granted until then.
    */
    Duration timeUntilAvailable(double cost) const;

    bool isLimited() const { return m_rate > 0.0; }
    double rate() const { return m_rate; }
    double level() const { return m_level; }
    double consumed() const { return m_consumed; } //!< Units granted by this node since its start.

private:
    double m_rate = 0.0;
    double m_burst = 0.0;
    double m_level = 0.0;
    double m_consumed = 0.0;
    double m_silentShare = 0.0;
    double unreportedUsage() const;

    double m_peerRate = 0.0; //!< Recent consumption of the peers, in units per second.
    Timestamp m_lastPeerChargeAt {};
    Duration m_detectionDelay {};
    double m_withheld = 0.0; //!< Units withheld for silent peers that these have not reported.
    Timestamp m_lastRefillAt;
};

} // namespace sesame
