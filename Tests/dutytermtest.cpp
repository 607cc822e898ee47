#include "Core/dutyterm.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

constexpr Duration lease = 3s;
constexpr int nodes = 4;

struct PendingWrite
{
    DutyRecord record;
    StoreRevision expected;
    Timestamp due;
};

/*!
    Simulates nodes that compete for the duties. The nodes are suspended and restarted, and the
    store loses answers and delays writes. If \a restoresCopies is set, it also comes back from
    copies that are up to some seconds old.
*/
class DutyRun
{
public:
    explicit DutyRun(std::uint64_t seed, bool restoresCopies = false)
        : m_random(seed), m_restoresCopies(restoresCopies), m_era(restoresCopies ? 1 : 0)
    {
        for (int n = 0; n < nodes; ++n)
            restart(n);
    }

    int restorationCount = 0;

    std::string run()
    {
        for (int i = 0; i < 6000; ++i) {
            m_now += 20ms;
            executeDelayedWrites();
            if (m_restoresCopies)
                restoreCopy();
            for (int n = 0; n < nodes; ++n)
                step(n);
            if (!m_violation.empty())
                return m_violation;
        }
        return m_actionCount > 100 ? std::string()
                                   : "only " + std::to_string(m_actionCount) + " actions";
    }

private:
    struct Node
    {
        std::unique_ptr<DutyTerm> term;
        Timestamp suspendedUntil;
        Duration steadyLag {0}; //!< Time by which the steady clock lags due to suspensions.
        Timestamp nextStep;
        bool exists = false;
    };

    bool chance(double p) { return std::bernoulli_distribution(p)(m_random); }

    void restart(int n)
    {
        m_nodes[n] = {};
        m_nodes[n].term = std::make_unique<DutyTerm>(DutyTermOptions {.leaseDuration = lease},
                                                     "node-" + std::to_string(n), ++m_incarnation);
    }

    /*!
        Takes copies, and goes back to the latest one now and then. Revisions after it are given out
        again.
    */
    void restoreCopy()
    {
        if (chance(0.003)) {
            m_copiedRecord = m_record;
            m_copiedRevision = m_revision;
        }
        if (!chance(0.001))
            return;
        m_staleRecord = std::exchange(m_record, m_copiedRecord);
        m_staleRevision = std::exchange(m_revision, m_copiedRevision);
        ++m_era;
        ++restorationCount;
    }

    void executeDelayedWrites()
    {
        while (!m_delayedWrites.empty() && m_delayedWrites.front().due <= m_now) {
            apply(m_delayedWrites.front());
            m_delayedWrites.pop_front();
        }
    }

    bool apply(const PendingWrite &write)
    {
        if (write.expected.number != m_revision)
            return false;
        m_record = write.record;
        ++m_revision;
        return true;
    }

    void step(int n)
    {
        Node &node = m_nodes[n];
        if (m_now < node.suspendedUntil)
            return;
        if (chance(0.0008)) {
            const Duration pause = std::chrono::milliseconds(500 + m_random() % 6000);
            node.suspendedUntil = m_now + pause;
            node.steadyLag += pause;
            return;
        }
        if (chance(0.0004)) {
            restart(n);
            return;
        }
        if (node.term->isHeld(m_now - node.steadyLag, m_now) && chance(0.0008)) {
            DutyRecord released = node.term->currentRecord(m_now - node.steadyLag);
            released.holder.clear();
            apply({released, node.term->observedRevision(), m_now});
            node.term->endTerm();
            node.nextStep = m_now - node.steadyLag + 700ms;
            return;
        }
        const Timestamp steady = m_now - node.steadyLag;
        if (node.term->canAct(steady, m_now))
            performAction(n, node.term->term());
        if (steady < node.nextStep)
            return;
        node.nextStep = steady + 700ms;
        if (node.term->term() != 0 && !node.term->isHeld(steady, m_now))
            node.term->endTerm();
        if (node.term->term() != 0) {
            write(node, node.term->currentRecord(steady), steady);
            return;
        }
        if (chance(0.1))
            return;
        if (m_restoresCopies && chance(0.2)) {
            // A stale answer of the new era tells what the store has lost. It is read again before
            // a takeover.
            node.term->observe(m_staleRecord, {m_era, m_staleRevision}, steady);
            if (!node.term->proposeTakeover(steady))
                return;
        }
        node.term->observe(m_record, {m_era, m_revision}, steady);
        if (const auto proposal = node.term->proposeTakeover(steady))
            write(node, *proposal, steady);
    }

