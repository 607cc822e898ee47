#pragma once

#include "Core/fleetconfig.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    The reason why an exception cannot be applied.
*/
struct ExceptionFault
{
    std::string_view member; //!< Name of the invalid member: "key", "scope" or "value".
    std::string allowed; //!< Description of the values allowed for the member.
};

/*!
    Applies \a exception to \a config. If the key, scope or value is invalid, returns the fault and
    leaves \a config unchanged. A zone scope must name an existing zone; the exception is applied
    regardless of which zone it names.
*/
std::optional<ExceptionFault> applyException(FleetConfig &config, const FleetException &exception);

/*!
    Returns \a config after applying the exceptions for a node in \a zone, in the order of the
    file. If \a zone is empty, only the exceptions without a zone scope are applied.
*/
FleetConfig applyExceptions(FleetConfig config, std::string_view zone);

/*!
    Returns the capacity limit of \a config after applying the exceptions without a zone scope.
*/
std::uint32_t effectiveCapacityLimit(const FleetConfig &config);

/*!
    Returns the sum of the guaranteed minimum shares (floor_share) of all ranks.
*/
double sumFloorShares(const FleetConfig &config);

} // namespace sesame
