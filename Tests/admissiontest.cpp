#include "Core/sesamecore.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

const Timestamp start {Duration(1h)};

AdmissionOptions makeOptionsWithFloors()
{
    AdmissionOptions options;
    options.ranks[1].floorShare = 0.2;
    options.ranks[2].floorShare = 0.1;
    return options;
}

WorkItem makeItem(Rank rank, std::string account, std::uint32_t output = 99)
{
    WorkItem item;
    item.pool = "m";
    item.rank = rank;
    item.account = std::move(account);
    item.outputTokens = output;
    return item;
}

} // namespace

// Guards against starvation of the lower ranks by a flood of urgent requests.
Test(admission, floorsHoldInUrgentFlood)
{
    AdmissionController admission(makeOptionsWithFloors());
    admission.setCapacity("m", {.fleetSlots = 8, .fleetFreeSlots = 0, .liveNodes = 1});
    std::array<int, rankCount> served {};
    for (int i = 0; i < 2000; ++i) {
        admission.submit(makeItem(Rank::Urgent, "a"), start);
        admission.submit(makeItem(Rank::Standard, "a"), start);
        admission.submit(makeItem(Rank::Batch, "a"), start);
        const auto ticket = admission.takeNext("m", start);
        cr_assert(ticket.has_value());
        ++served[static_cast<std::size_t>(admission.item(*ticket)->rank)];
        admission.finish(*ticket, 99, start + 1s);
    }
    cr_expect_geq(served[1], 398);
    cr_expect_geq(served[2], 198);
    cr_expect_geq(served[0], 1390);
}

// Guards against a large account that uses the share of a small one, and against cost that is
// charged per request instead of per token.
Test(admission, accountsShareByTokenCost)
{
    AdmissionController admission;
    admission.setCapacity("m", {.fleetSlots = 1, .liveNodes = 1});
    for (int i = 0; i < 400; ++i)
        admission.submit(makeItem(Rank::Standard, "large", 399), start);
    for (int i = 0; i < 100; ++i)
        admission.submit(makeItem(Rank::Standard, "small", 99), start);
    int small = 0;
    for (int i = 0; i < 50; ++i) {
        const auto ticket = admission.takeNext("m", start);
        const WorkItem item = *admission.item(*ticket);
        small += item.account == "small" ? 1 : 0;
        admission.finish(*ticket, item.outputTokens, start);
    }
    cr_expect_geq(small, 39);
    cr_expect_leq(small, 41);
}

// Guards against accepting requests that cannot meet their deadline: they must be refused with a
// code and a retry delay, and only for the account that fills the queue.
Test(admission, refusesEarlyWithRetryTime)
{
    AdmissionOptions options;
    options.maxQueuedItems = 200;
    AdmissionController admission(options);
    admission.setCapacity("m", {.fleetSlots = 1, .liveNodes = 1});
    const auto first = admission.submit(makeItem(Rank::Standard, "large"), start);
    cr_assert_eq(*admission.takeNext("m", start), *first);
    admission.finish(*first, 99, start + 1s);
    while (admission.waitingCount("m", Rank::Standard) < 20)
        cr_assert(admission.submit(makeItem(Rank::Standard, "large"), start + 1s));
    WorkItem itemWithDeadline = makeItem(Rank::Standard, "large");
    itemWithDeadline.deadline = start + 6s;
    cr_expect_not(admission.submit(itemWithDeadline, start + 1s));
    cr_expect_eq(lastReason().code, ResultCode::DeadlineUnreachable);
    cr_expect_geq(admission.retryAfter().count(), Duration(14s).count());
    itemWithDeadline.account = "small";
    cr_expect(admission.submit(itemWithDeadline, start + 1s).has_value());
    while (admission.submit(makeItem(Rank::Standard, "large"), start + 1s)) { }
    cr_expect_eq(lastReason().code, ResultCode::Overloaded);
    cr_expect(admission.submit(makeItem(Rank::Standard, "other"), start + 1s).has_value());
}

