#pragma once

#include "Core/ports.h"

#include <cstdint>

namespace sesame {

/*!
    Returns the time of the steady clock, which does not advance while the machine is suspended.
*/
Timestamp steadyNow();

/*!
    Returns the time since the machine booted, including suspended time. This clock is never
    adjusted.
*/
Timestamp bootNow();

/*!
    Returns bootNow() in milliseconds.
*/
std::int64_t bootMillis();

/*!
    Returns the system time in Unix milliseconds. It may jump when the system clock is adjusted.
*/
WallMillis wallNow();

} // namespace sesame
