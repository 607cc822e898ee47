#include "Core/retrybudget.h"

#include <algorithm>

namespace sesame {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options), m_tokens(options.initialTokens)
{
}

void RetryBudget::recordSuccess()
{
    m_tokens = std::min(m_tokens + m_options.retriesPerSuccess, m_options.maxTokens);
}

bool RetryBudget::tryRetry()
{
    // The tolerance absorbs the rounding error of ten successes with 0.1 tokens each.
    if (m_tokens < 1.0 - 1e-9) {
        ++m_denied;
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace sesame
