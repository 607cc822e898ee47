#pragma once

#include "support/fakestore.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace sesame {

//! Thrown inside a simulated node to kill it at that point.
struct NodeKilled
{
};

/*!
    Base of seeded runs of several nodes on one FakeStore. While a node waits for the store, time
    passes, other nodes act (nested), the store fails in all its ways, and the node may be killed.
*/
class FaultyRun
{
public:
    explicit FaultyRun(std::uint64_t seed) : m_random(seed)
    {
        m_store.fault = [this](bool isWrite) {
            return chooseFault(isWrite);
        };
        m_store.between = [this] {
            actBetween(std::chrono::milliseconds(1500));
        };
    }

    virtual ~FaultyRun() = default;
    FaultyRun(const FaultyRun &) = delete;
    FaultyRun &operator=(const FaultyRun &) = delete;

protected:
    //! Lets one node act.
    virtual void step() = 0;

    std::uint64_t pick(std::uint64_t below) { return m_random() % below; }
    bool chance(unsigned percent) { return pick(100) < percent; }
    Duration pickTime(Duration limit) { return Duration(pick(limit.count() + 1)); }

    void violate(const std::string &text)
    {
        if (m_violation.empty())
            m_violation = text;
    }

    void disturbStore()
    {
        if (chance(1))
            m_outageEnd = m_clock.now() + pickTime(std::chrono::seconds(20));
        if (chance(30))
            m_store.applyLateWrites();
    }

    //! Freezes the acting node while the others take \a steps steps.
    void freeze(int steps)
    {
        if (m_nesting > 0)
            return;
        ++m_nesting;
        for (int n = 0; n < steps; ++n)
            step();
        --m_nesting;
    }

    void actBetween(Duration longPause)
    {
        constexpr int nestingLimit = 3;
        if (m_healed || !m_violation.empty())
            return;
        if (chance(1))
            freeze(40);
        m_clock.advance(pickTime(chance(2) ? longPause : Duration(20'000)));
        if (m_nesting < nestingLimit && chance(25)) {
            ++m_nesting;
            step();
            --m_nesting;
        }
        if (chance(1))
            throw NodeKilled();
    }

    FakeClock m_clock;
    FakeStore m_store;
    bool m_healed = false; //!< Ends all faults.
    std::string m_violation;

private:
    StoreFault chooseFault(bool isWrite)
    {
        if (m_healed)
            return StoreFault::None;
        if (m_clock.now() < m_outageEnd)
            return isWrite && chance(20) ? StoreFault::LostBefore : StoreFault::Refused;
        const std::uint64_t n = pick(100);
        if (n < 3)
            return StoreFault::Refused;
        if (!isWrite || n >= 12)
            return StoreFault::None;
        constexpr std::array lost {StoreFault::LostAfter, StoreFault::LostBefore,
                                   StoreFault::LostLate};
        return lost[pick(lost.size())];
    }

    std::mt19937_64 m_random;
    Timestamp m_outageEnd;
    int m_nesting = 0;
};

} // namespace sesame
