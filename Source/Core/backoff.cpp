#include "Core/backoff.h"

namespace sesame {

Backoff::Backoff(BackoffOptions options) : m_options(options), m_bound(options.initialBound) { }

Duration Backoff::nextBound()
{
    const Duration bound = m_bound;
    m_bound = std::min(m_bound * 2, m_options.maxBound);
    ++m_attempts;
    return bound;
}

void Backoff::reset()
{
    m_bound = m_options.initialBound;
    m_attempts = 0;
}

} // namespace sesame