// Guards against nodes that together use more slots than the fleet has, and against a node that
// cannot use idle slots.
Test(admission, nodeUsesItsShareAndBorrowsFreeSlots)
{
    AdmissionController admission;
    admission.setCapacity("m", {.fleetSlots = 160, .fleetFreeSlots = 0, .liveNodes = 7});
    cr_expect_eq(admission.slotLimit("m"), 23U);
    for (int i = 0; i < 100; ++i)
        admission.submit(makeItem(Rank::Urgent, "a"), start);
    while (admission.takeNext("m", start)) { }
    cr_expect_eq(admission.inFlightCount("m"), 23U);
    admission.setCapacity("m", {.fleetSlots = 160, .fleetFreeSlots = 137, .liveNodes = 7});
    cr_expect_eq(admission.slotLimit("m"), 43U);
    while (admission.takeNext("m", start)) { }
    admission.setCapacity("m", {.fleetSlots = 160, .fleetFreeSlots = 0, .liveNodes = 7});
    cr_expect_eq(admission.slotLimit("m"), 41U);
}

// Guards against urgent requests that wait for a slot because batch requests hold all slots.
Test(admission, lowerRanksLeaveHeadroom)
{
    AdmissionOptions options;
    options.rankHeadroom = {0.0, 0.1, 0.2};
    AdmissionController admission(options);
    admission.setCapacity("m", {.fleetSlots = 20, .liveNodes = 1});
    for (int i = 0; i < 100; ++i)
        admission.submit(makeItem(Rank::Batch, "a"), start);
    while (admission.takeNext("m", start)) { }
    cr_expect_eq(admission.inFlightCount("m"), 16U);
    const auto urgent = admission.submit(makeItem(Rank::Urgent, "a"), start);
    cr_expect_eq(*admission.takeNext("m", start), *urgent);
}

// Guards against a cancel() that reports a dispatched item as never run, and against floor credit
// that a rank gains from dispatch attempts for which there was no backend server.
Test(admission, cancelAndRequeue)
{
    AdmissionController admission(makeOptionsWithFloors());
    admission.setCapacity("m", {.fleetSlots = 4, .liveNodes = 1});
    const auto batch = admission.submit(makeItem(Rank::Batch, "a"), start);
    for (int i = 0; i < 50; ++i) {
        cr_assert_eq(*admission.takeNext("m", start), *batch);
        cr_expect_eq(admission.cancel(*batch), CancelResult::AlreadyDispatched);
        admission.requeue(*batch);
    }
    const auto urgent = admission.submit(makeItem(Rank::Urgent, "a"), start);
    cr_expect_eq(*admission.takeNext("m", start), *urgent);
    cr_expect_eq(admission.cancel(*batch), CancelResult::Cancelled);
    cr_expect_eq(admission.cancel(*batch), CancelResult::NotFound);
}

namespace {

/*!
    Submits, takes, finishes and cancels items and changes the capacity at random, and checks the
    invariants after every step.
*/
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : m_random(seed), m_admission(makeOptionsWithFloors()) { }

    std::string run(int steps)
    {
        for (int i = 0; i < steps && m_error.empty(); ++i) {
            m_now += Duration(m_random() % 20000);
            step();
            checkFloors();
        }
        m_admission.setCapacity("m", {.fleetSlots = 20, .liveNodes = 1});
        while (m_error.empty() && (take() || finishOne())) { }
        if (m_error.empty() && !m_waiting.empty())
            m_error = "an accepted item was dropped";
        return m_error;
    }

private:
    void step()
    {
        switch (m_random() % 8) {
        case 0:
            m_flood = static_cast<Rank>(m_random() % rankCount);
            break;
        case 1:
            m_admission.setCapacity("m",
                                    {.fleetSlots = static_cast<std::uint32_t>(m_random() % 40),
                                     .fleetFreeSlots = static_cast<std::uint32_t>(m_random() % 5),
                                     .liveNodes = 1});
            break;
        case 2:
            cancelOne();
            break;
        case 3:
        case 4:
            take();
            break;
        case 5:
            finishOne();
            break;
        default:
            submit();
        }
    }

