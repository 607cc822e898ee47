#include "Core/transitmeter.h"

#include <algorithm>

namespace sesame {

namespace {

//! Covers the transit of the fastest datagram between two nodes of a region.
constexpr Duration fastestTransit = std::chrono::milliseconds(20);

} // namespace

Duration TransitMeter::measure(const std::string &node, std::int64_t incarnation,
                               std::int64_t sentMillis, std::int64_t receivedMillis)
{
    const std::int64_t difference = receivedMillis - sentMillis;
    Fastest &fastest = m_fastest[node];
    if (fastest.incarnation != incarnation)
        fastest = {.incarnation = incarnation, .difference = difference};
    fastest.difference = std::min(fastest.difference, difference);
    return fastestTransit + std::chrono::milliseconds(difference - fastest.difference);
}

} // namespace sesame
