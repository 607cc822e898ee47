#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Splits a stream of server-sent events after its last complete event, so that only complete
    events are passed on and the stream can be resumed after the last of them.
*/
class EventSplitter
{
public:
    /*!
        Appends received bytes to the buffer, and removes and returns its complete events.
    */
    std::string append(std::string_view bytes);

    /*!
        Discards the buffered bytes of an incomplete event.
    */
    void dropPartial();

    /*!
        Returns the buffered bytes of the incomplete event.
    */
    const std::string &partial() const { return m_partial; }

    /*!
        Returns the last id among the complete events, or an empty string.
    */
    const std::string &lastId() const { return m_lastId; }

    /*!
        Returns whether so many bytes have arrived without the end of an event that has an id that
        they are no stream of events.
    */
    bool isOverrun() const;

    /*!
        Returns whether an event has an id after which the stream can't be resumed, because it is
        too long for a header field or has control characters. That event and what follows stay in
        the buffer.
    */
    bool hasUnusableId() const { return m_hasUnusableId; }

    /*!
        Returns the number of complete events.
    */
    std::size_t eventCount() const { return m_eventCount; }

private:
    void parseLine(std::string_view line);
    void finishEvent();

    std::string m_partial;
    std::size_t m_lineStart = 0; //!< Start in \c m_partial of the first incomplete line.
    bool m_hasLines = false; //!< Whether the incomplete event has any line.
    std::optional<std::string> m_pendingId; //!< Id of the incomplete event.
    std::string m_lastId;
    bool m_hasUnusableId = false;
    std::size_t m_eventCount = 0;
    std::size_t m_bytesSinceId = 0; //!< Bytes since the last complete event with an id.
};

} // namespace sesame
