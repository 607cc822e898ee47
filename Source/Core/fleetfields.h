#pragma once

#include "Core/fleetconfig.h"
#include "Core/tomlreader.h"

#include <array>
#include <span>

namespace sesame {

/*!
    Return the numeric settings of the fleet file, and rankNames() the names of the ranks. The
    parser, the validation of exceptions and applyExceptions() use the same tables.
*/
std::span<const NumberField<FleetDefaults>> defaultFields();
std::span<const NumberField<RankPolicy>> rankFields();
std::span<const NumberField<Account>> accountFields();
std::span<const NumberField<Route>> routeFields();
std::span<const NumberField<BackendClass>> backendClassFields();
std::span<const std::pair<std::string_view, Rank>> rankNames();

} // namespace sesame
