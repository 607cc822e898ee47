#pragma once

#include "Core/ports.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Virtual clock of a simulation run. Monotonic and wall time advance together.
*/
class FakeClock
{
public:
    Timestamp now() const { return m_now; }
    WallMillis wallMillis() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())
                .count();
    }
    void advance(Duration time) { m_now += time; }

private:
    Timestamp m_now {std::chrono::hours(1000)};
};

/*!
    The fault that a FakeStore injects into one call.
*/
enum class StoreFault {
    None,
    Refused, //!< The call is refused and has no effect.
    AnswerLost, //!< A write takes effect and its answer is lost.
    RequestLost, //!< A write is lost before it takes effect.
    WriteDelayed //!< The answer is lost, and applyDelayedWrites() executes the write later.
};

/*!
    A fake object service in memory. \c chooseFault selects the fault of each call. \c onInterleave
    is called before and after the effect of each call, so that a test can let other nodes act then.
*/
class FakeStore
{
public:
    std::function<StoreFault(bool isWrite)> chooseFault;
    std::function<void()> onInterleave;
    bool ignoreVersions = false; //!< Makes all writes unconditional, so that tests can detect it.
    bool confirmLostWrites = false; //!< Reports writes with a lost answer as successful.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    StoreResult read(std::string_view key)
    {
        ++reads;
        interleave();
        const bool failed = chooseFault && chooseFault(false) != StoreFault::None;
        const auto it = m_objects.find(key);
        StoreResult result;
        if (it != m_objects.end())
            result = {StoreStatus::Ok, it->second.version, it->second.value};
        else
            result.status = StoreStatus::NotFound;
        interleave();
        return failed ? StoreResult {} : result;
    }

    StoreResult writeIf(std::string_view key, std::string_view value, std::uint64_t expected)
    {
        ++writes;
        interleave();
        StoreResult result;
        switch (chooseFault ? chooseFault(true) : StoreFault::None) {
        case StoreFault::None:
            result = apply(key, value, expected);
            break;
        case StoreFault::Refused:
            break;
        case StoreFault::AnswerLost:
            apply(key, value, expected);
            result.status = StoreStatus::AnswerLost;
            break;
        case StoreFault::RequestLost:
            result.status = StoreStatus::AnswerLost;
            break;
        case StoreFault::WriteDelayed:
            m_delayedWrites.push_back({std::string(key), std::string(value), expected});
            result.status = StoreStatus::AnswerLost;
            break;
        }
        if (confirmLostWrites && result.status == StoreStatus::AnswerLost)
            result = {StoreStatus::Ok, expected + 1, {}};
        interleave();
        return result;
    }

    /*!
        Returns the value of \a key without fault injection, or an empty string.
    */
    std::string peek(std::string_view key) const
    {
        const auto it = m_objects.find(key);
        return it == m_objects.end() ? std::string() : it->second.value;
    }

    void applyDelayedWrites()
    {
        std::vector<DelayedWrite> late;
        late.swap(m_delayedWrites);
        for (const DelayedWrite &it : late)
            apply(it.key, it.value, it.expected);
    }

private:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
    };

    struct DelayedWrite
    {
        std::string key;
        std::string value;
        std::uint64_t expected = 0;
    };

    void interleave() const
    {
        if (onInterleave)
            onInterleave();
    }

    StoreResult apply(std::string_view key, std::string_view value, std::uint64_t expected)
    {
        const auto it = m_objects.find(key);
        const std::uint64_t current = it == m_objects.end() ? 0 : it->second.version;
        if (current != expected && !ignoreVersions)
            return {StoreStatus::Conflict, current, {}};
        const std::uint64_t version = ++m_revision;
        m_objects[std::string(key)] = {std::string(value), version};
        return {StoreStatus::Ok, version, {}};
    }

    std::map<std::string, Object, std::less<>> m_objects;
    std::vector<DelayedWrite> m_delayedWrites;
    std::uint64_t m_revision = 0;
};

static_assert(Clock<FakeClock>);
static_assert(ObjectStore<FakeStore>);

} // namespace sesame
