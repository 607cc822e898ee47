#include "Core/sesamecore.h"
#include "support/faultinjectionrun.h"
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
    Fake backend servers that execute orders. \c onInterleave is called before and after each
    effect.
*/
class FakeTargets
{
public:
    FakeTargets(Fencing fencing, const FakeClock &clock) : m_fencing(fencing), m_clock(clock) { }

    std::function<void()> onInterleave;
    std::function<bool()> loseAnswer;
    //! Called with each order that takes effect, the highest fencing number that its target has
    //! received before, and the time since the order was sent.
    std::function<void(const Order &order, std::uint64_t seen, Duration time)> onEffect;
    std::size_t refused = 0;

    OrderStatus send(const Order &order)
    {
        const Timestamp started = m_clock.now();
        if (onInterleave)
            onInterleave();
        Target &target = m_targets[order.target];
        const std::uint64_t seen = target.highestFencing;
        if (m_fencing == Fencing::Checked && order.fencingNumber < seen) {
            ++refused;
            return OrderStatus::FencingRefused;
        }
        target.highestFencing = std::max(seen, order.fencingNumber);
        target.state = order.state;
        target.tokens.insert(order.clientToken);
        if (onEffect)
            onEffect(order, seen, m_clock.now() - started);
        if (onInterleave)
            onInterleave();
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

//! The monotonic clock of another node, which runs faster or slower by a percentage.
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
        : clock(base, clockPercent), lease(store, clock, {.name = "c", .holderId = holder}),
          issuer(store, clock, lease, targets,
                 {.name = "c", .fencing = fencing, .maxOrderDuration = longestOrder})
    {
    }

    SkewedClock clock;
    Lease lease;
    Issuer issuer;
    bool busy = false;
};

//! Two controllers of the same targets.
struct TwoControllers
{
    explicit TwoControllers(Fencing fencing)
        : targets(fencing, clock), a(store, clock, targets, fencing, "a"),
          b(store, clock, targets, fencing, "b")
    {
    }

