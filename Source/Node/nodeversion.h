#pragma once

#include <string_view>

namespace sesame {

/*!
    Returns the release number that logs and `--version` print.
*/
std::string_view nodeVersion();

} // namespace sesame
