#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sesame {

struct SseEvent
{
    std::string type = "message";
    std::string id; //!< Empty if this event has none; ids of earlier events are not repeated.
    std::string data;
};

/*!
    Splits a text/event-stream body into events, whatever the sizes of the parts it arrives in.
*/
class SseParser
{
public:
    using EventHandler = std::function<void(const SseEvent &)>;

    /*!
        Lines longer than \a maxLineBytes bytes and events with more data than that end parsing,
        so that a faulty engine cannot fill the node's memory.
    */
    explicit SseParser(std::size_t maxLineBytes = 1U << 20U) : m_maxLineBytes(maxLineBytes) { }

    /*!
        Parses \a part and passes each completed event to \a handleEvent. Returns false, now and
        from then on, if a limit is exceeded.
    */
    bool feed(std::string_view part, const EventHandler &handleEvent);

private:
    void parseLine(const EventHandler &handleEvent);
    void applyField(std::string_view name, std::string_view value);

    std::size_t m_maxLineBytes;
    std::string m_line;
    SseEvent m_event;
    bool m_hasData = false;
    bool m_afterCarriageReturn
            = false; //!< The last character was CR, so LF belongs to the same line end.
    bool m_failed = false;
};

} // namespace sesame
