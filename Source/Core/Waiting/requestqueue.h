#pragma once

#include "Core/Waiting/drainmeter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sesame {

/*!
    A request that no engine has room for.
*/
struct WaitingRequest
{
    std::uint64_t id = 0; //!< Identifies the request within the queue.
    int rank = 0; //!< 0 is the most urgent.
    std::string account; //!< Empty if the request has none.
    //! Equal for the attempts of one caller for the same request; 0 if it is not known.
    std::uint64_t callerKey = 0;
    double cost = 1.0; //!< Work of the request for the fair shares of the accounts.
    std::size_t bytes = 0; //!< Memory that the request holds while it waits.
    Duration timeToFirstEvent {0}; //!< Expected time from the dispatch to the first event.
    Timestamp aimEnd {}; //!< The first event should reach the caller until then.
    Timestamp lastUse {}; //!< The first event is useless after this time.
    Duration shortWait {0}; //!< A refusal after this time is no worse than one at once.
    //! A caller does not follow an announced time that is later.
    Timestamp latestReturn {};
};

enum class WaitRefusal {
    None,
    TooLate, //!< The request is not predicted to begin in time.
    QueueFull //!< The queue has reached its bound on requests or bytes.
};

/*!
    Whether an offered request waits.
*/
struct WaitDecision
{
    WaitRefusal refusal = WaitRefusal::None; //!< None if the request waits.
    Duration predictedWait {0};
    Duration retryAfter {0}; //!< Announced time of a refused request.

    bool waits() const { return refusal == WaitRefusal::None; }
};

struct ExpiredRequest
{
    std::uint64_t id = 0;
    Duration waited {0};
    Duration retryAfter {0};
};

struct RequestQueueOptions
{
    std::size_t maxRequests = 256;
    std::size_t maxBytes = 8U << 20U;
    bool useFairShares = true; //!< False: accounts are not compared (measurements only).
    bool usePrediction = true; //!< False: only the bounds refuse (measurements only).
};

/*!
    Counters since the start, and what waits now.
*/
struct RequestQueueMetrics
{
    std::map<std::pair<int, std::string>, int> waiting; //!< By rank and account.
    std::int64_t accepted = 0;
    std::int64_t dispatched = 0;
    std::int64_t withdrawn = 0;
    std::int64_t refusedTooLate = 0;
    std::int64_t refusedFull = 0;
    std::int64_t expired = 0; //!< Refused after they had waited.
    double predictedSeconds = 0.0; //!< Sum over the dispatched requests, when they were accepted.
    double waitedSeconds = 0.0; //!< Sum over the dispatched requests.
};

/*!
    Orders the requests of one service that wait in this node for a place at an engine.

    They are served by rank; within a rank, callers that return as announced come first and those
    that return too early last; then those of the account that used least lately, by cost; then the
   earliest end of use. Requests that cannot meet their aim any more are served after all others,
   while they are still of use.
*/
class RequestQueue
{
public:
    explicit RequestQueue(RequestQueueOptions options = {}) : m_options(options) { }

    //! Returns the meter of places, which the owner keeps up to date.
    DrainMeter &drain() { return m_drain; }
    const DrainMeter &drain() const { return m_drain; }

    /*!
        Accepts \a request if it is predicted to begin in time. Otherwise, returns the time after
        which its caller should return. \a random is a number from 0 to 1 that spreads the announced
        times.
    */
    WaitDecision offer(const WaitingRequest &request, double random, Timestamp now);

    /*!
        Records that a request of \a rank and \a account with \a cost was sent without waiting. It
        counts for the share of its account.
    */
    void recordDirect(int rank, const std::string &account, double cost, Timestamp now);

    /*!
        Removes the next request to dispatch and returns its id, or std::nullopt if none waits.
    */
    std::optional<std::uint64_t> next(Timestamp now);

    /*!
        Puts the request that next() returned last back because no engine took it.
    */
    void restore(Timestamp now);

    /*!
        Removes the request \a id, whose caller has left. Does nothing if it does not wait.
    */
    void withdraw(std::uint64_t id);

    /*!
        Removes the requests that are no longer predicted to be of use, and returns them.
    */
    std::vector<ExpiredRequest> expire(Timestamp now);

    /*!
        Removes all requests and returns their ids.
    */
    std::vector<std::uint64_t> clear();

    /*!
        Returns the time after which a caller of \a rank should return that is refused for lack of
        room without having been offered.
    */
    Duration retryAfter(const WaitingRequest &request, double random, Timestamp now);

    /*!
        Returns how many waiting requests may be dispatched now that the places are known anew.
        The nodes share the free places by the number of requests that wait in them. Called
        regularly, also while none waits. \a random is a random number from 0 to 1, \a elapsed the
       time since the last call.
    */
    std::size_t takeFreePlaces(double random, Duration elapsed);

    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    RequestQueueMetrics metrics() const;

private:
    //! Callers that return as announced, new ones, and those that return earlier.
    enum class Return { Announced, New, Early };
    struct Entry
    {
        WaitingRequest request;
        Return origin = Return::New;
        bool isLate = false; //!< The request misses its aim, but is still of use.
        Timestamp offeredAt {};
        Duration predictedWait {0};
        std::uint64_t sequence = 0;
        double usage = 0.0; //!< Cost that its account will have used before this request.
        int overtaken = 0; //!< Later requests that were dispatched before this one.
        double random = 0.0;
    };
    struct Promise
    {
        Timestamp returnAt {};
        Timestamp until {};
        Timestamp aimEnd {}; //!< Counted from the caller's first attempt.
    };
    struct Taken
    {
        Entry entry;
        double usage = 0.0; //!< Usage of its account before the request was taken.
    };
    struct Usage
    {
        double cost = 0.0; //!< Exponentially decaying sum.
        Timestamp last {};
    };
    using FlowKey = std::pair<int, std::string>; //!< Rank and account.

    static int precedence(const Entry &entry);
    static bool isInTime(const Entry &entry, Duration wait, double safety, Timestamp now);
    void sort(Timestamp now);
    double usageOf(const FlowKey &flow, Timestamp now) const;
    double excessUsage(const FlowKey &flow, Timestamp now) const;
    Duration predictWait(std::size_t position, const Entry &entry, Timestamp now) const;
    Return takePromise(WaitingRequest &request, Timestamp now);
    Duration promise(const WaitingRequest &request, Duration wait, double random, Timestamp now);
    std::size_t positionOf(std::uint64_t id) const;
    std::size_t selectNext();
    void removePromises(Timestamp now);

    RequestQueueOptions m_options;
    DrainMeter m_drain;
    std::vector<Entry> m_entries; //!< In the order of service.
    std::size_t m_bytes = 0;
    std::map<FlowKey, Usage> m_usages; //!< Of all requests sent to engines.
    std::unordered_multimap<std::uint64_t, Promise> m_promises; //!< By caller key.
    std::map<int, Timestamp> m_lastReturns; //!< Last announced return by rank.
    std::optional<Taken> m_taken;
    std::uint64_t m_sequence = 0;
    int m_dispatchesSinceOvertaken = 0;
    double m_meanWaiting = 0.0; //!< Moving average of the number of waiting requests.
    RequestQueueMetrics m_counters;
};

/*!
    Returns the name of \a refusal for logs and metrics.
*/
std::string_view waitRefusalName(WaitRefusal refusal);

} // namespace sesame
