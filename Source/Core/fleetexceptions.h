#pragma once

#include "Core/fleetconfig.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Why an exception cannot be applied: the faulty member of it and what is allowed there.
*/
struct ExceptionFault
{
    std::string_view member; //!< "key", "scope" or "value".
    std::string allowed;
};

/*!
    Applies \a exception to \a config. Returns the fault and leaves \a config unchanged if the
    key, scope or value is not valid. The zone of a scope must exist, and is otherwise ignored.
*/
std::optional<ExceptionFault> applyException(FleetConfig &config, const FleetException &exception);

/*!
    Returns \a config with the exceptions applied that hold for a node in \a zone, in the order
    of the file. With an empty zone, only the exceptions that name no zone are applied.
*/
FleetConfig applyExceptions(FleetConfig config, std::string_view zone);

/*!
    Returns the capacity limit after the exceptions that name no zone.
*/
std::uint32_t effectiveCapacityLimit(const FleetConfig &config);

/*!
    Returns the sum of the guaranteed minimum shares of all ranks.
*/
double sumFloorShares(const FleetConfig &config);

} // namespace sesame
