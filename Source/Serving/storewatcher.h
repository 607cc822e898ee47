#pragma once

#include "Core/ports.h"
#include "Serving/objectstoreclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>

namespace sesame {

/*!
    What a StoreWatcher knows of the call that returned some objects. Times are those of the clock
    that also advances while the machine is suspended.
*/
struct StoreReadContext
{
    std::uint64_t revision = 0; //!< Revision of the store that the state reflects after the call.
    Timestamp knownAt; //!< The state was the current one at this time or later.
    //! Set shortly after an outage of the store: until then, a missing object may be one that
    //! lapsed during the outage and will return.
    std::optional<Timestamp> graceEnd {};
};

/*!
    Handlers for the notifications of a StoreWatcher.
*/
struct StoreWatchHandlers
{
    //! Receives all objects of the kind. Those of an incomplete list are passed to \c changed.
    std::function<void(const std::vector<StoredObject> &, const StoreReadContext &)> listed;
    //! Receives the changed and removed objects of one call, which may be none.
    std::function<void(const std::vector<StoredObject> &, const StoreReadContext &)> changed;
    //! Receives whether the store can be reached, when that changes.
    std::function<void(bool reachable)> reachabilityChanged;
};

/*!
    Follows all objects of one kind in the object store: lists them, then watches for changes.

    A connection may stop delivering data without an error. A watch on it ends at the time limit of
    the call.
*/
class StoreWatcher
{
public:
    using DurationProvider = std::function<std::chrono::milliseconds()>;

    /*!
        A watch waits up to \a watchWait for a change. \a maxRetryDelay returns the longest delay
        after a failed call.
    */
    StoreWatcher(boost::asio::io_context &context, std::unique_ptr<ObjectStoreClient> store,
                 std::string kind, std::chrono::milliseconds watchWait,
                 DurationProvider maxRetryDelay, StoreWatchHandlers handlers);

    /*!
        Starts with listing the objects. Has no effect if the watcher has started already.
    */
    void start();

    /*!
        Ignores the call in progress and sends no further ones.
    */
    void stop();

    bool isStarted() const { return m_isStarted; }

    //! Returns whether the store can be reached.
    bool isReachable() const { return m_isReachable; }

private:
    void relist();
    void watch();
    bool isCurrentCall(std::uint64_t callNumber) const { return callNumber == m_callNumber; }
    void onListed(const StoreReadResult &result);
    void onWatched(const StoreReadResult &result);
    void onFailure();
    void onSuccess();
    void noteEra(const StoreReadResult &result);
    StoreReadContext readContext(Timestamp knownAt) const;

    boost::asio::steady_timer m_timer;
    std::unique_ptr<ObjectStoreClient> m_store;
    std::string m_kind;
    std::chrono::milliseconds m_watchWait;
    DurationProvider m_maxRetryDelay;
    StoreWatchHandlers m_handlers;
    //! Number of the latest call. Results of earlier calls are discarded.
    std::uint64_t m_callNumber = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 0; //!< Era of the latest answer; 0 if the store has stated none.
    bool m_isReachable = true;
    bool m_mustRelist = true;
    //! Whether the last list was complete. If not, lists alternate with watches.
    bool m_isListComplete = true;
    bool m_isStarted = false;
    Timestamp m_callStart {}; //!< Start of the call in progress.
    int m_failureCount = 0; //!< Consecutive failures.
    Timestamp m_outageStart {};
    //! End of the last outage in which entries may have lapsed.
    std::optional<Timestamp> m_lastOutageEnd;
    std::minstd_rand m_random {std::random_device {}()};
};

} // namespace sesame
