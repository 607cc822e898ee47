#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <map>
#include <string>

namespace sesame {

/*!
    Rate of the requests that all nodes refuse for lack of room, by service.
*/
class RefusalMeter
{
public:
    /*!
        Counts a refusal of this node.
    */
    void record(const std::string &service, Timestamp now);

    /*!
        Takes the counters of \a peer, which start at zero with each incarnation.
    */
    void mergePeerCounters(const std::string &peer, std::int64_t incarnation,
                           const std::map<std::string, std::int64_t> &counters, Timestamp now);

    /*!
        Returns the recent rate of all nodes.
    */
    double refusalsPerSecond(const std::string &service, Timestamp now) const;

    const std::map<std::string, std::int64_t> &ownCounters() const { return m_ownCounters; }

private:
    struct Rate
    {
        double refusalsPerSecond = 0.0;
        Timestamp last;
    };
    struct Peer
    {
        std::int64_t incarnation = 0;
        std::map<std::string, std::int64_t> counters;
    };

    void addToRate(const std::string &service, double refusals, Timestamp now);

    std::map<std::string, std::int64_t> m_ownCounters;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, Rate> m_rates;
};

} // namespace sesame
