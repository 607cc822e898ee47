#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    One server-sent event.
*/
struct SseEvent
{
    std::string type = "message";
    std::string id; //!< Empty if the event has no id; an earlier id is not carried over.
    std::string data;
};

/*!
    Parses a text/event-stream body into events. The body may be received in parts of any size.
*/
class SseParser
{
public:
    using EventHandler = std::function<void(const SseEvent &)>;

    /*!
        A line that is longer than \a maxLineBytes, or an event with more data than that, ends
        parsing, so that a faulty engine cannot exhaust the node's memory.
    */
    explicit SseParser(std::size_t maxLineBytes = 1U << 20U) : m_maxLineBytes(maxLineBytes) { }

    /*!
        Parses \a part and passes each complete event to \a handleEvent. Returns false if a limit
        was exceeded in this or an earlier part.
    */
    bool feed(std::string_view part, const EventHandler &handleEvent);

private:
    void parseLine(const EventHandler &handleEvent);
    void applyField(std::string_view name, std::string_view value);

    std::size_t m_maxLineBytes;
    std::string m_line;
    SseEvent m_event;
    bool m_hasData = false;
    bool m_afterCarriageReturn = false; //!< After CR, an LF belongs to the same line end.
    bool m_failed = false;
};

} // namespace sesame
