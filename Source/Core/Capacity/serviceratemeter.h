#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <map>
#include <string>

namespace sesame {

/*!
    Measures for each service the rate of something that happens at all nodes, for example of
    requests that are refused for lack of capacity.
*/
class ServiceRateMeter
{
public:
    /*!
        Counts \a n for \a service at this node.
    */
    void record(const std::string &service, std::int64_t n, Timestamp now);

    /*!
        Counts \a n for \a service at other nodes.
    */
    void recordPeers(const std::string &service, std::int64_t n, Timestamp now);

    /*!
        Returns the recent rate for \a service over all nodes, per second.
    */
    double perSecond(const std::string &service, Timestamp now) const;

    /*!
        Returns the counters of this node since its start, by service.
    */
    const std::map<std::string, std::int64_t> &ownCounters() const { return m_ownCounters; }

private:
    struct Rate
    {
        double perSecond = 0.0;
        Timestamp last;
    };

    void addToRate(const std::string &service, double n, Timestamp now);

    std::map<std::string, std::int64_t> m_ownCounters;
    std::map<std::string, Rate> m_rates;
};

} // namespace sesame
