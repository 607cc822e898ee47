#include "Core/eventsplitter.h"

#include "Core/headervalue.h"

#include <utility>

namespace sesame {

namespace {

//! Events of a model engine have an id and a few hundred bytes.
constexpr std::size_t maxBytesWithoutId = 256U << 10U;

} // namespace

std::string EventSplitter::append(std::string_view bytes)
{
    m_bytesSinceId += bytes.size();
    std::size_t searchStart = m_partial.size();
    m_partial.append(bytes);
    // Events are delimited by their lines alone, however their bytes are split on arrival.
    std::size_t complete = 0;
    while (!m_hasUnusableId) {
        const std::size_t end = m_partial.find('\n', searchStart);
        if (end == std::string::npos)
            break;
        searchStart = end + 1;
        std::string_view line(m_partial.data() + m_lineStart, end - m_lineStart);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lineStart = end + 1;
        if (line.empty()) {
            complete = m_lineStart;
            finishEvent();
        } else {
            parseLine(line);
        }
    }
    std::string events = m_partial.substr(0, complete);
    m_partial.erase(0, complete);
    m_lineStart -= complete;
    return events;
}

bool EventSplitter::isOverrun() const
{
    return m_bytesSinceId > maxBytesWithoutId;
}

void EventSplitter::dropPartial()
{
    m_bytesSinceId = 0;
    m_partial.clear();
    m_lineStart = 0;
    m_hasLines = false;
    m_hasUnusableId = false;
    m_pendingId.reset();
}

void EventSplitter::parseLine(std::string_view line)
{
    m_hasLines = true;
    if (!line.starts_with("id:"))
        return;
    line.remove_prefix(3);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (isUsableHeaderValue(line))
        m_pendingId = line;
    else
        m_hasUnusableId = true;
}

void EventSplitter::finishEvent()
{
    if (!std::exchange(m_hasLines, false))
        return;
    ++m_eventCount;
    if (!m_pendingId)
        return;
    m_lastId = *std::exchange(m_pendingId, std::nullopt);
    m_bytesSinceId = m_partial.size() - m_lineStart;
}

} // namespace sesame
