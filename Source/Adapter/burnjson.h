#pragma once

#include "Core/burnreport.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Returns \a report as compact JSON. This is the body of the response to GET /v1/burn.
*/
std::string dumpBurnReport(const BurnReport &report);

/*!
    Parses the output of dumpBurnReport(). Returns std::nullopt and sets the last reason if a member
    is missing or a count is not valid. Members that are computed from others, such as burn_rate,
    are ignored.
*/
std::optional<BurnReport> parseBurnReport(std::string_view json);

} // namespace sesame
