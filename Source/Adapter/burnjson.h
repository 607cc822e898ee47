#pragma once

#include "Core/burnreport.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Returns \a report as compact JSON, the answer of GET /v1/burn.
*/
std::string dumpBurnReport(const BurnReport &report);

/*!
    Returns the report that \a json contains. Returns std::nullopt with a last reason if a
    member is missing or a count is not valid. Derived members such as burn_rate are ignored.
*/
std::optional<BurnReport> parseBurnReport(std::string_view json);

} // namespace sesame
