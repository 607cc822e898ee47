#include "Core/backoff.h"

namespace sesame {

Backoff::Backoff(BackoffOptions options) : m_options(options), m_bound(options.first) { }

Duration Backoff::nextBound()
{
    const Duration bound = m_bound;
    m_bound = std::min(m_bound * 2, m_options.longest);
    ++m_attempts;
    return bound;
}

void Backoff::reset()
{
    m_bound = m_options.first;
    m_attempts = 0;
}

} // namespace sesame
