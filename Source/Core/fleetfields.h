#pragma once

#include "Core/fleetconfig.h"
#include "Core/tomlreader.h"

#include <array>
#include <span>

namespace sesame {

/*!
    The numeric settings of the fleet file. The parser, the check of exceptions and
    applyExceptions() share them.
*/
std::span<const NumberField<FleetDefaults>> defaultFields();
std::span<const NumberField<RankPolicy>> rankFields();
std::span<const NumberField<Account>> accountFields();
std::span<const NumberField<Route>> routeFields();
std::span<const NumberField<BackendClass>> backendClassFields();
std::span<const std::pair<std::string_view, Rank>> rankNames();

} // namespace sesame
