#pragma once

#include "Core/Waiting/requestqueue.h"
#include "Core/servingconfig.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace sesame {

struct ServingState;

/*!
    What the queue needs to know of a request that no engine has room for.
*/
struct WaitingDemand
{
    std::string request; //!< Attempt of the caller, for the log.
    std::string service;
    const ServingRoute &route;
    std::string account; //!< Empty if the request has none.
    int priority = 0; //!< 0 is the most urgent.
    std::uint64_t callerKey = 0; //!< Equal for the attempts of one caller for the same request.
    double cost = 1.0; //!< Work of the request for the fair shares of the accounts.
    std::size_t bytes = 0;
    Timestamp arrival {};
    Timestamp deadline {};
};

/*!
    Calls to the owner of a waiting request.
*/
struct WaitingCalls
{
    //! Sends the request to an engine. Returns false if none has room; the request then waits on.
    std::function<bool()> resume;
    //! Answers the request, which has left the queue, with a refusal.
    std::function<void(std::string_view reason, Milliseconds retryAfter)> refuse;
};

/*!
    Lets requests wait in this node until an engine has room for them. There is one queue for each
    service. The requests are sent when requests of this node leave their engines, when the loads of
    the other nodes are known anew and when an engine joins.
*/
class RequestWaiting
{
public:
    explicit RequestWaiting(ServingState &state) : m_state(state) { }

    /*!
        Returns whether requests for \a service wait, so that a new one must not go first.
    */
    bool isBusy(const std::string &service) const;

    /*!
        Offers a request to the queue. Returns its id in the queue if it waits. Otherwise, sets
        \a retryAfter to the time after which its caller should return, and returns 0.
    */
    std::uint64_t offer(const WaitingDemand &demand, WaitingCalls calls, Milliseconds &retryAfter);

    /*!
        Removes the request \a id, whose caller has left or that is answered otherwise.
    */
    void withdraw(std::uint64_t id);

    /*!
        Returns the time after which the caller of a request should return that is refused for lack
        of room without having been offered.
    */
    Milliseconds retryAfter(const WaitingDemand &demand);

    /*!
        Records that a request was sent to an engine without waiting.
    */
    void recordDirect(const WaitingDemand &demand);

    /*!
        Records that a request of this node has left an engine of \a service after \a occupied, and
        sends a waiting request instead.
    */
    void recordRelease(const std::string &service, Duration occupied);

    /*!
        Records the time from sending a request of \a route to its first event.
    */
    void recordFirstEvent(const std::string &service, const ServingRoute &route, Duration time);

    /*!
        Refuses the requests that can no longer be served in time, then sends requests for which
        there are free places. Called when the loads of the other nodes are known anew.
    */
    void tick();

    /*!
        Sends requests soon, because an engine has joined.
    */
    void scheduleDispatch();

    /*!
        Refuses all waiting requests, because the node stops.
    */
    void refuseAll();

    /*!
        Writes the state of the queues to the node's metrics.
    */
    void updateMetrics();

private:
    struct Waiter
    {
        std::string request;
        std::string service;
        Timestamp since {};
        WaitingCalls calls;
    };
    struct Service
    {
        RequestQueue queue;
        std::size_t released = 0; //!< Places that requests of this node have left.
        Timestamp placesTakenAt {}; //!< Time at which free places were taken last.
    };

    Service &findService(const std::string &name);
    void updateView(const std::string &name, Service &service);
    Duration expectedTimeToFirstEvent(const std::string &service, const ServingRoute &route) const;
    WaitingRequest makeRequest(const WaitingDemand &demand, Duration timeToFirstEvent) const;
    double drawRandom();
    void logRefusal(const std::string &request, const Service &service, std::string_view reason,
                    Duration waited, Milliseconds retryAfter) const;
    void postDispatch();
    void dispatchReleased();
    void dispatch(Service &service, std::size_t places);
    void expire(Service &service);

    ServingState &m_state;
    std::map<std::string, Service> m_services;
    std::map<std::uint64_t, Waiter> m_waiters;
    //! Moving averages in seconds by service and route.
    std::map<std::pair<std::string, std::string>, double> m_firstEventSeconds;
    std::set<std::string> m_waitingGauges; //!< Labels by which waiting requests were counted.
    std::uint64_t m_lastId = 0;
    bool m_isDispatchPosted = false;
};

} // namespace sesame
