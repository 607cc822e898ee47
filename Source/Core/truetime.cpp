#include "Core/truetime.h"

#include <algorithm>
#include <vector>

namespace sesame {

void TrueTime::recordPeerEstimate(const std::string &peer, WallMillis peerEstimate,
                                  std::int64_t bootMillis)
{
    m_peerOffsets[peer] = peerEstimate - bootMillis;
}

WallMillis TrueTime::now(std::int64_t bootMillis) const
{
    std::vector<std::int64_t> offsets {m_ownOffset};
    for (const auto &[peer, offset] : m_peerOffsets)
        offsets.push_back(offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle + bootMillis;
}

} // namespace sesame
