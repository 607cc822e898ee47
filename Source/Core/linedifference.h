#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Returns the lines between the common prefix and the common suffix of both texts. Lines of
    \a before are marked with "-" and those of \a after with "+". At most \a maxLines of each are
    returned.
*/
std::string lineDifference(std::string_view before, std::string_view after,
                           std::size_t maxLines = 12);

} // namespace sesame
