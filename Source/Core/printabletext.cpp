#include "Core/printabletext.h"

#include <array>
#include <cstdio>

namespace sesame {

std::string escapeControls(std::string_view text)
{
    constexpr unsigned char deleteCharacter = 0x7f;
    // U+0080 to U+009F are control characters too.
    constexpr unsigned char firstByteOfC1 = 0xc2;
    constexpr unsigned char afterLastC1 = 0xa0;
    std::string escaped;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto c = static_cast<unsigned char>(text[i]);
        const unsigned char next = i + 1 < text.size() ? static_cast<unsigned char>(text[i + 1])
                                                       : afterLastC1;
        const bool isC1 = c == firstByteOfC1 && next < afterLastC1;
        if (c == '\t' || (c >= ' ' && c != deleteCharacter && !isC1)) {
            escaped += text[i];
            continue;
        }
        std::array<char, 8> buf {};
        std::snprintf(buf.data(), buf.size(), "\\u%04x", static_cast<unsigned>(isC1 ? next : c));
        escaped += buf.data();
        i += isC1 ? 1 : 0;
    }
    return escaped;
}

} // namespace sesame