    //! Lets the lease of the first controller expire and the second one acquire it.
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

// Guards against a holder that sends orders after its lease has expired, and against fencing
// numbers that do not increase.
Test(lease, expiredHolderCannotOrder)
{
    TwoControllers controllers(Fencing::Checked);
    cr_assert(controllers.a.lease.acquire() == LeaseStatus::Held);
    const std::uint64_t first = controllers.a.lease.fencingNumber();
    cr_expect(controllers.a.lease.canOrder(controllers.a.clock.now(), 0s));
    controllers.clock.advance(5s);
    cr_expect(controllers.a.lease.renew() == LeaseStatus::Held);
    cr_expect_eq(controllers.a.lease.fencingNumber(), first);
    controllers.handOver();
    cr_expect_not(controllers.a.lease.canOrder(controllers.a.clock.now(), 0s));
    cr_expect(controllers.a.issuer.setDesiredState("t", "old") == DesiredStateStatus::LeaseLost);
    cr_expect_gt(controllers.b.lease.fencingNumber(), first);
    cr_expect(controllers.a.lease.acquire() == LeaseStatus::HeldByOther);
}

// Guards against a successor that waits for a lease that was released.
Test(lease, releasedLeaseIsFreeImmediately)
{
    TwoControllers controllers(Fencing::Ignored);
    cr_assert(controllers.a.lease.acquire() == LeaseStatus::Held);
    cr_expect(controllers.a.lease.release());
    cr_expect(controllers.b.lease.acquire() == LeaseStatus::Held);
    cr_expect(controllers.b.lease.canOrder(controllers.b.clock.now(), longestOrder));
}

// Guards against overlapping orders of two holders at targets that ignore fencing numbers.
Test(lease, ordersDoNotOverlapEvenWithoutFencing)
{
    TwoControllers controllers(Fencing::Ignored);
    cr_assert(controllers.a.lease.acquire() == LeaseStatus::Held);
    controllers.clock.advance(8s);
    cr_expect(controllers.a.lease.canOrder(controllers.a.clock.now(), 1999ms));
    cr_expect_not(controllers.a.lease.canOrder(controllers.a.clock.now(), longestOrder));
    controllers.handOver();
    cr_expect_not(controllers.b.lease.canOrder(controllers.b.clock.now(), longestOrder));
    controllers.clock.advance(500ms + longestOrder);
    cr_expect(controllers.b.lease.canOrder(controllers.b.clock.now(), longestOrder));
}

// Guards against a holder whose view of its lease differs from the store after lost writes or
// lost answers.
Test(lease, lostAnswerOfALeaseWriteIsReadBack)
{
    TwoControllers controllers(Fencing::Checked);
    controllers.store.chooseFault = [](bool isWrite) {
        return isWrite ? StoreFault::AnswerLost : StoreFault::None;
    };
    cr_expect(controllers.a.lease.acquire() == LeaseStatus::Held);
    cr_expect(controllers.b.lease.acquire() == LeaseStatus::HeldByOther);
    controllers.store.chooseFault = [](bool isWrite) {
        return isWrite ? StoreFault::RequestLost : StoreFault::None;
    };
    controllers.clock.advance(9s);
    cr_expect(controllers.a.lease.renew() == LeaseStatus::StoreUnavailable);
    controllers.clock.advance(1s);
    cr_expect_not(controllers.a.lease.canOrder(controllers.a.clock.now(), 0s));
}

// Guards against starting a second instance when the answer to a start order is lost.
Test(lease, repeatedStartOrderKeepsItsToken)
{
    TwoControllers controllers(Fencing::Ignored);
    controllers.targets.loseAnswer = [] {
        return true;
    };
    cr_assert(controllers.a.lease.acquire() == LeaseStatus::Held);
    cr_expect(controllers.a.issuer.setDesiredState("slot-1", "running")
              == DesiredStateStatus::Recorded);
    cr_expect_eq(controllers.a.issuer.reconcile().failed, 1);
    cr_expect_eq(controllers.a.issuer.reconcile().failed, 1);
    controllers.handOver();
    controllers.clock.advance(500ms + longestOrder);
    controllers.targets.loseAnswer = nullptr;
    cr_expect_eq(controllers.b.issuer.reconcile().sent, 1);
    cr_expect_eq(controllers.b.issuer.reconcile().matching, 1);
    cr_expect_eq(controllers.targets.countTokens("slot-1"), 1);
}

// Guards against a lasting effect of a delayed order. Its holder is paused after the lease check
// and resumes after the successor has found the target in the desired state.
Test(lease, delayedOrderIsRefusedOrReverted)
{
    for (const Fencing fencing : {Fencing::Checked, Fencing::Ignored}) {
        TwoControllers controllers(fencing);
        cr_assert(controllers.a.lease.acquire() == LeaseStatus::Held);
        cr_assert(controllers.a.issuer.setDesiredState("t", "old") == DesiredStateStatus::Recorded);
        controllers.targets.onInterleave = [&controllers] {
            controllers.targets.onInterleave = nullptr;
            controllers.handOver();
            controllers.clock.advance(500ms + longestOrder);
            cr_expect(controllers.b.issuer.setDesiredState("t", "new")
                      == DesiredStateStatus::Recorded);
            cr_expect_eq(controllers.b.issuer.reconcile().sent, 1);
        };
        const ReconcileResult late = controllers.a.issuer.reconcile();
        cr_expect_eq(late.leaseLost, fencing == Fencing::Checked);
        cr_expect(controllers.targets.observe("t")
                  == (fencing == Fencing::Checked ? "new" : "old"));
        controllers.b.issuer.reconcile();
        cr_expect(controllers.targets.observe("t") == "new");
    }
}

namespace {

constexpr int steps = 6'000;
constexpr std::size_t targetCount = 4;

struct OrderCounts
{
    std::size_t orders = 0;
    std::size_t late = 0; //!< Orders that took effect after an order of a successor.
    std::size_t terms = 0;
    std::size_t killed = 0;
};

class LeaseRun : public FaultInjectionRun
{
public:
    LeaseRun(std::uint64_t seed, Fencing fencing, bool conditionalWrite)
        : FaultInjectionRun(seed), m_fencing(fencing), m_targets(fencing, m_clock)
    {
        m_store.ignoreVersions = !conditionalWrite;
        m_targets.onInterleave = [this] {
            if (!m_faultsEnded && chancePercent(5))
                freezeNode(100);
            interleave(30s);
        };
        m_targets.loseAnswer = [this] {
            return !m_faultsEnded && chancePercent(5);
        };
        m_targets.onEffect = [this](const Order &order, std::uint64_t seen, Duration time) {
            checkEffect(order, seen, time);
        };
        // The rates of the clocks differ by up to 2%, which is 200 ms per lease duration of 10 s.
        for (const int percent : {-1, 0, 1})
            m_controllers.push_back(startController(percent));
    }

    /*!
        Returns the first violation, or an empty string if there is none.
    */
    std::string run()
    {
        for (int n = 0; n < steps && m_violation.empty(); ++n)
            step();
        if (m_violation.empty())
            checkFinalState();
        return m_violation;
    }

    const OrderCounts &counts() const { return m_counts; }
    std::size_t refused() const { return m_targets.refused; }

private:
    std::unique_ptr<Controller> startController(int clockPercent)
    {
        const std::string holder = "holder-" + std::to_string(++m_startCount);
        return std::make_unique<Controller>(m_store, m_clock, m_targets, m_fencing, holder,
                                            clockPercent);
    }

