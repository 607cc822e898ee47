#pragma once

#include "Core/fleetconfig.h"
#include "Core/settingserror.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Reads a fleet file. Returns std::nullopt after appending every fault found to \a errors.
    \a fileName is only used in error texts. Exceptions are checked, but not applied; see
    applyExceptions().
*/
std::optional<FleetConfig> parseFleetFile(std::string_view text, std::string_view fileName,
                                          std::vector<SettingsError> &errors);

/*!
    Returns the spelling of \a rank in files, for example "urgent".
*/
std::string_view toString(Rank rank);

/*!
    Returns the rank spelled \a text, or std::nullopt.
*/
std::optional<Rank> parseRank(std::string_view text);

} // namespace sesame
