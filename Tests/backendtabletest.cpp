#include "Core/backendtable.h"
#include "support/printfigure.h"
#include "support/seededrun.h"
#include "support/virtualfleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace sesame;

namespace {

using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

const std::vector<std::string> classes {"big"};

Timestamp at(Duration time)
{
    return Timestamp(Seconds(1000)) + time;
}

ListedInstance engine(const std::string &id, std::int64_t incarnation, bool leaving = false)
{
    return {.id = id,
            .incarnation = incarnation,
            .kind = InstanceKind::Engine,
            .className = "big",
            .service = {},
            .address = "http://10.0.0.9:8000",
            .zone = "zone-a",
            .leaving = leaving};
}

BackendTable makeTable(const std::vector<ListedInstance> &list, BackendOptions options = {})
{
    BackendTable table(options);
    table.applyList(list, at({}));
    return table;
}

std::vector<std::string> usableIds(BackendTable &table, Timestamp now)
{
    std::vector<std::string> ids;
    for (const BackendView &it : table.usableEngines("m", classes, now))
        ids.push_back(it.id);
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

// Guards against calls to a backend server in the time for which it asked for none, and against
// keeping its successor from work.
Test(backendtable, pausedServerReceivesNoCalls)
{
    BackendTable table = makeTable({engine("e1", 3), engine("e2", 1)});
    cr_expect(table.beginCall("e1", 3, at({})));
    table.recordPause("e1", 3, Seconds(2), 0.0, at({}));
    cr_expect_eq(usableIds(table, at(Millis(1999))), Ids {"e2"});
    cr_expect_not(table.beginCall("e1", 3, at(Millis(1999))));
    table.endCall("e1", 3, HealthResult::Success, at(Millis(1000)));
    // One call at a time until it has been answered.
    cr_expect(table.beginCall("e1", 3, at(Millis(2001))));
    cr_expect_not(table.beginCall("e1", 3, at(Millis(2001))));
    cr_expect_eq(usableIds(table, at(Millis(2001))), Ids {"e2"});
    table.endCall("e1", 3, HealthResult::Success, at(Millis(2100)));
    cr_expect(table.beginCall("e1", 3, at(Millis(2101))));
    cr_expect(table.beginCall("e1", 3, at(Millis(2101))));
    table.recordPause("e2", 1, Seconds(60), 0.0, at(Seconds(3)));
    table.applyList(std::vector {engine("e1", 3), engine("e2", 2)}, at(Seconds(4)));
    cr_expect(table.beginCall("e2", 2, at(Seconds(4))));
}

// Guards against a delayed list that makes a leaving backend server usable again.
Test(backendtable, delayedListKeepsALeavingIncarnationUnusable)
{
    const std::vector<ListedInstance> list {engine("e1", 3), engine("e2", 1)};
    BackendTable table = makeTable(list);
    cr_expect(usableIds(table, at({})) == Ids({"e1", "e2"}));
    table.applyRumour({RumourKind::BackendLeaving, "e1", 3, ""}, at({}), 0);
    cr_expect(table.applyList(list, at(Seconds(1))).empty());
    cr_expect(usableIds(table, at(Seconds(1))) == Ids({"e2"}));
    cr_expect_not(table.beginCall("e1", 3, at(Seconds(1))));
    const LoadReport report {.incarnation = 3, .models = {}};
    table.applyReport("e1", report, at(Seconds(1)));
    cr_expect(usableIds(table, at(Seconds(1))) == Ids({"e2"}));
    table.applyList(std::vector {engine("e2", 1)}, at(Seconds(2)));
    table.applyList(list, at(Seconds(3)));
    cr_expect(usableIds(table, at(Seconds(3))) == Ids({"e2"}));
    table.applyList(std::vector {engine("e1", 4), engine("e2", 1)}, at(Seconds(4)));
    cr_expect(usableIds(table, at(Seconds(4))) == Ids({"e1", "e2"}));
    cr_expect_not(table.beginCall("e1", 3, at(Seconds(4))));
}

// Guards against a reclaimed instance that becomes usable when its process restarts, and against
// ignoring a notice that arrives before the instance is listed.
Test(backendtable, reclaimNoticeAppliesToRestartsUntilTheDeadline)
{
    BackendTable table = makeTable({engine("e1", 3)});
    const ReclaimNotice notice {.sequence = 1, .instance = "e1", .zone = {}, .deadline = 30000};
    const auto rumours = table.applyNotice(notice, at({}), 0);
    cr_assert_eq(rumours.size(), 1);
    cr_expect(table.applyNotice(notice, at({}), 0).empty());
    table.applyList(std::vector {engine("e1", 4)}, at(Seconds(10)));
    cr_expect(usableIds(table, at(Seconds(10))).empty());
    table.applyList(std::vector {engine("e1", 5)}, at(Seconds(31)));
    cr_expect_eq(usableIds(table, at(Seconds(31))).size(), 1);
    BackendTable unlisted {BackendOptions()};
    unlisted.applyRumour(rumours[0], at({}), 0);
    unlisted.applyList(std::vector {engine("e1", 3)}, at(Seconds(1)));
    cr_expect(usableIds(unlisted, at(Seconds(1))).empty());
}

// Guards against a faulty answer of the cloud API that takes all backend servers out of service.
Test(backendtable, emptyListIsIgnored)
{
    BackendTable table = makeTable({engine("e1", 1)});
    table.applyList({}, at(Seconds(1)));
    cr_expect_eq(usableIds(table, at(Seconds(1))).size(), 1);
}

// Guards against refusing all requests because of a fault at the node itself.
Test(backendtable, healthIsIgnoredIfAllLookUnhealthy)
{
    BackendTable table = makeTable({engine("e1", 1), engine("e2", 1)});
    for (int n = 0; n < 3; ++n)
        table.recordHealth("e1", HealthResult::Failure, at({}));
    cr_expect(usableIds(table, at({})) == Ids({"e2"}));
    for (int n = 0; n < 3; ++n)
        table.recordHealth("e2", HealthResult::Failure, at({}));
    cr_expect_eq(usableIds(table, at({})).size(), 2);
    cr_expect_eq(table.usableEngines("m", classes, at({}))[0].loadShare, 1.0);
}

// Guards against overloading an engine because its report does not include the most recent calls.
Test(backendtable, countsCallsThatTheReportDoesNotInclude)
{
    BackendTable table = makeTable({engine("e1", 1)});
    cr_expect(table.beginCall("e1", 1, at(Millis(0))));
    cr_expect(table.beginCall("e1", 1, at(Millis(100))));
    table.applyReport("e1", {.incarnation = 1, .models = {}, .age = Millis(150)}, at(Millis(200)));
    table.endCall("e1", 1, HealthResult::Success, at(Millis(220)));
    const auto view = table.usableEngines("m", classes, at(Millis(300))).at(0);
    cr_expect_eq(view.sentSinceReport, 1);
    cr_expect_eq(view.inFlight, 1);
    cr_expect_eq(view.reportAge, Duration(Millis(250)));
}

// Guards against repeated changes between full and reduced load for a flapping backend server.
Test(backendtable, gracePeriodLimitsLoadChangesOfFlappingServer)
{
    std::uint64_t switches[2] = {};
    for (const bool grace : {false, true}) {
        BackendOptions options;
        options.recoveryGrace = grace ? Seconds(10) : Seconds(0);
        BackendTable table = makeTable({engine("e1", 1), engine("e2", 1)}, options);
        for (Millis time {0}; time < Seconds(600); time += Millis(500)) {
            const bool up = time / Seconds(3) % 2 == 0;
            table.recordHealth("e1", up ? HealthResult::Success : HealthResult::Failure, at(time));
        }
        switches[grace ? 1 : 0] = table.shareChanges();
        for (Millis time = Seconds(600); time < Seconds(615); time += Millis(500))
            table.recordHealth("e1", HealthResult::Success, at(time));
        cr_expect_eq(table.usableEngines("m", classes, at(Seconds(615)))[0].loadShare, 1.0);
    }
    sesame::test::printFigure(
            "up 3 s, down 3 s for 10 min: %lu switches without grace, %lu with 10 s", switches[0],
            switches[1]);
    cr_expect_eq(switches[1], 1);
    cr_expect_gt(switches[0], 100);
}

namespace {

enum class LeaveFault { None, Loss, CutFromInformedNode, ChainOfCuts, FrozenNode, SlowNode };

constexpr Seconds listLag {30};

// Simulates nodes that call every usable backend server every 20 ms while one backend server
// leaves. Only the first node receives the notice, and the cloud API's list is delayed.
class LeaveSimulation
{
public:
    LeaveSimulation(std::uint64_t seed, std::size_t nodes, LeaveFault fault, bool spreadRumours)
        : m_fleet(seed)
    {
        m_fleet.startAll(nodes);
        m_fleet.run(Seconds(5));
        m_fleet.spreadNonNodeRumours = spreadRumours;
        m_fleet.onRumoursAccepted = [this](std::size_t node, const std::vector<Rumour> &accepted) {
            for (const Rumour &it : accepted)
                m_tables[node].applyRumour(it, m_fleet.now(), wallNow());
        };
        for (std::size_t n = 0; n < nodes; ++n)
            m_tables.push_back(makeTable({engine("e1", 1), engine("e2", 1)}));
        inject(fault);
    }

    // Returns the time from the notice, or from the end of the freeze, to the last call that a
    // node sent to the leaving backend server.
    Duration lastSend()
    {
        const ReclaimNotice notice {
                .sequence = 1, .instance = "e1", .zone = {}, .deadline = wallNow() + 60000};
        const Timestamp noticeTime = m_fleet.now();
        for (const Rumour &it : m_tables[0].applyNotice(notice, noticeTime, wallNow()))
            m_fleet.member(0).table->announce(it, noticeTime);
        Duration last {};
        while (m_fleet.now() - noticeTime < listLag + Seconds(5)) {
            m_fleet.run(Millis(20));
            const bool isListedAsLeaving = m_fleet.now() - noticeTime >= listLag;
            for (std::size_t n = 0; n < m_tables.size(); ++n) {
                const Timestamp resumed = m_fleet.member(n).frozenUntil;
                if (resumed > m_fleet.now())
                    continue;
                m_tables[n].applyList(
                        std::vector {engine("e1", 1, isListedAsLeaving), engine("e2", 1)},
                        m_fleet.now());
                if (sendCalls(m_tables[n]))
                    last = std::max(last, m_fleet.now() - std::max(noticeTime, resumed));
            }
        }
        return last;
    }

private:
    void inject(LeaveFault fault)
    {
        if (fault == LeaveFault::Loss)
            m_fleet.lossRate = 0.05;
        if (fault == LeaveFault::CutFromInformedNode) {
            m_fleet.blockLink(0, 1);
            m_fleet.blockLink(1, 0);
        }
        // The node with the notice reaches only one other node, which reaches all others.
        for (std::size_t n = 2; fault == LeaveFault::ChainOfCuts && n < m_tables.size(); ++n) {
            m_fleet.blockLink(0, n);
            m_fleet.blockLink(n, 0);
        }
        if (fault == LeaveFault::FrozenNode)
            m_fleet.freeze(1, Seconds(8));
        if (fault == LeaveFault::SlowNode)
            m_fleet.member(1).answerDelay = Millis(700);
    }

    bool sendCalls(BackendTable &table)
    {
        bool sentToLeaving = false;
        for (const BackendView &it : table.usableEngines("m", classes, m_fleet.now())) {
            if (!table.beginCall(it.id, it.incarnation, m_fleet.now()))
                continue;
            table.endCall(it.id, it.incarnation, HealthResult::Neutral, m_fleet.now());
            sentToLeaving = sentToLeaving || it.id == "e1";
        }
        return sentToLeaving;
    }

    WallMillis wallNow() const
    {
        return std::chrono::duration_cast<Millis>(m_fleet.now().time_since_epoch()).count();
    }

    VirtualFleet m_fleet;
    std::vector<BackendTable> m_tables;
};

struct LastSendTimes
{
    Duration median {};
    Duration worst {};
};

LastSendTimes measure(LeaveFault fault, bool spreadRumours)
{
    std::vector<Duration> times;
    const auto run = [&](std::uint64_t seed) -> std::string {
        times.push_back(LeaveSimulation(seed, 7, fault, spreadRumours).lastSend());
        if (!spreadRumours || times.back() <= Seconds(2))
            return "";
        return "last send after " + std::to_string(times.back().count()) + " us, fault "
                + std::to_string(static_cast<int>(fault));
    };
    cr_expect_eq(runSeeds({1,  2,  3,  4,  5,  6,  7,  8,  9,  10, 11, 12, 13, 14, 15,
                           16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30},
                          run),
                 0);
    std::sort(times.begin(), times.end());
    return {.median = times[times.size() / 2], .worst = times.back()};
}

} // namespace

// Promise 5: a leaving backend server receives no new work later than 2 s after the first node
// learns of it. The object service is not involved, so its outages need no separate case.
Test(backendtable, leaveNoticeReachesAllNodesUnderFaults)
{
    const std::pair<LeaveFault, const char *> faults[] = {
            {LeaveFault::None, "no fault"},
            {LeaveFault::Loss, "5% loss"},
            {LeaveFault::CutFromInformedNode,
             "no connection between one node and the node with the notice"},
            {LeaveFault::ChainOfCuts, "the node with the notice reaches only one other node"},
            {LeaveFault::FrozenNode, "one node frozen, measured from its resume"},
            {LeaveFault::SlowNode, "one node answers after 700 ms"}};
    for (const auto &[fault, name] : faults) {
        const LastSendTimes spread = measure(fault, true);
        sesame::test::printFigure("last send, %s: median %ld ms, worst %ld ms", name,
                                  spread.median.count() / 1000, spread.worst.count() / 1000);
    }
}

// Shows the effect of the rumours: without them every node sends calls until its list is up to
// date.
Test(backendtable, withoutRumoursNodesFollowTheDelayedList)
{
    const LastSendTimes spread = measure(LeaveFault::None, false);
    sesame::test::printFigure("last send with the list only: %ld ms", spread.worst.count() / 1000);
    cr_expect_geq(spread.worst, Duration(listLag - Seconds(1)));
}

Test(backendtable, leaveNoticeAtTargetSize)
{
    const Duration last = LeaveSimulation(1, 420, LeaveFault::Loss, true).lastSend();
    sesame::test::printFigure("last send, 420 nodes, 5%% loss: %ld ms", last.count() / 1000);
    cr_expect_leq(last, Duration(Seconds(2)));
}
