#include "Core/sesamecore.h"
#include "support/faultyrun.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds longestOrder = 2s;

/*!
    Backend servers that take orders. \c between runs before and after each effect.
*/
class FakeTargets
{
public:
    FakeTargets(Fencing fencing, const FakeClock &clock) : m_fencing(fencing), m_clock(clock) { }

    std::function<void()> between;
    std::function<bool()> loseAnswer;
    //! Called with each order that takes effect, the highest number seen at its target before,
    //! and the time since the order was started.
    std::function<void(const Order &order, std::uint64_t seen, Duration time)> effect;
    std::size_t refused = 0;

    OrderStatus send(const Order &order)
    {
        const Timestamp started = m_clock.now();
        if (between)
            between();
        Target &target = m_targets[order.target];
        const std::uint64_t seen = target.highestFencing;
        if (m_fencing == Fencing::Checked && order.fencing < seen) {
            ++refused;
            return OrderStatus::FencingRefused;
        }
        target.highestFencing = std::max(seen, order.fencing);
        target.state = order.state;
        target.tokens.insert(order.clientToken);
        if (effect)
            effect(order, seen, m_clock.now() - started);
        if (between)
            between();
        return loseAnswer && loseAnswer() ? OrderStatus::Failed : OrderStatus::Done;
    }

    std::optional<std::string> observe(std::string_view name) const
    {
        const auto it = m_targets.find(std::string(name));
        return it == m_targets.end() ? std::string() : it->second.state;
    }

    std::size_t countTokens(const std::string &name) { return m_targets[name].tokens.size(); }

private:
    struct Target
    {
        std::string state;
        std::uint64_t highestFencing = 0;
        std::set<std::string> tokens;
    };

    Fencing m_fencing;
    const FakeClock &m_clock;
    std::map<std::string, Target> m_targets;
};

//! Another node's monotonic clock, with its own zero and speed.
class SkewedClock
{
public:
    SkewedClock(const FakeClock &base, int percent) : m_base(base), m_percent(percent) { }

    Timestamp now() const
    {
        const Duration time = m_base.now().time_since_epoch();
        return Timestamp(time + time * m_percent / 100);
    }
    WallMillis wallMillis() const { return m_base.wallMillis(); }

private:
    const FakeClock &m_base;
    int m_percent;
};

using Lease = LeaseHolder<FakeStore, SkewedClock>;
using Issuer = OrderIssuer<FakeStore, SkewedClock, FakeTargets>;

struct Controller
{
    Controller(FakeStore &store, const FakeClock &base, FakeTargets &targets, Fencing fencing,
               const std::string &holder, int clockPercent = 0)
        : clock(base, clockPercent), lease(store, clock, {.name = "c", .holder = holder}),
          issuer(store, clock, lease, targets,
                 {.name = "c", .fencing = fencing, .longestOrder = longestOrder})
    {
    }

    SkewedClock clock;
    Lease lease;
    Issuer issuer;
    bool busy = false;
};

//! Two controllers of the same targets.
struct Pair
{
    explicit Pair(Fencing fencing)
        : targets(fencing, clock), a(store, clock, targets, fencing, "a"),
          b(store, clock, targets, fencing, "b")
    {
    }

    //! Lets the lease of the first controller lapse and the second one take it.
    void handOver()
    {
        cr_assert(b.lease.acquire() == LeaseStatus::HeldByOther);
        clock.advance(10s);
        cr_assert(b.lease.acquire() == LeaseStatus::HeldByOther);
        clock.advance(500ms);
        cr_assert(b.lease.acquire() == LeaseStatus::Held);
    }

    FakeStore store;
    FakeClock clock;
    FakeTargets targets;
    Controller a;
    Controller b;
};

} // namespace

