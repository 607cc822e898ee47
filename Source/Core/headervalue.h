#pragma once

#include <string_view>

namespace sesame {

/*!
    Returns whether \a text, which comes from outside, may become the value of a header field. It
    may not have control characters, which could begin another field, and its length is limited.
*/
bool isUsableHeaderValue(std::string_view text);

} // namespace sesame
