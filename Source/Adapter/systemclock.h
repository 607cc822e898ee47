#pragma once

#include "Core/ports.h"

namespace sesame {

/*!
    The operating system's monotonic and wall clocks.
*/
class SystemClock
{
public:
    Timestamp now() const;
    WallMillis wallMillis() const;
};

} // namespace sesame