    void step() override
    {
        m_clock.advance(randomDuration(chancePercent(2) ? 15s : 400ms));
        injectStoreFaults();
        const std::size_t n = randomBelow(m_controllers.size());
        if (m_controllers[n]->busy)
            return;
        m_controllers[n]->busy = true;
        try {
            act(*m_controllers[n]);
            m_controllers[n]->busy = false;
        } catch (const NodeKilled &) {
            ++m_counts.killed;
            m_controllers[n] = startController(static_cast<int>(n) - 1);
        }
        checkOneHolder();
        const auto desired = decodeWire<wire::DesiredStates>(m_store.peek("desired/c"));
        if (desired && static_cast<std::uint64_t>(desired->fencing) < m_settledTerm)
            reportViolation("an old holder wrote the desired state");
    }

    void act(Controller &controller)
    {
        const std::uint64_t before = controller.lease.fencingNumber();
        if (chancePercent(1))
            controller.lease.release();
        else if (chancePercent(50))
            controller.lease.acquire();
        if (controller.lease.fencingNumber() > before)
            ++m_counts.terms;
        if (chancePercent(20)) {
            const std::string state = "state-" + std::to_string(randomBelow(5));
            controller.issuer.setDesiredState("t" + std::to_string(randomBelow(targetCount)),
                                              state);
        }
        if (chancePercent(60))
            reconcile(controller);
    }

    void reconcile(Controller &controller)
    {
        const std::uint64_t term = controller.lease.fencingNumber();
        const std::size_t lateBefore = m_counts.late;
        const ReconcileResult result = controller.issuer.reconcile();
        const bool isComplete = result.failed == 0 && !result.leaseLost
                && !result.waitsForPreviousHolder && !result.storeUnavailable;
        if (!isComplete || m_counts.late != lateBefore
            || !controller.lease.isHeld(controller.clock.now()))
            return;
        const auto desired = decodeWire<wire::DesiredStates>(m_store.peek("desired/c"));
        if (!desired || static_cast<std::uint64_t>(desired->fencing) != term)
            return;
        for (const wire::DesiredEntry &entry : desired->entries) {
            if (m_targets.observe(entry.target) != entry.state)
                reportViolation(entry.target + " is not in its desired state after reconcile()");
        }
        m_settledTerm = std::max(m_settledTerm, term);
    }

    void checkEffect(const Order &order, std::uint64_t seen, Duration time)
    {
        ++m_counts.orders;
        const bool late = order.fencingNumber < seen || order.fencingNumber < m_settledTerm;
        m_counts.late += late ? 1 : 0;
        if (late && m_fencing == Fencing::Checked)
            reportViolation("an order of an old holder took effect at " + order.target);
        if (late && time <= longestOrder)
            reportViolation("a timely order took effect after an order of a successor at "
                            + order.target);
    }

    void checkOneHolder()
    {
        const auto n = std::count_if(m_controllers.begin(), m_controllers.end(),
                                     [](const auto &it) {
                                         return it->lease.canOrder(it->clock.now(), 0s);
                                     });
        if (n > 1)
            reportViolation("two holders may order at the same time");
    }

    // After the faults have ended, one controller must take over and bring every target to its
    // desired state.
    void checkFinalState()
    {
        m_faultsEnded = true;
        Controller &controller = *m_controllers.front();
        for (int n = 0; n < 40; ++n) {
            m_clock.advance(1s);
            controller.lease.acquire();
            reconcile(controller);
        }
        const ReconcileResult last = controller.issuer.reconcile();
        if (last.matching != targetCount)
            reportViolation("targets differ from their desired state after the faults");
    }

    Fencing m_fencing;
    FakeTargets m_targets;
    std::vector<std::unique_ptr<Controller>> m_controllers;
    std::uint64_t m_startCount = 0;
    std::uint64_t m_settledTerm = 0; //!< Highest term that has sent orders to every target.
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

// Guards against old holders whose orders take effect at targets that check fencing numbers, under
// outages, lost answers, pauses and crashes.
Test(leaserun, fencingRefusesOrdersOfOldHolders)
{
    const int failures = runSeeds({1, 2, 3, 4}, [](std::uint64_t seed) {
        return runOnce(seed, Fencing::Checked);
    });
    cr_expect_eq(failures, 0);
}

// Guards against a delayed order, at a target that ignores fencing numbers, whose effect the next
// reconcile() does not revert.
Test(leaserun, delayedOrdersAreRevertedEvenWithoutFencing)
{
    const int failures = runSeeds({1, 2, 3, 4}, [](std::uint64_t seed) {
        return runOnce(seed, Fencing::Ignored);
    });
    cr_expect_eq(failures, 0);
}

// Guards against a simulation that does not detect that the store accepts writes with an outdated
// version.
Test(leaserun, runDetectsUnconditionalWrites)
{
    for (const Fencing fencing : {Fencing::Checked, Fencing::Ignored})
        cr_expect_neq(runOnce(1, fencing, false).size(), 0);
}
