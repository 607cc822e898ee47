#pragma once

#include "Core/fleetconfig.h"
#include "Core/settingserror.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Parses a fleet file. If it has errors, appends all of them to \a errors and returns
    std::nullopt. \a fileName is used only in error messages. Exceptions are checked but not
    applied; see applyExceptions().
*/
std::optional<FleetConfig> parseFleetFile(std::string_view text, std::string_view fileName,
                                          std::vector<SettingsError> &errors);

/*!
    Returns the name of \a rank in the fleet file, for example "urgent".
*/
std::string_view toString(Rank rank);

/*!
    Returns the rank with the name \a text, or std::nullopt if there is none.
*/
std::optional<Rank> parseRank(std::string_view text);

} // namespace sesame
