#include "Core/linedifference.h"

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

void appendLines(std::string &out, Lines lines, std::string_view mark, std::size_t limit)
{
    for (std::string_view line : lines.first(std::min(limit, lines.size())))
        out += std::string(mark) + std::string(line) + "\n";
    if (lines.size() > limit)
        out += std::string(mark) + "... " + std::to_string(lines.size() - limit) + " more lines\n";
}

} // namespace

std::string lineDifference(std::string_view before, std::string_view after, std::size_t limit)
{
    const std::vector<std::string_view> a = splitLines(before);
    const std::vector<std::string_view> b = splitLines(after);
    const std::size_t shorter = std::min(a.size(), b.size());
    std::size_t head = 0;
    while (head < shorter && a[head] == b[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head && a[a.size() - 1 - tail] == b[b.size() - 1 - tail])
        ++tail;
    std::string out;
    appendLines(out, Lines(a).subspan(head, a.size() - head - tail), "- ", limit);
    appendLines(out, Lines(b).subspan(head, b.size() - head - tail), "+ ", limit);
    return out;
}

} // namespace sesame
