#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace sesame {

using Duration = std::chrono::microseconds;
//! Monotonic time; the zero point differs between processes.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;
//! Milliseconds since the Unix epoch, for values that several processes compare.
using WallMillis = std::int64_t;

/*!
    Source of time. Virtual in seeded runs, the system's clocks in a node.
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
    NotFound, //!< Reads only; the object does not exist.
    Conflict, //!< Conditional write refused; StoreResult carries the current version.
    Unavailable, //!< The service refused or could not be reached; nothing was written.
    AnswerLost //!< The request was sent and no answer came; the write may have taken effect.
};

struct StoreResult
{
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0; //!< Object version after the call, 0 if there is no object.
    std::string value; //!< Filled by successful reads.
};

/*!
    The platform's object service. Values are at most 1 MB. A write with
    expectedVersion 0 succeeds only if the object does not exist.
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
