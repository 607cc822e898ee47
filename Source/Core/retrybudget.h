#pragma once

#include <cstdint>

namespace sesame {

struct RetryBudgetOptions
{
    double retriesPerSuccess = 0.1; //!< Tokens added for each successful call.
    double initialTokens = 10.0; //!< Allows retries on a node that has just started.
    double maxTokens = 100.0; //!< Limits the burst of retries after a long time without failures.
};

/*!
    Limits the retries of one node to a share of its successful calls, so that retries do not
    multiply the load during an outage. The budget is refilled only by successful calls, not by the
    passing of time.
*/
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void recordSuccess();

    /*!
        Takes one retry token from the budget. Returns false if none is left (code 1302).
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
