#include "Core/headervalue.h"

#include <algorithm>

namespace sesame {

bool isUsableHeaderValue(std::string_view text)
{
    // The header of a request has a limit of some kilobytes, and names and ids have a few dozen
    // bytes.
    constexpr std::size_t maxBytes = 1024;
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return text.size() <= maxBytes && std::none_of(text.begin(), text.end(), [](unsigned char c) {
               return c < firstPrintable || c == deleteCharacter;
           });
}

} // namespace sesame
