#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace sesame {

/*!
    Observed delays of an engine as sums that add up over nodes. A delay is the logarithm of an
    observed time divided by the predicted one.
*/
struct DelaySums
{
    double weight = 0.0;
    double weightedLog = 0.0;
};

/*!
    How much slower than its service's nominal speed one engine process answers.

    The long-term part is the weighted mean of the delays that this node and its peers observed,
    which fade with time. The recent part follows single slow answers and overdue requests at once
    and ends within a second, because other work on the engine's machine comes and goes.
*/
class EngineDelay
{
public:
    /*!
        Records the delay \a logDelay of an answer with \a weight (1 if its cause is certain).
    */
    void record(double logDelay, double weight, Timestamp now);

    /*!
        Adds what the peers observed to what they reported before. Reports name only engines that
        have requests, so that each holds the observations of other nodes. \a sums without weight
        are ignored.
    */
    void addPeerSums(const DelaySums &sums, Timestamp now);

    /*!
        Records that the engine stated that work takes \a percent of the usual time.
    */
    void recordStated(double percent, Timestamp now);

    /*!
        Records that the request \a id was sent and is predicted to begin within \a expectedMs at
        nominal speed.
    */
    void begin(std::uint64_t id, double expectedMs, Timestamp now);
    void end(std::uint64_t id) { m_waiting.erase(id); }

    //! Returns the sums of this node's observations at \a now.
    DelaySums ownSums(Timestamp now) const;

    //! Returns the logarithm of the long-term delay factor.
    double meanLog(Timestamp now) const;

    //! Returns the logarithm of the delay factor of a request that is sent at \a now.
    double logFactor(Timestamp now) const;

    //! Returns the logarithm of the stated delay, if the engine stated it a short time ago.
    std::optional<double> statedLog(Timestamp now) const;

private:
    struct Waiting
    {
        Timestamp sentAt;
        double expectedMs = 0.0;
    };

    DelaySums m_own;
    Timestamp m_ownAt {};
    DelaySums m_peers;
    Timestamp m_peersAt {};
    double m_recentLog = 0.0; //!< Excess over the mean at m_recentAt; not negative.
    Timestamp m_recentAt {};
    double m_statedLog = 0.0;
    Timestamp m_statedAt {};
    std::unordered_map<std::uint64_t, Waiting> m_waiting; //!< Requests without a first event.
};

} // namespace sesame
