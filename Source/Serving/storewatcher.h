#pragma once

#include "Core/ports.h"
#include "Serving/objectstoreclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>

namespace sesame {

/*!
    Handlers for the notifications of a StoreWatcher.
*/
struct StoreWatchHandlers
{
    //! Receives all objects of the kind. Shortly after an outage of the store, \a graceEnd is set:
    //! until then, a missing object may be one that lapsed during the outage and will return.
    std::function<void(const std::vector<StoredObject> &, std::optional<Timestamp> graceEnd)>
            listed;
    //! Receives a changed or removed object; \a graceEnd is as above.
    std::function<void(const StoredObject &, std::optional<Timestamp> graceEnd)> changed;
    //! Receives whether the store can be reached, when that changes.
    std::function<void(bool reachable)> reachabilityChanged;
};

/*!
    Follows all objects of one kind in the object store: lists them, then watches for changes.

    A connection may stop delivering data without an error. A watch on it ends at the time limit of
    the call, or when refresh() is called.
*/
class StoreWatcher
{
public:
    using WatchWaitProvider = std::function<std::chrono::milliseconds()>;

    /*!
        \a watchWait returns how long the next watch may wait for a change.
    */
    StoreWatcher(boost::asio::io_context &context, std::unique_ptr<ObjectStoreClient> store,
                 std::string kind, WatchWaitProvider watchWait, StoreWatchHandlers handlers);

    /*!
        Starts with listing the objects.
    */
    void start() { relist(); }

    /*!
        Lists the objects again without waiting for the current watch to end. Called when peers have
        a change that this watcher has not seen.
    */
    void refresh();

    //! Returns the latest revision of the store that the watcher has seen.
    std::uint64_t revision() const { return m_revision; }
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
    std::optional<Timestamp> graceEnd() const;

    boost::asio::steady_timer m_timer;
    std::unique_ptr<ObjectStoreClient> m_store;
    std::string m_kind;
    WatchWaitProvider m_watchWait;
    StoreWatchHandlers m_handlers;
    //! Number of the latest call. Results of earlier calls are discarded.
    std::uint64_t m_callNumber = 0;
    std::uint64_t m_revision = 0;
    bool m_isReachable = true;
    bool m_mustRelist = true;
    int m_failureCount = 0; //!< Consecutive failures.
    Timestamp m_outageStart {};
    //! End of the last outage in which entries may have lapsed.
    std::optional<Timestamp> m_lastOutageEnd;
    std::minstd_rand m_random {std::random_device {}()};
};

} // namespace sesame
