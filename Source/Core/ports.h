#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace sesame {

using Duration = std::chrono::microseconds;
//! Monotonic time. The epoch differs between processes.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;
//! Milliseconds since the Unix epoch, for values that are compared between processes.
using WallMillis = std::int64_t;

/*!
    A source of time: a virtual clock in simulation runs, the system clocks in a node.
*/
template <typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<Timestamp>;
    {
        clock.wallMillis()
        } -> std::same_as<WallMillis>;
};

enum class StoreStatus {
    Ok,
    NotFound, //!< The object to read does not exist.
    //! The version of the object differs from the expected one. StoreResult contains the current
    //! version.
    Conflict,
    //! The service refused the request or could not be reached. Nothing was written.
    Unavailable,
    AnswerLost //!< The request was sent but not answered. A write may have taken effect.
};

struct StoreResult
{
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0; //!< Object version after the call, or 0 if there is no object.
    std::string value; //!< Content of the object, set only by successful reads.
};

/*!
    The object service of the platform. The size of a value is limited to 1 MB. A write with the
    expected version 0 succeeds only if the object does not exist.
*/
template <typename T>
concept ObjectStore = requires(T &store, std::string_view key, std::string_view value,
                               std::uint64_t expectedVersion)
{
    {
        store.read(key)
        } -> std::same_as<StoreResult>;
    {
        store.writeIf(key, value, expectedVersion)
        } -> std::same_as<StoreResult>;
};

} // namespace sesame
