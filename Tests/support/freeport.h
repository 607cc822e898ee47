#pragma once

#include <cstdint>

namespace sesame {

/*!
    Returns a TCP port of the loopback address that nothing listens on at the moment.
*/
std::uint16_t freePort();

} // namespace sesame
