#pragma once

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
    void dropPartial() { m_partial.clear(); }

    const std::string &partial() const { return m_partial; }

    /*!
        Returns the id of the last complete event, or an empty string.
    */
    const std::string &lastId() const { return m_lastId; }

    std::size_t events() const { return m_events; }

private:
    void noteIds(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
    std::size_t m_events = 0;
};

} // namespace sesame
