#pragma once

#include "Core/ports.h"

#include <map>
#include <string>

namespace sesame {

/*!
    Estimates for how long datagrams from other nodes have been under way, so that the age of the
    knowledge that they carry is not taken for smaller than it is. Without this, knowledge that is
    passed around among nodes would grow old more slowly than time passes.

    Each sender states the time of its own clock, which is never set while its process runs. The
    fastest datagram so far tells the difference between the clocks; each other one took longer by
    as much as it deviates from that.
*/
class TransitMeter
{
public:
    /*!
        Returns the estimate for a datagram that process \a incarnation of \a node sent at
        \a sentMillis of its clock and that arrived at \a receivedMillis of this node's clock.
    */
    Duration measure(const std::string &node, std::int64_t incarnation, std::int64_t sentMillis,
                     std::int64_t receivedMillis);

    void forget(const std::string &node) { m_fastest.erase(node); }

private:
    struct Fastest
    {
        std::int64_t incarnation = 0;
        std::int64_t difference = 0; //!< Between the clocks, in milliseconds, with the transit.
    };

    std::map<std::string, Fastest> m_fastest;
};

} // namespace sesame
