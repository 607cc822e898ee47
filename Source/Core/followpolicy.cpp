#include "Core/followpolicy.h"

#include <algorithm>

namespace sesame {

namespace {

constexpr int maxDoublings = 5;

} // namespace

bool FollowPolicy::update(const FollowInputs &inputs, Timestamp now)
{
    const bool isCalm = inputs.peerAge && *inputs.peerAge < m_options.freshAge;
    if (!isCalm)
        m_calmSince.reset();
    else if (!m_calmSince)
        m_calmSince = now;
    if (mustFollow(inputs)) {
        const bool isReturn = !m_isFollowing && m_stoppedAt != Timestamp {};
        if (isReturn)
            m_quickReturns = now - m_stoppedAt < m_options.quickReturnLimit ? m_quickReturns + 1
                                                                            : 0;
        m_isFollowing = true;
        return true;
    }
    const Duration calmTime = m_options.calmTime * (1 << std::min(m_quickReturns, maxDoublings));
    if (m_isFollowing && m_calmSince && now - *m_calmSince >= calmTime) {
        m_isFollowing = false;
        m_stoppedAt = now;
    }
    return m_isFollowing;
}

bool FollowPolicy::mustFollow(const FollowInputs &inputs) const
{
    if (inputs.isFollower || !inputs.hearsPeers || !inputs.age)
        return true;
    const Duration limit = inputs.isAggregator ? m_options.aggregatorAgeLimit
                                               : m_options.memberAgeLimit;
    const auto spread = std::chrono::duration_cast<Duration>(m_options.ageLimitSpread * m_spread);
    return *inputs.age > limit + spread;
}

} // namespace sesame
