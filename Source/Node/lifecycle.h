#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace sesame {

/*!
    Phases of a node, in their order.
*/
enum class NodePhase : std::uint8_t {
    Starting, //!< Joins its peers and loads the fleet configuration; refuses requests.
    Serving,
    Withdrawn, //!< Left out of /v1/entries; still accepts requests of callers with a cached
               //!< address.
    Draining, //!< Refuses new requests and finishes those in flight.
    Stopped
};

/*!
    Returns the name of \a phase in status responses and logs.
*/
std::string_view toString(NodePhase phase);

/*!
    Current phase of the node. Thread-safe.
*/
class Lifecycle
{
public:
    NodePhase phase() const;

    /*!
        Changes to \a phase. Does nothing if \a phase is not later than the current one, so that a
        concurrent second stop cannot return a draining node to an earlier phase.
    */
    void advance(NodePhase phase);

    /*!
        Returns true in the phases that accept new requests.
    */
    bool acceptsRequests() const;

    /*!
        Waits until the phase is \a phase or a later one. Returns false if \a timeout expires first.
    */
    bool waitForPhase(NodePhase phase, std::chrono::milliseconds timeout);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    NodePhase m_phase = NodePhase::Starting;
};

} // namespace sesame
