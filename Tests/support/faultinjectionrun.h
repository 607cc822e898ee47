#pragma once

#include "support/fakestore.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace sesame {

//! Exception that simulates a crash of the acting node.
struct NodeKilled
{
};

/*!
    Base class of simulation runs with several nodes on one FakeStore, driven by a random seed.
    While a node waits for the store, time advances, other nodes act in nested calls, store faults
    are injected, and the node may crash.
*/
class FaultInjectionRun
{
public:
    explicit FaultInjectionRun(std::uint64_t seed) : m_random(seed)
    {
        m_store.chooseFault = [this](bool isWrite) {
            return chooseFault(isWrite);
        };
        m_store.onInterleave = [this] {
            interleave(std::chrono::milliseconds(1500));
        };
    }

    virtual ~FaultInjectionRun() = default;
    FaultInjectionRun(const FaultInjectionRun &) = delete;
    FaultInjectionRun &operator=(const FaultInjectionRun &) = delete;

protected:
    //! Performs one action of one node.
    virtual void step() = 0;

    std::uint64_t randomBelow(std::uint64_t below) { return m_random() % below; }
    bool chancePercent(unsigned percent) { return randomBelow(100) < percent; }
    Duration randomDuration(Duration limit) { return Duration(randomBelow(limit.count() + 1)); }

    void reportViolation(const std::string &text)
    {
        if (m_violation.empty())
            m_violation = text;
    }

    void injectStoreFaults()
    {
        if (chancePercent(1))
            m_outageEnd = m_clock.now() + randomDuration(std::chrono::seconds(20));
        if (chancePercent(30))
            m_store.applyDelayedWrites();
    }

    //! Pauses the acting node while the others perform \a steps steps.
    void freezeNode(int steps)
    {
        if (m_nestingDepth > 0)
            return;
        ++m_nestingDepth;
        for (int n = 0; n < steps; ++n)
            step();
        --m_nestingDepth;
    }

    void interleave(Duration longPause)
    {
        constexpr int nestingLimit = 3;
        if (m_faultsEnded || !m_violation.empty())
            return;
        if (chancePercent(1))
            freezeNode(40);
        m_clock.advance(randomDuration(chancePercent(2) ? longPause : Duration(20'000)));
        if (m_nestingDepth < nestingLimit && chancePercent(25)) {
            ++m_nestingDepth;
            step();
            --m_nestingDepth;
        }
        if (chancePercent(1))
            throw NodeKilled();
    }

    FakeClock m_clock;
    FakeStore m_store;
    bool m_faultsEnded = false; //!< Whether fault injection has ended.
    std::string m_violation;

private:
    StoreFault chooseFault(bool isWrite)
    {
        if (m_faultsEnded)
            return StoreFault::None;
        if (m_clock.now() < m_outageEnd)
            return isWrite && chancePercent(20) ? StoreFault::RequestLost : StoreFault::Refused;
        const std::uint64_t n = randomBelow(100);
        if (n < 3)
            return StoreFault::Refused;
        if (!isWrite || n >= 12)
            return StoreFault::None;
        constexpr std::array lost {StoreFault::AnswerLost, StoreFault::RequestLost,
                                   StoreFault::WriteDelayed};
        return lost[randomBelow(lost.size())];
    }

    std::mt19937_64 m_random;
    Timestamp m_outageEnd;
    int m_nestingDepth = 0;
};

} // namespace sesame
