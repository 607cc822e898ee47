#pragma once

#include "Core/ports.h"
#include "Serving/objectstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>

namespace sesame {

/*!
    Receives what a StoreFollower learns.
*/
struct FollowerEvents
{
    //! All objects of the kind. Shortly after an outage of the store, \a graceEnd is the time
    //! until which a missing object may be one that lapsed meanwhile and comes back.
    std::function<void(const std::vector<StoredObject> &, std::optional<Timestamp> graceEnd)>
            listed;
    std::function<void(const StoredObject &, std::optional<Timestamp> graceEnd)> changed;
    std::function<void(bool reachable)> reachabilityChanged;
};

/*!
    Keeps up with one kind of objects: lists it, then watches. Each watch is short, because a
    connection may fall silent without an error; a silent one ends at the call's time limit.
*/
class StoreFollower
{
public:
    StoreFollower(boost::asio::io_context &context, std::unique_ptr<ObjectStoreCalls> store,
                  std::string kind, FollowerEvents events);

    void start() { relist(); }

    std::uint64_t revision() const { return m_revision; }
    bool isReachable() const { return m_reachable; }

private:
    void relist();
    void watch();
    void onListed(const StoreListing &listing);
    void onWatched(const StoreListing &listing);
    void onFailure();
    void onSuccess();
    std::optional<Timestamp> graceEnd() const;

    boost::asio::steady_timer m_timer;
    std::unique_ptr<ObjectStoreCalls> m_store;
    std::string m_kind;
    FollowerEvents m_events;
    std::uint64_t m_revision = 0;
    bool m_reachable = true;
    bool m_mustList = true;
    int m_failures = 0; //!< In a row.
    Timestamp m_outageStart {};
    std::optional<Timestamp> m_outageEnd; //!< Of the last outage in which entries may have lapsed.
    std::minstd_rand m_random {std::random_device {}()};
};

} // namespace sesame