// Guards against a holder that goes on after its lease, and against numbers that do not increase.
Test(lease, pausedHolderMayNotOrder)
{
    Pair pair(Fencing::Checked);
    cr_assert(pair.a.lease.acquire() == LeaseStatus::Held);
    const std::uint64_t first = pair.a.lease.fencingNumber();
    cr_expect(pair.a.lease.mayOrder(pair.a.clock.now(), 0s));
    pair.clock.advance(5s);
    cr_expect(pair.a.lease.renew() == LeaseStatus::Held);
    cr_expect_eq(pair.a.lease.fencingNumber(), first);
    pair.handOver();
    cr_expect_not(pair.a.lease.mayOrder(pair.a.clock.now(), 0s));
    cr_expect(pair.a.issuer.desire("t", "old") == DesireStatus::LeaseLost);
    cr_expect_gt(pair.b.lease.fencingNumber(), first);
    cr_expect(pair.a.lease.acquire() == LeaseStatus::HeldByOther);
}

// Guards against a successor that waits for a lease that was given up.
Test(lease, releasedLeaseIsFreeAtOnce)
{
    Pair pair(Fencing::Ignored);
    cr_assert(pair.a.lease.acquire() == LeaseStatus::Held);
    cr_expect(pair.a.lease.release());
    cr_expect(pair.b.lease.acquire() == LeaseStatus::Held);
    cr_expect(pair.b.lease.mayOrder(pair.b.clock.now(), longestOrder));
}

// Guards against orders of two holders at the same time at targets that ignore fencing numbers.
Test(lease, ignoredFencingKeepsOrdersApart)
{
    Pair pair(Fencing::Ignored);
    cr_assert(pair.a.lease.acquire() == LeaseStatus::Held);
    pair.clock.advance(8s);
    cr_expect(pair.a.lease.mayOrder(pair.a.clock.now(), 1999ms));
    cr_expect_not(pair.a.lease.mayOrder(pair.a.clock.now(), longestOrder));
    pair.handOver();
    cr_expect_not(pair.b.lease.mayOrder(pair.b.clock.now(), longestOrder));
    pair.clock.advance(500ms + longestOrder);
    cr_expect(pair.b.lease.mayOrder(pair.b.clock.now(), longestOrder));
}

// Guards against a lease that is held without its holder knowing, or the other way round.
Test(lease, lostAnswerOfTheLeaseIsReadBack)
{
    Pair pair(Fencing::Checked);
    pair.store.fault = [](bool isWrite) {
        return isWrite ? StoreFault::LostAfter : StoreFault::None;
    };
    cr_expect(pair.a.lease.acquire() == LeaseStatus::Held);
    cr_expect(pair.b.lease.acquire() == LeaseStatus::HeldByOther);
    pair.store.fault = [](bool isWrite) {
        return isWrite ? StoreFault::LostBefore : StoreFault::None;
    };
    pair.clock.advance(9s);
    cr_expect(pair.a.lease.renew() == LeaseStatus::StoreUnavailable);
    pair.clock.advance(1s);
    cr_expect_not(pair.a.lease.mayOrder(pair.a.clock.now(), 0s));
}

// Guards against a second instance when the answer to a start order is lost.
Test(lease, lostAnswerOfAStartOrderKeepsItsToken)
{
    Pair pair(Fencing::Ignored);
    pair.targets.loseAnswer = [] {
        return true;
    };
    cr_assert(pair.a.lease.acquire() == LeaseStatus::Held);
    cr_expect(pair.a.issuer.desire("slot-1", "running") == DesireStatus::Recorded);
    cr_expect_eq(pair.a.issuer.reconcile().failed, 1);
    cr_expect_eq(pair.a.issuer.reconcile().failed, 1);
    pair.handOver();
    pair.clock.advance(500ms + longestOrder);
    pair.targets.loseAnswer = nullptr;
    cr_expect_eq(pair.b.issuer.reconcile().sent, 1);
    cr_expect_eq(pair.b.issuer.reconcile().matching, 1);
    cr_expect_eq(pair.targets.countTokens("slot-1"), 1);
}