    void write(Node &node, const DutyRecord &record, Timestamp steady)
    {
        const PendingWrite pending {record, node.term->observedRevision(), m_now};
        if (chance(0.05)) {
            // The answer is lost, and the write is executed either now or seconds later.
            if (chance(0.5))
                m_delayedWrites.push_back({record, pending.expected, m_now + 4s});
            else
                apply(pending);
            return;
        }
        if (apply(pending) && pending.expected.era == m_era)
            node.term->confirmWrite(record, {m_era, m_revision}, steady, m_now);
        else if (node.term->term() != 0 && !node.term->adoptRevision(m_record, {m_era, m_revision}))
            node.term->endTerm();
    }

    void performAction(int n, std::int64_t term)
    {
        ++m_actionCount;
        if (term < m_highestTerm)
            m_violation = "term " + std::to_string(term) + " after "
                    + std::to_string(m_highestTerm);
        m_highestTerm = std::max(m_highestTerm, term);
        const auto [owner, added] = m_ownerOfTerm.try_emplace(term, n);
        if (!added && owner->second != n)
            m_violation = "two holders of term " + std::to_string(term);
        if (m_lastActor != n && m_lastActionOf.contains(n) && m_lastActor >= 0
            && m_now - m_lastActionOf[n] < lease)
            m_violation = "holders alternate within a lease duration";
        m_lastActor = n;
        m_lastActionOf[n] = m_now;
    }

    std::mt19937_64 m_random;
    bool m_restoresCopies;
    std::uint64_t m_era;
    std::optional<DutyRecord> m_copiedRecord;
    std::uint64_t m_copiedRevision = 0;
    std::optional<DutyRecord> m_staleRecord; //!< Record before the last restoration.
    std::uint64_t m_staleRevision = 0;
    Timestamp m_now {1h};
    std::map<int, Node> m_nodes;
    std::int64_t m_incarnation = 0;
    std::optional<DutyRecord> m_record;
    std::uint64_t m_revision = 0;
    std::deque<PendingWrite> m_delayedWrites;
    std::int64_t m_highestTerm = 0;
    std::map<std::int64_t, int> m_ownerOfTerm;
    std::map<int, Timestamp> m_lastActionOf;
    int m_lastActor = -1;
    int m_actionCount = 0;
    std::string m_violation;
};

} // namespace

