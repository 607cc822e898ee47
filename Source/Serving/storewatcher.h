#pragma once

#include "Core/ports.h"
#include "Core/storerevision.h"
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
    StoreRevision revision; //!< Revision of the store that the state reflects after the call.
    Timestamp knownAt; //!< The state was the current one at this time or later.
    //! Set shortly after an outage of the store, or its restoration from an older copy: until then,
    //! a missing object may be one that lapsed during the outage or was lost, and will return.
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
    Follows all objects of one kind in the object store: lists them, then watches for changes. If
    the store was restored from an older copy, it lists them again.

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
        Starts with listing the objects. \a knownEra is the latest era of the store of which other
        nodes have told, or 0. Has no effect if the watcher has started already.
    */
    void start(std::uint64_t knownEra);

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
    void noteRestoration(const StoreReadResult &result);
    StoreReadContext readContext(Timestamp knownAt) const;

    boost::asio::steady_timer m_timer;
    std::unique_ptr<ObjectStoreClient> m_store;
    std::string m_kind;
    std::chrono::milliseconds m_watchWait;
    DurationProvider m_maxRetryDelay;
    StoreWatchHandlers m_handlers;
    //! Number of the latest call. Results of earlier calls are discarded.
    std::uint64_t m_callNumber = 0;
    StoreRevision m_revision;
    bool m_isReachable = true;
    bool m_mustRelist = true;
    //! Whether the last list was complete. If not, lists alternate with watches.
    bool m_isListComplete = true;
    bool m_isStarted = false;
    Timestamp m_callStart {}; //!< Start of the call in progress.
    int m_failureCount = 0; //!< Consecutive failures.
    Timestamp m_outageStart {};
    //! End of the last outage in which entries may have lapsed, or the last restoration.
    std::optional<Timestamp> m_lastOutageEnd;
    std::minstd_rand m_random {std::random_device {}()};
};

} // namespace sesame
