#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Returns the lines between the common beginning and the common end of both texts, those of
    \a before marked with "-" and those of \a after with "+", at most \a limit of each.
*/
std::string lineDifference(std::string_view before, std::string_view after,
                           std::size_t maxLines = 12);

} // namespace sesame
