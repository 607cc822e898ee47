#pragma once

#include "Core/ports.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace sesame {

struct BackoffOptions
{
    Duration initialBound {std::chrono::milliseconds(50)};
    Duration maxBound {std::chrono::seconds(5)};
};

/*!
    Exponential backoff with full jitter: the delay is uniformly distributed between zero and a
    bound that doubles with each attempt. Full jitter prevents callers that failed at the same time
    from retrying at the same time.
*/
class Backoff
{
public:
    explicit Backoff(BackoffOptions options = {});

    /*!
        Returns the bound of the next delay and doubles the bound for the following one.
    */
    Duration nextBound();

    /*!
        Returns the next delay, using random numbers of \a generator.
    */
    template <std::uniform_random_bit_generator G>
    Duration nextDelay(G &generator)
    {
        std::uniform_int_distribution<std::int64_t> distribution(0, nextBound().count());
        return Duration(distribution(generator));
    }

    void reset();

    /*!
        Returns the number of delays returned since the last reset.
    */
    std::uint32_t attempts() const { return m_attempts; }

private:
    BackoffOptions m_options;
    Duration m_bound;
    std::uint32_t m_attempts = 0;
};

} // namespace sesame
