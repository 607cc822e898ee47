#pragma once

#include <string_view>

namespace sesame {

/*!
    Returns the release version that logs and `--version` print.
*/
std::string_view nodeVersion();

} // namespace sesame
