#include "Core/linedifference.h"

#include "Core/printabletext.h"

#include <algorithm>
#include <span>
#include <vector>

namespace sesame {

namespace {

using Lines = std::span<const std::string_view>;

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        lines.push_back(line);
    }
    return lines;
}

void appendLines(std::string &out, Lines lines, std::string_view prefix, std::size_t maxLines)
{
    for (std::string_view line : lines.first(std::min(maxLines, lines.size())))
        out += std::string(prefix) + escapeControls(line) + "\n";
    if (lines.size() > maxLines)
        out += std::string(prefix) + "... " + std::to_string(lines.size() - maxLines)
                + " more lines\n";
}

} // namespace

std::string lineDifference(std::string_view before, std::string_view after, std::size_t maxLines)
{
    const std::vector<std::string_view> a = splitLines(before);
    const std::vector<std::string_view> b = splitLines(after);
    const std::size_t shorter = std::min(a.size(), b.size());
    std::size_t commonPrefix = 0;
    while (commonPrefix < shorter && a[commonPrefix] == b[commonPrefix])
        ++commonPrefix;
    std::size_t commonSuffix = 0;
    while (commonSuffix < shorter - commonPrefix
           && a[a.size() - 1 - commonSuffix] == b[b.size() - 1 - commonSuffix])
        ++commonSuffix;
    std::string out;
    appendLines(out, Lines(a).subspan(commonPrefix, a.size() - commonPrefix - commonSuffix), "- ",
                maxLines);
    appendLines(out, Lines(b).subspan(commonPrefix, b.size() - commonPrefix - commonSuffix), "+ ",
                maxLines);
    return out;
}

} // namespace sesame
