#include "Core/eventsplitter.h"

#include <algorithm>

namespace sesame {

namespace {

//! Returns the length of the part of \a text that ends with a blank line, or 0.
std::size_t completeLength(std::string_view text)
{
    const std::size_t lf = text.rfind("\n\n");
    const std::size_t crlf = text.rfind("\r\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 4;
    return std::max(lfEnd, crlfEnd);
}

} // namespace

std::string EventSplitter::append(std::string_view bytes)
{
    m_partial.append(bytes);
    const std::size_t length = completeLength(m_partial);
    std::string events = m_partial.substr(0, length);
    m_partial.erase(0, length);
    noteIds(events);
    return events;
}

void EventSplitter::noteIds(std::string_view events)
{
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty()) {
            ++m_events;
            continue;
        }
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        m_lastId = line;
    }
}

} // namespace sesame