    void submit()
    {
        WorkItem item = makeItem(m_random() % 2 ? m_flood
                                                : static_cast<Rank>(m_random() % rankCount),
                                 std::string(1, static_cast<char>('a' + m_random() % 5)),
                                 static_cast<std::uint32_t>(1 + m_random() % 500));
        item.promptTokens = static_cast<std::uint32_t>(m_random() % 10000);
        if (const auto ticket = m_admission.submit(item, m_now))
            m_waiting[*ticket] = item;
    }

    static double costOf(const WorkItem &item)
    {
        return 1.0 + item.promptTokens * 0.02 + item.outputTokens;
    }

    bool take()
    {
        const auto ticket = m_admission.takeNext("m", m_now);
        if (!ticket)
            return false;
        const auto it = m_waiting.find(*ticket);
        if (it == m_waiting.end()) {
            m_error = "an item was taken twice or after it was cancelled";
            return false;
        }
        for (std::size_t r = 0; r < rankCount; ++r) {
            if (m_backlogged[r])
                m_total[r] += costOf(it->second);
        }
        m_served[static_cast<std::size_t>(it->second.rank)] += costOf(it->second);
        m_running[*ticket] = it->second;
        m_waiting.erase(it);
        return true;
    }

    bool finishOne()
    {
        if (m_running.empty())
            return false;
        const auto it = m_running.begin();
        m_admission.finish(it->first, it->second.outputTokens, m_now);
        m_running.erase(it);
        return true;
    }

    void cancelOne()
    {
        if (m_waiting.empty() || m_random() % 4 != 0)
            return;
        const auto it = m_waiting.begin();
        if (m_admission.cancel(it->first) != CancelResult::Cancelled)
            m_error = "cancel() did not find a waiting item in its queue";
        m_waiting.erase(it);
    }

    //! While a rank has waiting items without interruption, it receives at least its floor share
    //! of the dispatched cost, minus one item for each of the two lower ranks.
    void checkFloors()
    {
        const std::array<double, rankCount> floors {0.0, 0.2, 0.1};
        for (std::size_t r = 0; r < rankCount; ++r) {
            const bool waits = m_admission.waitingCount("m", static_cast<Rank>(r)) > 0;
            if (!waits || !m_backlogged[r])
                m_served[r] = m_total[r] = 0.0;
            m_backlogged[r] = waits;
            if (m_served[r] < floors[r] * m_total[r] - 2 * 701.0)
                m_error = "rank " + std::to_string(r) + " received less than its floor";
        }
        std::size_t waiting = 0;
        for (std::size_t r = 0; r < rankCount; ++r)
            waiting += m_admission.waitingCount("m", static_cast<Rank>(r));
        if (waiting != m_waiting.size() || m_admission.inFlightCount("m") != m_running.size())
            m_error = "an accepted item was dropped";
    }

    std::mt19937_64 m_random;
    AdmissionController m_admission;
    Timestamp m_now = start;
    Rank m_flood = Rank::Batch;
    std::map<Ticket, WorkItem> m_waiting;
    std::map<Ticket, WorkItem> m_running;
    std::array<double, rankCount> m_served {};
    std::array<double, rankCount> m_total {};
    std::array<bool, rankCount> m_backlogged {};
    std::string m_error;
};

} // namespace

// Guards against dropped items and missed floors under floods of requests of any rank.
Test(admission, invariantsHoldInRandomRuns)
{
    const auto run = [](std::uint64_t seed) {
        return RandomRun(seed).run(20000);
    };
    cr_expect_eq(runSeeds({11, 12, 13, 14}, run), 0);
}
