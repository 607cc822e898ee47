#pragma once

#include "Core/ports.h"

#include <cstdint>

namespace sesame {

/*!
    Returns the steady clock, which stands still while the machine is suspended.
*/
Timestamp steadyNow();

/*!
    Returns a clock that also counts the time of a suspension and is never set.
*/
Timestamp bootNow();
std::int64_t bootMillis();

/*!
    Returns the time of day, Unix milliseconds; may jump.
*/
WallMillis wallNow();

} // namespace sesame
