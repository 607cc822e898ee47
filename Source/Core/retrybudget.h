#pragma once

#include <cstdint>

namespace sesame {

struct RetryBudgetOptions
{
    double retriesPerSuccess = 0.1;
    double initialTokens = 10.0; //!< Lets a node that has just started retry at all.
    double maxTokens = 100.0; //!< Bounds the retry burst after a long good period.
};

/*!
    Limits the retries of one node to a share of its successful calls, so that an outage
    is not multiplied by retries. Has no clock: only successes refill it.
*/
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordSuccess();

    /*!
        Takes one retry from the budget. Returns false if none is left (code 1302).
    */
    bool tryRetry();

    void setRetriesPerSuccess(double ratio) { m_options.retriesPerSuccess = ratio; }
    double tokens() const { return m_tokens; }
    std::uint64_t denied() const { return m_denied; }

private:
    RetryBudgetOptions m_options;
    double m_tokens;
    std::uint64_t m_denied = 0;
};

} // namespace sesame
