#pragma once

#include <string_view>

namespace sesame {

/*!
    Ends the program with \a text when \a holds is false. A node that broke one of its
    promises must not go on serving, so the check stays in every build type.
*/
void requireInvariant(bool isSatisfied, std::string_view text);

} // namespace sesame
