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
    Phase of the node and the number of requests in flight.
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
        Counts a new request. Returns false if the node does not accept requests.
    */
    bool beginRequest();
    void endRequest();
    std::size_t requestsInFlight() const;

    /*!
        Waits until the phase is \a phase or later. Returns false after \a timeout.
    */
    bool waitForPhase(NodePhase phase, std::chrono::milliseconds timeout);

    /*!
        Waits until no request is in flight. Returns false after \a timeout.
    */
    bool waitUntilIdle(std::chrono::milliseconds timeout);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    NodePhase m_phase = NodePhase::Starting;
    std::size_t m_inFlight = 0;
};

/*!
    Counts one request in flight for as long as it lives.
*/
class RequestGuard
{
public:
    explicit RequestGuard(Lifecycle *lifecycle)
        : m_lifecycle(lifecycle), m_accepted(lifecycle->beginRequest())
    {
    }

    ~RequestGuard()
    {
        if (m_accepted)
            m_lifecycle->endRequest();
    }

    RequestGuard(const RequestGuard &) = delete;
    RequestGuard &operator=(const RequestGuard &) = delete;

    bool isAccepted() const { return m_accepted; }

private:
    Lifecycle *m_lifecycle;
    bool m_accepted;
};

} // namespace sesame
