#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sesame {

/*!
    Chooses the requests of a service that go to the target of a roll-out. Each node counts by
    itself, so that of N requests at most N times the share, plus one, are chosen.
*/
class RolloutExposure
{
public:
    /*!
        \a phase, from 0 to 1, determines the first request that is chosen. It differs between
        nodes, so that they do not all choose the same one.
    */
    explicit RolloutExposure(double phase) : m_phase(phase) { }

    /*!
        Returns whether the next request of \a service under \a order goes to the target, whose
        share is \a share thousandths.
    */
    bool choose(const std::string &service, std::int64_t order, int share);

private:
    struct Counter
    {
        std::int64_t order = 0;
        double sum = 0.0;
    };

    double m_phase;
    std::map<std::string, Counter> m_counters; //!< By service.
};

} // namespace sesame
