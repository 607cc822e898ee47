#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <map>
#include <string>

namespace sesame {

/*!
    Measures for each service the rate of requests that all nodes refuse for lack of capacity.
*/
class RefusalMeter
{
public:
    /*!
        Counts one request for \a service that this node refused.
    */
    void record(const std::string &service, Timestamp now);

    /*!
        Counts \a n requests for \a service that other nodes refused.
    */
    void recordPeerRefusals(const std::string &service, std::int64_t n, Timestamp now);

    /*!
        Returns the recent rate of refusals for \a service over all nodes, per second.
    */
    double refusalsPerSecond(const std::string &service, Timestamp now) const;

    /*!
        Returns the number of refusals of this node since its start, by service.
    */
    const std::map<std::string, std::int64_t> &ownCounters() const { return m_ownCounters; }

private:
    struct Rate
    {
        double refusalsPerSecond = 0.0;
        Timestamp last;
    };

    void addToRate(const std::string &service, double refusals, Timestamp now);

    std::map<std::string, std::int64_t> m_ownCounters;
    std::map<std::string, Rate> m_rates;
};

} // namespace sesame
