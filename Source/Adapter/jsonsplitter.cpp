#include "Adapter/jsonsplitter.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>

namespace sesame {

namespace {

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r\n";
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/*!
    Returns the position after the string that starts at \a start, or npos if it does not end.
*/
std::size_t findStringEnd(std::string_view text, std::size_t start)
{
    for (std::size_t i = start + 1; i < text.size(); ++i) {
        if (text[i] == '\\')
            ++i;
        else if (text[i] == '"')
            return i + 1;
    }
    return std::string_view::npos;
}

} // namespace

std::optional<std::vector<std::string_view>> JsonSplitter::split(std::string_view text, char open,
                                                                 char close)
{
    text = trim(text);
    if (text.size() < 2 || text.front() != open || text.back() != close)
        return std::nullopt;
    text = text.substr(1, text.size() - 2);
    std::vector<std::string_view> pieces;
    if (trim(text).empty())
        return pieces;
    std::size_t depth = 0;
    std::size_t pieceStart = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            const std::size_t end = findStringEnd(text, i);
            if (end == std::string_view::npos)
                return std::nullopt;
            i = end - 1;
        } else if (c == '[' || c == '{') {
            ++depth;
        } else if (c == ']' || c == '}') {
            if (depth == 0)
                return std::nullopt;
            --depth;
        } else if (c == ',' && depth == 0) {
            pieces.push_back(trim(text.substr(pieceStart, i - pieceStart)));
            pieceStart = i + 1;
        }
    }
    if (depth != 0)
        return std::nullopt;
    pieces.push_back(trim(text.substr(pieceStart)));
    return pieces;
}

std::optional<std::vector<std::string_view>> JsonSplitter::splitArray(std::string_view text)
{
    return split(text, '[', ']');
}

std::optional<std::vector<JsonSplitter::Member>> JsonSplitter::splitObject(std::string_view text)
{
    const auto pieces = split(text, '{', '}');
    if (!pieces)
        return std::nullopt;
    std::vector<Member> members;
    for (const std::string_view piece : *pieces) {
        const std::size_t keyEnd = piece.starts_with('"') ? findStringEnd(piece, 0)
                                                          : std::string_view::npos;
        const std::size_t colon = keyEnd == std::string_view::npos ? keyEnd
                                                                   : piece.find(':', keyEnd);
        if (colon == std::string_view::npos)
            return std::nullopt;
        members.push_back(
                {.key = piece.substr(1, keyEnd - 2), .value = trim(piece.substr(colon + 1))});
    }
    return members;
}

std::string_view JsonSplitter::findMember(std::string_view text, std::string_view key)
{
    for (const Member &member : splitObject(text).value_or(std::vector<Member> {})) {
        if (member.key == key)
            return member.value;
    }
    return {};
}

std::optional<std::string> JsonSplitter::unquote(std::string_view text)
{
    if (text.size() < 2 || text.front() != '"' || findStringEnd(text, 0) != text.size())
        return std::nullopt;
    // The only escape of JSON that C does not have is that of a slash.
    const std::string escaped = absl::StrReplaceAll(
            absl::string_view(text.data() + 1, text.size() - 2), {{"\\\\", "\\\\"}, {"\\/", "/"}});
    std::string content;
    if (!absl::CUnescape(escaped, &content))
        return std::nullopt;
    return content;
}

} // namespace sesame