// Guards against two nodes that act with the same fencing token, decreasing tokens, and holders
// that alternate within a lease duration, while nodes are suspended and writes are lost or delayed.
Test(dutyterm, onlyOneHolderActsAtATime)
{
    const int failures = runSeeds({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, [](std::uint64_t seed) {
        return DutyRun(seed).run();
    });
    cr_expect_eq(failures, 0);
}

// Guards against the same after the store came back from an older copy, which may lack the record
// of the current holder and gives its revision out again.
Test(dutyterm, onlyOneHolderActsAfterRestorations)
{
    int runs = 0;
    int restorations = 0;
    const auto play = [&](std::uint64_t seed) {
        DutyRun run(seed, true);
        std::string violation = run.run();
        ++runs;
        restorations += run.restorationCount;
        return violation;
    };
    const int failures = runSeeds(
            {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}, play);
    cr_expect_eq(failures, 0);
    cr_expect_gt(restorations, 2 * runs);
}

// Guards against a term that ends, or duties that nobody performs, because the store lost the
// record of a holder that is still there.
Test(dutyterm, holderKeepsItsTermAfterARestoration)
{
    DutyTerm term({.leaseDuration = lease}, "node", 1);
    const Timestamp now {1h};
    const DutyRecord earlier {.holder = "other", .incarnation = 7, .term = 4, .era = 2};
    term.observe(earlier, {2, 9}, now);
    const auto proposal = term.proposeTakeover(now + lease + 1s);
    cr_assert(proposal.has_value());
    const Timestamp taken = now + lease + 1s;
    term.confirmWrite(*proposal, {2, 12}, taken, taken);
    const std::int64_t token = term.term();
    cr_expect_gt(token, 4);
    cr_expect(term.adoptRevision(earlier, {3, 9}));
    cr_expect_eq(term.currentRecord(taken).era, 3U);
    cr_expect_eq(term.term(), token);
    // Another node that took over in the new era ends the term.
    const DutyRecord later {.holder = "other", .incarnation = 7, .term = token + 1, .era = 3};
    cr_expect_not(term.adoptRevision(later, {3, 13}));
}

// Guards against a takeover right after a restoration, because the copy says that the duties were
// released or held by this node, while a later holder may still act.
Test(dutyterm, recordsOfAnOlderEraDoNotTellTheHolder)
{
    for (const std::string holder : {"", "node", "other"}) {
        DutyTerm term({.leaseDuration = lease}, "node", 2);
        const Timestamp now {1h};
        term.observe(DutyRecord {.holder = holder, .incarnation = 1, .term = 4, .era = 1}, {2, 9},
                     now);
        cr_expect_not(term.proposeTakeover(now + lease).has_value(), "%s", holder.c_str());
        cr_expect(term.proposeTakeover(now + lease + 301ms).has_value(), "%s", holder.c_str());
    }
    // The record is missing, because the copy is older.
    DutyTerm term({.leaseDuration = lease}, "node", 2);
    const Timestamp now {1h};
    term.observe(std::nullopt, {2, 0}, now);
    cr_expect_not(term.proposeTakeover(now + lease).has_value());
    // At the first start, there was none.
    DutyTerm first({.leaseDuration = lease, .isFirstStart = true}, "node", 2);
    first.observe(std::nullopt, {1, 0}, now);
    cr_expect(first.proposeTakeover(now).has_value());
    first.observe(std::nullopt, {2, 0}, now);
    cr_expect_not(first.proposeTakeover(now + lease).has_value());
}

// Guards against duties that are not performed for a lease duration after the first start.
Test(dutyterm, firstHolderActsImmediately)
{
    DutyTerm term({.leaseDuration = lease}, "node", 1);
    const Timestamp now {1h};
    term.observe(std::nullopt, {}, now);
    const auto proposal = term.proposeTakeover(now);
    cr_assert(proposal.has_value());
    term.confirmWrite(*proposal, {0, 5}, now, now);
    cr_expect(term.canAct(now, now));
    cr_expect_not(term.canAct(now + lease, now + lease));
    // The steady clock of a suspended machine stops.
    cr_expect_not(term.canAct(now, now + lease));
}

// Guards against duties that no node performs for two lease durations after all nodes have
// restarted.
Test(dutyterm, restartedHolderTakesOverImmediately)
{
    DutyTerm term({.leaseDuration = lease}, "node", 2);
    const Timestamp now {1h};
    term.observe(DutyRecord {.holder = "node", .incarnation = 1, .term = 4}, {0, 9}, now);
    const auto proposal = term.proposeTakeover(now);
    cr_assert(proposal.has_value());
    cr_expect_eq(proposal->term, 5);
    term.confirmWrite(*proposal, {0, 10}, now, now);
    cr_expect(term.canAct(now, now));
}

// Guards against two nodes that release the duties to each other and alternate within a lease
// duration.
Test(dutyterm, successorWaitsALeaseAfterRelease)
{
    DutyTerm term({.leaseDuration = lease}, "node", 1);
    const Timestamp now {1h};
    term.observe(DutyRecord {.holder = "", .incarnation = 1, .term = 4}, {0, 9}, now);
    const auto proposal = term.proposeTakeover(now);
    cr_assert(proposal.has_value());
    term.confirmWrite(*proposal, {0, 10}, now, now);
    cr_expect_not(term.canAct(now, now));
    term.confirmWrite(*proposal, {0, 11}, now + 2s, now + 2s);
    term.confirmWrite(*proposal, {0, 12}, now + 4s, now + 4s);
    cr_expect(term.canAct(now + 4s, now + 4s));
}

// Guards against holders that alternate within a lease duration because the process of the second
// one restarts while it waits.
Test(dutyterm, aRestartDoesNotEndTheWaitAfterARelease)
{
    const Timestamp now {1h};
    DutyTerm term({.leaseDuration = lease}, "node", 1);
    term.observe(DutyRecord {.holder = "", .incarnation = 1, .term = 4}, {0, 9}, now);
    const auto proposal = term.proposeTakeover(now);
    cr_assert(proposal.has_value());
    term.confirmWrite(*proposal, {0, 10}, now, now);
    for (const DutyRecord &record : {*proposal, term.currentRecord(now + 1s)}) {
        DutyTerm restarted({.leaseDuration = lease}, "node", 2);
        restarted.observe(record, {0, 10}, now + 1s);
        const auto next = restarted.proposeTakeover(now + 1s);
        cr_assert(next.has_value());
        restarted.confirmWrite(*next, {0, 11}, now + 1s, now + 1s);
        cr_expect_not(restarted.canAct(now + 1s, now + 1s));
        restarted.confirmWrite(*next, {0, 12}, now + 3s, now + 3s);
        restarted.confirmWrite(*next, {0, 13}, now + 5s, now + 5s);
        cr_expect(restarted.canAct(now + 5s, now + 5s));
    }
}
