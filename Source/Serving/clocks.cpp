#include "Serving/clocks.h"

#include <ctime>

namespace sesame {

Timestamp steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Timestamp bootNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const auto whole = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Timestamp(std::chrono::duration_cast<Duration>(whole));
}

std::int64_t bootMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(bootNow().time_since_epoch())
            .count();
}

WallMillis wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace sesame
