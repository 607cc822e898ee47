#pragma once

#include <cstdint>

namespace sesame {

/*!
    How an instance is bought: reclaimable instances are cheaper and can be taken back.
*/
enum class Market : std::uint8_t { Reclaimable, OnDemand };

} // namespace sesame
