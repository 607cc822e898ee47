#include "Core/sseparser.h"

#include <utility>

namespace sesame {

bool SseParser::feed(std::string_view part, const EventHandler &handleEvent)
{
    while (!part.empty() && !m_failed) {
        if (m_afterCarriageReturn && part.front() == '\n')
            part.remove_prefix(1);
        m_afterCarriageReturn = false;
        const std::size_t end = part.find_first_of("\r\n");
        m_line.append(part.substr(0, end));
        m_failed = m_line.size() > m_maxLineBytes;
        if (end == std::string_view::npos || m_failed)
            break;
        m_afterCarriageReturn = part[end] == '\r';
        part.remove_prefix(end + 1);
        parseLine(handleEvent);
    }
    return !m_failed;
}

void SseParser::parseLine(const EventHandler &handleEvent)
{
    const std::string line = std::exchange(m_line, {});
    if (line.empty()) {
        // An event without data is not passed on. Its type and id are discarded.
        const SseEvent event = std::exchange(m_event, {});
        if (std::exchange(m_hasData, false))
            handleEvent(event);
        return;
    }
    const std::string_view view = line;
    const std::size_t colon = view.find(':');
    if (colon == std::string_view::npos) {
        applyField(view, {});
        return;
    }
    std::string_view value = view.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    applyField(view.substr(0, colon), value);
}

void SseParser::applyField(std::string_view name, std::string_view value)
{
    if (name == "event") {
        m_event.type = value;
    } else if (name == "id") {
        m_event.id = value;
    } else if (name == "data") {
        if (m_hasData)
            m_event.data.push_back('\n');
        m_event.data.append(value);
        m_hasData = true;
        m_failed = m_event.data.size() > m_maxLineBytes;
    }
}

} // namespace sesame
