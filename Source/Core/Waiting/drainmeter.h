#pragma once

#include "Core/ports.h"

#include <map>

namespace sesame {

/*!
    Places at the engines of a service, as this node knows them.
*/
struct PlaceView
{
    int ownRequests = 0; //!< Requests of this node at the engines.
    int requests = 0; //!< Requests of all nodes at the engines.
    int places = 0; //!< Requests that the engines take.
    int freePlaces = 0; //!< Places without a request.
    int nodes = 1; //!< Nodes that compete for the places, with this one.
};

/*!
    Estimates how many places at engines become free per second for this node's waiting requests.

    By Little's law, places become free at the rate of the requests at the engines divided by the
    mean time that a request occupies a place. A node uses the places that its own requests leave,
    and an equal share of all of them if that is more. What the estimates turned out to be worth
    corrects the next ones.
*/
class DrainMeter
{
public:
    /*!
        Records that a request of this node occupied a place for \a time.
    */
    void recordOccupied(Duration time);

    /*!
        Records that a request that was predicted to wait for \a predicted has waited for \a actual
        when it was dispatched, or when it was refused because the wait became too long.
    */
    void recordWait(Duration predicted, Duration actual, bool isDispatched, Timestamp now);

    /*!
        Records that a request of \a precedence began to wait. Smaller values are served first.
    */
    void recordArrival(int precedence, Timestamp now);

    void setView(const PlaceView &view) { m_view = view; }
    const PlaceView &view() const { return m_view; }

    /*!
        Returns the places that become free for this node, per second.
    */
    double placesPerSecond() const;

    /*!
        Returns the places that become free for all nodes, per second.
    */
    double totalPlacesPerSecond() const;

    /*!
        Returns the expected wait until \a places places are free for requests of \a precedence,
        while those that precede them keep arriving.
    */
    Duration timeUntilFree(double places, int precedence, Timestamp now) const;

private:
    struct DecayingRate
    {
        double perSecond = 0.0;
        Timestamp last {};
    };

    double meanOccupiedSeconds() const;
    double correction(Timestamp now) const;

    PlaceView m_view;
    double m_occupiedSeconds = 0.0; //!< Moving average; 0 if nothing has been recorded.
    double m_logCorrection = 0.0; //!< Logarithm of actual by predicted waits, at m_correctedAt.
    Timestamp m_correctedAt {};
    std::map<int, DecayingRate> m_arrivals; //!< By precedence.
};

} // namespace sesame
