#pragma once

#include "Core/ports.h"

namespace sesame {

/*!
    The monotonic clock and the wall clock of the operating system.
*/
class SystemClock
{
public:
    Timestamp now() const;
    WallMillis wallMillis() const;
};

} // namespace sesame
