#pragma once

#include "Core/ports.h"
#include "Serving/objectstoreclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>

namespace sesame {

/*!
    Receives what a StoreWatcher learns.
*/
struct StoreWatchHandlers
{
    //! All objects of the kind. Shortly after an outage of the store, \a graceEnd is the time
    //! until which a missing object may be one that lapsed meanwhile and comes back.
    std::function<void(const std::vector<StoredObject> &, std::optional<Timestamp> graceEnd)>
            listed;
    std::function<void(const StoredObject &, std::optional<Timestamp> graceEnd)> changed;
    std::function<void(bool reachable)> reachabilityChanged;
};

/*!
    Keeps up with one kind of objects: lists it, then watches. A connection may fall silent without
    an error; its watch ends at the call's time limit, or when refresh() is called.
*/
class StoreWatcher
{
public:
    using WatchWaitProvider = std::function<std::chrono::milliseconds()>;

    /*!
        \a watchWait tells for how long the next watch may wait for a change.
    */
    StoreWatcher(boost::asio::io_context &context, std::unique_ptr<ObjectStoreClient> store,
                 std::string kind, WatchWaitProvider watchWait, StoreWatchHandlers handlers);

    void start() { relist(); }

    /*!
        Lists again now instead of waiting for the present watch, because others know of a change
        that this follower has not seen.
    */
    void refresh();

    std::uint64_t revision() const { return m_revision; }
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
    std::uint64_t m_callNumber = 0; //!< Counts the calls; answers to earlier ones are dropped.
    std::uint64_t m_revision = 0;
    bool m_isReachable = true;
    bool m_mustRelist = true;
    int m_failureCount = 0; //!< In a row.
    Timestamp m_outageStart {};
    std::optional<Timestamp>
            m_lastOutageEnd; //!< Of the last outage in which entries may have lapsed.
    std::minstd_rand m_random {std::random_device {}()};
};

} // namespace sesame
