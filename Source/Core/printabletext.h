#pragma once

#include <string>
#include <string_view>

namespace sesame {

/*!
    Returns the UTF-8 \a text with its control characters, except tabs, replaced by escapes of the
    form \\uXXXX. Used for names and values of other writers, because a terminal obeys control
    characters. A JSON text keeps its meaning.
*/
std::string escapeControls(std::string_view text);

} // namespace sesame
