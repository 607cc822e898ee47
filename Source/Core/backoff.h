#pragma once

#include "Core/ports.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace sesame {

struct BackoffOptions
{
    Duration first {std::chrono::milliseconds(50)};
    Duration longest {std::chrono::seconds(5)};
};

/*!
    Exponential backoff with full jitter: the delay is uniform between zero and a bound
    that doubles with each attempt. Full jitter keeps callers that failed together from
    retrying together.
*/
class Backoff
{
public:
    explicit Backoff(BackoffOptions options = {});

    /*!
        Returns the bound of the next delay and doubles it for the one after.
    */
    Duration nextBound();

    /*!
        Returns the next delay, drawn from \a generator.
    */
    template <std::uniform_random_bit_generator G>
    Duration next(G &generator)
    {
        std::uniform_int_distribution<std::int64_t> pick(0, nextBound().count());
        return Duration(pick(generator));
    }

    void reset();

    /*!
        Returns the number of delays handed out since the last reset.
    */
    std::uint32_t attempts() const { return m_attempts; }

private:
    BackoffOptions m_options;
    Duration m_bound;
    std::uint32_t m_attempts = 0;
};

} // namespace sesame
