#include "Core/Rollout/rolloutexposure.h"

#include "Core/Rollout/rolloutbook.h"

namespace sesame {

bool RolloutExposure::choose(const std::string &service, std::int64_t order, int share)
{
    const auto [found, added] = m_counters.try_emplace(service, Counter {order, m_phase});
    Counter &counter = found->second;
    if (counter.order != order)
        counter = {.order = order, .sum = m_phase};
    counter.sum += static_cast<double>(share) / RolloutBook::wholeShare;
    if (counter.sum < 1.0)
        return false;
    counter.sum -= 1.0;
    return true;
}

} // namespace sesame