// Guards against an order of a holder that was paused after its check and resumed after the
// successor saw the target in the desired state.
Test(lease, lateOrderIsRefusedOrUndone)
{
    for (const Fencing fencing : {Fencing::Checked, Fencing::Ignored}) {
        Pair pair(fencing);
        cr_assert(pair.a.lease.acquire() == LeaseStatus::Held);
        cr_assert(pair.a.issuer.desire("t", "old") == DesireStatus::Recorded);
        pair.targets.between = [&pair] {
            pair.targets.between = nullptr;
            pair.handOver();
            pair.clock.advance(500ms + longestOrder);
            cr_expect(pair.b.issuer.desire("t", "new") == DesireStatus::Recorded);
            cr_expect_eq(pair.b.issuer.reconcile().sent, 1);
        };
        const ReconcileResult late = pair.a.issuer.reconcile();
        cr_expect_eq(late.leaseLost, fencing == Fencing::Checked);
        cr_expect(pair.targets.observe("t") == (fencing == Fencing::Checked ? "new" : "old"));
        pair.b.issuer.reconcile();
        cr_expect(pair.targets.observe("t") == "new");
    }
}

namespace {

constexpr int steps = 6'000;
constexpr std::size_t targetCount = 4;

struct OrderCounts
{
    std::size_t orders = 0;
    std::size_t late = 0; //!< Orders that took effect after a successor had ordered the target.
    std::size_t terms = 0;
    std::size_t killed = 0;
};

class LeaseRun : public FaultyRun
{
public:
    LeaseRun(std::uint64_t seed, Fencing fencing, bool conditionalWrite)
        : FaultyRun(seed), m_fencing(fencing), m_targets(fencing, m_clock)
    {
        m_store.ignoreVersions = !conditionalWrite;
        m_targets.between = [this] {
            if (!m_healed && chance(5))
                freeze(100);
            actBetween(30s);
        };
        m_targets.loseAnswer = [this] {
            return !m_healed && chance(5);
        };
        m_targets.effect = [this](const Order &order, std::uint64_t seen, Duration time) {
            checkEffect(order, seen, time);
        };
        // The clocks run up to 2% apart: 200 ms in a lease duration of 10 s.
        for (const int percent : {-1, 0, 1})
            m_controllers.push_back(start(percent));
    }

    /*!
        Returns an empty text or the first violation.
    */
    std::string run()
    {
        for (int n = 0; n < steps && m_violation.empty(); ++n)
            step();
        if (m_violation.empty())
            checkHealed();
        return m_violation;
    }

    const OrderCounts &counts() const { return m_counts; }
    std::size_t refused() const { return m_targets.refused; }

private:
    std::unique_ptr<Controller> start(int clockPercent)
    {
        const std::string holder = "holder-" + std::to_string(++m_starts);
        return std::make_unique<Controller>(m_store, m_clock, m_targets, m_fencing, holder,
                                            clockPercent);
    }

    void step() override
    {
        m_clock.advance(pickTime(chance(2) ? 15s : 400ms));
        disturbStore();
        const std::size_t n = pick(m_controllers.size());
        if (m_controllers[n]->busy)
            return;
        m_controllers[n]->busy = true;
        try {
            act(*m_controllers[n]);
            m_controllers[n]->busy = false;
        } catch (const NodeKilled &) {
            ++m_counts.killed;
            m_controllers[n] = start(static_cast<int>(n) - 1);
        }
        checkOneHolder();
        const auto desired = decodeWire<wire::DesiredStates>(m_store.peek("desired/c"));
        if (desired && static_cast<std::uint64_t>(desired->fencing) < m_settledTerm)
            violate("an old holder wrote the desired state");
    }

    void act(Controller &controller)
    {
        const std::uint64_t before = controller.lease.fencingNumber();
        if (chance(1))
            controller.lease.release();
        else if (chance(50))
            controller.lease.acquire();
        if (controller.lease.fencingNumber() > before)
            ++m_counts.terms;
        if (chance(20)) {
            const std::string state = "state-" + std::to_string(pick(5));
            controller.issuer.desire("t" + std::to_string(pick(targetCount)), state);
        }
        if (chance(60))
            reconcile(controller);
    }

