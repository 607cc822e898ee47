#pragma once

#include <cstdint>

namespace sesame {

/*!
    Purchase type of an instance. Reclaimable instances are cheaper, but the cloud can reclaim them.
*/
enum class Market : std::uint8_t { Reclaimable, OnDemand };

} // namespace sesame
