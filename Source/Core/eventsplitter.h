#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Cuts a stream of server-sent events after its last complete event, so that only whole events
    are passed on and a stream can be resumed after the last one.
*/
class EventSplitter
{
public:
    /*!
        Adds received bytes and returns the complete events among all that is held.
    */
    std::string append(std::string_view bytes);

    /*!
        Drops an event that was cut off.
    */
    void dropPartial();

    const std::string &partial() const { return m_partial; }

    /*!
        Returns the id of the last complete event, or an empty string.
    */
    const std::string &lastId() const { return m_lastId; }

    std::size_t eventCount() const { return m_eventCount; }

private:
    void parseLine(std::string_view line);
    void finishEvent();

    std::string m_partial;
    std::size_t m_lineStart = 0; //!< Of the first line in \c m_partial that has no end yet.
    bool m_hasLines = false; //!< The event that is not complete has a line.
    std::optional<std::string> m_pendingId; //!< Of the event that is not complete.
    std::string m_lastId;
    std::size_t m_eventCount = 0;
};

} // namespace sesame