    void reconcile(Controller &controller)
    {
        const std::uint64_t term = controller.lease.fencingNumber();
        const std::size_t lateBefore = m_counts.late;
        const ReconcileResult result = controller.issuer.reconcile();
        const bool whole = result.failed == 0 && !result.leaseLost && !result.waiting
                && !result.storeUnavailable;
        if (!whole || m_counts.late != lateBefore
            || !controller.lease.isHeld(controller.clock.now()))
            return;
        const auto desired = decodeWire<wire::DesiredStates>(m_store.peek("desired/c"));
        if (!desired || static_cast<std::uint64_t>(desired->fencing) != term)
            return;
        for (const wire::DesiredEntry &entry : desired->entries) {
            if (m_targets.observe(entry.target) != entry.state)
                violate(entry.target + " is not in its desired state after reconcile()");
        }
        m_settledTerm = std::max(m_settledTerm, term);
    }

    void checkEffect(const Order &order, std::uint64_t seen, Duration time)
    {
        ++m_counts.orders;
        const bool late = order.fencing < seen || order.fencing < m_settledTerm;
        m_counts.late += late ? 1 : 0;
        if (late && m_fencing == Fencing::Checked)
            violate("an order of an old holder took effect at " + order.target);
        if (late && time <= longestOrder)
            violate("an order in time met those of a successor at " + order.target);
    }

    void checkOneHolder()
    {
        const auto n = std::count_if(m_controllers.begin(), m_controllers.end(),
                                     [](const auto &it) {
                                         return it->lease.mayOrder(it->clock.now(), 0s);
                                     });
        if (n > 1)
            violate("two holders may order at the same time");
    }

    // Without faults one controller must take over and bring every target to its desired state.
    void checkHealed()
    {
        m_healed = true;
        Controller &controller = *m_controllers.front();
        for (int n = 0; n < 40; ++n) {
            m_clock.advance(1s);
            controller.lease.acquire();
            reconcile(controller);
        }
        const ReconcileResult last = controller.issuer.reconcile();
        if (last.matching != targetCount)
            violate("targets differ from their desired state after the faults");
    }

    Fencing m_fencing;
    FakeTargets m_targets;
    std::vector<std::unique_ptr<Controller>> m_controllers;
    std::uint64_t m_starts = 0;
    std::uint64_t m_settledTerm = 0; //!< Highest term that has ordered every target.
    OrderCounts m_counts;
};

std::string runOnce(std::uint64_t seed, Fencing fencing, bool conditionalWrite = true)
{
    LeaseRun run(seed, fencing, conditionalWrite);
    std::string violation = run.run();
    const OrderCounts &n = run.counts();
    if (violation.empty()) {
        std::printf("seed %llu, fencing %s: %zu terms, %zu orders, %zu late, %zu refused, "
                    "%zu killed\n",
                    static_cast<unsigned long long>(seed),
                    fencing == Fencing::Checked ? "checked" : "ignored", n.terms, n.orders, n.late,
                    run.refused(), n.killed);
    }
    return violation;
}

} // namespace

// Guards against an effect of an old holder's order at targets that check fencing numbers, under
// outages, lost answers, pauses and kills.
Test(leaserun, checkedFencingStopsOldHolders)
{
    const int failures = runSeeds({1, 2, 3, 4}, [](std::uint64_t seed) {
        return runOnce(seed, Fencing::Checked);
    });
    cr_expect_eq(failures, 0);
}

// Guards against a late order whose effect outlasts the next reconcile at other targets.
Test(leaserun, ignoredFencingIsReconciled)
{
    const int failures = runSeeds({1, 2, 3, 4}, [](std::uint64_t seed) {
        return runOnce(seed, Fencing::Ignored);
    });
    cr_expect_eq(failures, 0);
}

// Guards against a run that is too mild to notice a missing mechanism.
Test(leaserun, unconditionalWritesAreNoticed)
{
    for (const Fencing fencing : {Fencing::Checked, Fencing::Ignored})
        cr_expect_neq(runOnce(1, fencing, false).size(), 0);
}
