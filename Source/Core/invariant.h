#pragma once

#include <string_view>

namespace sesame {

/*!
    Aborts the process with the message \a text unless \a isSatisfied is true. A node with a
    violated invariant must not continue to serve, so the check is active in all build types.
*/
void requireInvariant(bool isSatisfied, std::string_view text);

} // namespace sesame
