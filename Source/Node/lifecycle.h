#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace sesame {

enum class NodePhase : std::uint8_t {
    Starting, //!< Joins its peers and loads the fleet configuration; serves nobody.
    Serving,
    Withdrawn, //!< Left out of /v1/entries, still accepts from callers with an old address.
    Draining, //!< Accepts nothing new and finishes what is in flight.
    Stopped
};

/*!
    Returns the name of \a phase in status answers and logs.
*/
std::string_view toString(NodePhase phase);

/*!
    Phase of the node, shared by all threads.
*/
class Lifecycle
{
public:
    NodePhase phase() const;

    /*!
        Moves on to \a phase. Earlier phases are ignored, so that a second stop at the same
        time cannot bring a draining node back to an earlier phase.
    */
    void advance(NodePhase phase);

    /*!
        Returns true while new requests are accepted.
    */
    bool acceptsRequests() const;

    /*!
        Waits until the phase is \a phase or later. Returns false after \a timeout.
    */
    bool waitForPhase(NodePhase phase, std::chrono::milliseconds timeout);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    NodePhase m_phase = NodePhase::Starting;
};

} // namespace sesame
