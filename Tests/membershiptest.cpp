#include "support/printfigure.h"
#include "support/seededrun.h"
#include "support/virtualfleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>

using namespace sesame;

namespace {

using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

const std::initializer_list<std::uint64_t> fixedSeeds {1,  2,  3,  4,  5,  6,  7,  8,  9,  10,
                                                       11, 12, 13, 14, 15, 16, 17, 18, 19, 20};

const Peer selfPeer {.node = "a",
                     .address = {.host = "10.0.0.1", .port = 1},
                     .zone = "z",
                     .incarnation = 5,
                     .stateSince = {}};

MembershipTable makeTable()
{
    return {selfPeer, {}, std::mt19937_64(1)};
}

Rumour nodeRumour(RumourKind kind, const std::string &node, std::int64_t incarnation)
{
    return {.kind = kind,
            .subject = node,
            .incarnation = incarnation,
            .detail = "10.0.0.2:2 10.0.0.2:3 z"};
}

Timestamp at(Millis time)
{
    return Timestamp(Seconds(1000)) + time;
}

bool apply(MembershipTable &table, const Rumour &rumour)
{
    return !table.applyRumours({&rumour, 1}, at({})).empty();
}

long toMillis(Duration time)
{
    return std::chrono::duration_cast<Millis>(time).count();
}

std::uint64_t sumBytes(VirtualFleet &fleet)
{
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n)
        sum += fleet.member(n).sentBytes;
    return sum;
}

std::uint64_t sumSuspicions(VirtualFleet &fleet)
{
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n)
        sum += fleet.member(n).table->suspicionCount();
    return sum;
}

// Runs the fleet for an hour of virtual time and returns the number of seconds after which not
// every node had the correct list of nodes.
std::size_t countSecondsOfWrongLists(VirtualFleet &fleet)
{
    std::size_t wrongSeconds = 0;
    for (int n = 0; n < 3600; ++n) {
        fleet.run(Seconds(1));
        wrongSeconds += fleet.isConverged() ? 0 : 1;
    }
    return wrongSeconds;
}

long millisUntilConverged(VirtualFleet &fleet, Duration limit)
{
    const auto time = fleet.runUntil(
            [&fleet] {
                return fleet.isConverged();
            },
            limit);
    return time ? toMillis(*time) : -1;
}

// What one node knew about another one, for comparison with its later state.
struct KnownState
{
    std::int64_t incarnation = 0;
    bool left = false;
};
using KnownStates = std::map<std::pair<std::size_t, std::string>, KnownState>;

bool isConsistent(VirtualFleet &fleet, KnownStates &knownStates)
{
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        for (std::size_t m = 0; m < fleet.size(); ++m) {
            const auto peer = fleet.member(n).table->find(fleet.member(m).name);
            if (!peer)
                continue;
            KnownState &before = knownStates[{n, peer->node}];
            if (peer->incarnation < before.incarnation)
                return false;
            const bool left = peer->state == PeerState::Leaving;
            if (before.left && !left && peer->incarnation == before.incarnation)
                return false;
            before = {.incarnation = peer->incarnation, .left = left};
        }
    }
    return true;
}

void injectFault(VirtualFleet &fleet, std::mt19937_64 &random)
{
    const std::size_t node = random() % fleet.size();
    const std::size_t other = random() % fleet.size();
    std::size_t serving = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n)
        serving += fleet.member(n).running && !fleet.member(n).leaving ? 1 : 0;
    switch (random() % 8) {
    case 0:
        if (serving > 3 && fleet.member(node).running)
            fleet.kill(node);
        break;
    case 1:
        if (serving > 3 && fleet.member(node).running && !fleet.member(node).leaving)
            fleet.leave(node);
        break;
    case 2:
        fleet.start("new-" + std::to_string(fleet.size()));
        break;
    case 3:
        fleet.freeze(node, Millis(200 + random() % 8000));
        break;
    case 4:
        fleet.blockLink(node, other);
        break;
    case 5:
        fleet.isolate(node);
        break;
    case 6:
        fleet.member(node).answerDelay = Millis(random() % 900);
        break;
    default:
        fleet.unblockLinks();
    }
}

// Returns a description of the failure, or an empty text.
std::string runWithFaults(std::uint64_t seed, std::uint64_t &steps)
{
    std::mt19937_64 random(seed);
    VirtualFleet fleet(random());
    KnownStates knownStates;
    fleet.startAll(5 + random() % 5);
    fleet.lossRate = static_cast<double>(random() % 4) / 100.0;
    for (int n = 0; n < 60; ++n) {
        injectFault(fleet, random);
        const int intervals = 1 + static_cast<int>(random() % 6);
        for (int m = 0; m < intervals; ++m) {
            fleet.run(Millis(500));
            if (!isConsistent(fleet, knownStates))
                return "an incarnation decreased or a leave was revoked";
        }
    }
    fleet.unblockLinks();
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.member(n).answerDelay = {};
    const bool agreed = millisUntilConverged(fleet, Seconds(90)) >= 0;
    steps += fleet.eventCount();
    return agreed ? "" : "the nodes did not converge within 90 s of the last fault";
}

} // namespace

// Guards against failures that only occur after combinations of faults which the other tests lack.
Test(membership, convergesAfterRandomFaults)
{
    std::uint64_t steps = 0;
    const int failures = runSeeds(fixedSeeds, [&](std::uint64_t seed) {
        return runWithFaults(seed, steps);
    });
    cr_expect_eq(failures, 0);
    sesame::test::printFigure("%lu random steps", steps);
    cr_expect_gt(steps, 20000);
}

// Guards against a running node that is suspected and then declared dead.
Test(membership, refutesItsOwnSuspicion)
{
    MembershipTable table = makeTable();
    cr_expect(apply(table, nodeRumour(RumourKind::NodeSuspect, "a", 5)));
    cr_expect_eq(table.self().incarnation, 6);
    cr_expect_not(apply(table, nodeRumour(RumourKind::NodeDead, "a", 5)));
    const auto rumours = table.selectRumoursToSend(1);
    cr_assert_eq(rumours.size(), 1);
    cr_expect_eq(rumours[0].kind, RumourKind::NodeAlive);
    cr_expect_eq(rumours[0].incarnation, 6);
}

// Guards against an outdated rumour that makes a node which left appear alive again.
Test(membership, leaveIsFinalForItsIncarnation)
{
    MembershipTable table = makeTable();
    cr_expect(apply(table, nodeRumour(RumourKind::NodeAlive, "b", 3)));
    cr_expect_eq(table.liveNodes().size(), 2);
    cr_expect(apply(table, nodeRumour(RumourKind::NodeLeaving, "b", 3)));
    cr_expect_not(apply(table, nodeRumour(RumourKind::NodeAlive, "b", 3)));
    cr_expect_not(apply(table, nodeRumour(RumourKind::NodeDead, "b", 3)));
    cr_expect_eq(table.liveNodes().size(), 1);
    cr_expect(apply(table, nodeRumour(RumourKind::NodeAlive, "b", 4)));
    cr_expect_eq(table.liveNodes().size(), 2);
    table.leave(at({}));
    cr_expect_eq(table.liveNodes().size(), 1);
    cr_expect_not(apply(table, nodeRumour(RumourKind::NodeDead, "a", 5)));
}

// Guards against leave notices that are delayed by other rumours, and rumours that are sent
// forever.
Test(membership, leaveNoticesGoFirstAndRumoursEnd)
{
    MembershipTable table = makeTable();
    for (int n = 0; n < 50; ++n)
        apply(table, nodeRumour(RumourKind::NodeAlive, "n" + std::to_string(n), 1));
    const Rumour notice {RumourKind::BackendLeaving, "engine-1", 7, ""};
    cr_expect(table.announce(notice, at({})));
    cr_expect_not(table.announce(notice, at({})));
    cr_expect(table.selectRumoursToSend(1).front() == notice);
    table.tick(at({}));
    for (int n = 0; n < 100; ++n)
        cr_expect(table.selectRumoursToSend(10, "n1").front() == notice);
    // The notice is sent for the full spread time, however many messages carried it before.
    table.tick(at(Millis(9900)));
    cr_expect(table.selectRumoursToSend(10, "n1").front() == notice);
    table.tick(at(Millis(10100)));
    table.selectRumoursToSend(10, "n1");
    cr_expect(table.selectRumoursToSend(10, "n1").empty());
}

// Guards against spreading the notices of a whole zone over many messages.
Test(membership, noticesOfAZoneFitInOneMessage)
{
    MembershipTable table = makeTable();
    for (int n = 0; n < 350; ++n)
        table.announce({RumourKind::BackendLeaving, "engine-" + std::to_string(n), 7, ""}, at({}));
    cr_expect_geq(table.selectRumoursToSend(10).size(), 350);
}

// Guards against suspecting peers whose answers this process could not read because it was paused.
Test(membership, pauseOfThisProcessCausesNoSuspicion)
{
    MembershipTable table = makeTable();
    apply(table, nodeRumour(RumourKind::NodeAlive, "b", 1));
    Millis time {0};
    const auto sendsPing = [&] {
        const auto actions = table.tick(at(time));
        return std::any_of(actions.begin(), actions.end(), [](const MembershipMessage &it) {
            return it.kind == MembershipMessageKind::Ping;
        });
    };
    while (!sendsPing())
        time += Millis(50);
    table.tick(at(Seconds(20)));
    table.tick(at(Millis(20050)));
    cr_expect_eq(table.find("b")->state, PeerState::Alive);
    cr_expect_eq(table.suspicionCount(), 0);
}

// Guards against informing a suspected node too late for it to refute the suspicion.
Test(membership, suspectedNodeIsInformedAtOnce)
{
    MembershipTable table = makeTable();
    apply(table, nodeRumour(RumourKind::NodeAlive, "b", 1));
    std::vector<MembershipMessage> actions;
    for (Millis time {0}; table.suspicionCount() == 0; time += Millis(50))
        actions = table.tick(at(time));
    const auto isPush = [](const MembershipMessage &it) {
        return it.kind == MembershipMessageKind::Push && it.node == "b";
    };
    cr_expect(std::any_of(actions.begin(), actions.end(), isPush));
    cr_expect_eq(table.selectRumoursToSend(1, "b").front().kind, RumourKind::NodeSuspect);
}

// Guards against a node that keeps its own list of live nodes after it was isolated.
Test(membership, isolatedNodeRejoinsAfterTheFault)
{
    std::vector<long> times;
    const int failures = runSeeds(fixedSeeds, [&](std::uint64_t seed) -> std::string {
        VirtualFleet fleet(seed);
        fleet.startAll(7);
        fleet.run(Seconds(20));
        fleet.isolate(1);
        fleet.run(Seconds(30));
        cr_expect_eq(fleet.member(1).table->liveNodes().size(), 1);
        fleet.unblockLinks();
        times.push_back(millisUntilConverged(fleet, Seconds(60)));
        return times.back() >= 0 && times.back() <= 6000 ? ""
                                                         : "the nodes did not converge within 6 s";
    });
    cr_expect_eq(failures, 0);
    std::sort(times.begin(), times.end());
    sesame::test::printFigure(
            "7 nodes, one isolated for 30 s: all agree after %ld ms (median), %ld ms (worst)",
            times[times.size() / 2], times.back());
    cr_expect_leq(times[times.size() / 2], 3500);
}

Test(membership, killedNodeIsRemovedByAllNodes)
{
    VirtualFleet fleet(11);
    fleet.startAll(7);
    fleet.run(Seconds(10));
    fleet.kill(3);
    const long time = millisUntilConverged(fleet, Seconds(30));
    sesame::test::printFigure("7 nodes, one killed: all agree after %ld ms", time);
    cr_expect(time >= 0 && time <= 8000);
}

Test(membership, frozenNodeIsAliveAgainAfterResuming)
{
    VirtualFleet fleet(12);
    fleet.startAll(7);
    fleet.freeze(3, Seconds(20));
    fleet.run(Seconds(15));
    cr_expect_eq(fleet.member(0).table->find("node-3")->state, PeerState::Dead);
    fleet.run(Seconds(5));
    const long time = millisUntilConverged(fleet, Seconds(30));
    sesame::test::printFigure("7 nodes, one frozen for 20 s: all agree %ld ms after it resumes",
                              time);
    cr_expect(time >= 0 && time <= 6000);
}

// Guards against removing a node because of a one-way network fault between two nodes.
Test(membership, oneWayFaultRemovesNoNode)
{
    VirtualFleet fleet(13);
    fleet.startAll(7);
    fleet.blockLink(1, 2);
    fleet.run(std::chrono::minutes(10));
    sesame::test::printFigure("one-way cut for 10 min: %lu suspicions", sumSuspicions(fleet));
    cr_expect(fleet.isConverged());
}

// Guards against removing a slow node that still answers.
Test(membership, slowNodeIsKept)
{
    for (const Millis delay : {Millis(300), Millis(700)}) {
        VirtualFleet fleet(14);
        fleet.startAll(7);
        fleet.member(3).answerDelay = delay;
        const std::size_t wrongSeconds = countSecondsOfWrongLists(fleet);
        sesame::test::printFigure(
                "one of 7 nodes answers after %ld ms: %lu suspicions/h, wrong lists in %zu s/h",
                toMillis(delay), sumSuspicions(fleet), wrongSeconds);
        cr_expect_eq(wrongSeconds, 0);
    }
}

Test(membership, lossCausesFewFalseSuspicions)
{
    for (const double loss : {0.0, 0.01, 0.05}) {
        VirtualFleet fleet(15);
        fleet.startAll(7);
        fleet.lossRate = loss;
        const std::size_t wrongSeconds = countSecondsOfWrongLists(fleet);
        sesame::test::printFigure(
                "7 nodes, %.0f%% loss: %lu false suspicions/h, wrong lists in %zu s/h", 100 * loss,
                sumSuspicions(fleet), wrongSeconds);
        cr_expect_eq(wrongSeconds, 0);
    }
}

Test(membership, rollingReplacementOfAllNodes)
{
    VirtualFleet fleet(16);
    fleet.startAll(7);
    long worst = 0;
    for (std::size_t n = 0; n < 7; ++n) {
        fleet.start("new-" + std::to_string(n));
        fleet.leave(n);
        const long time = millisUntilConverged(fleet, Seconds(30));
        cr_assert_geq(time, 0);
        worst = std::max(worst, time);
        fleet.kill(n);
        fleet.run(Seconds(3));
        cr_expect(fleet.isConverged());
    }
    sesame::test::printFigure("rolling replacement of 7 nodes: all agree after %ld ms at most",
                              worst);
    cr_expect_eq(fleet.member(13).table->liveNodes().size(), 7);
}

Test(membership, halfOfTheNodesKilledAtOnce)
{
    VirtualFleet fleet(17);
    fleet.startAll(14);
    for (std::size_t n = 0; n < 7; ++n)
        fleet.kill(2 * n);
    const long time = millisUntilConverged(fleet, Seconds(60));
    sesame::test::printFigure("7 of 14 nodes killed at once: the rest agree after %ld ms", time);
    cr_expect(time >= 0 && time <= 12000);
}

// Guards against groups that do not merge after a partition has ended.
Test(membership, healedPartitionMerges)
{
    VirtualFleet fleet(18);
    fleet.startAll(8);
    for (std::size_t n = 0; n < 4; ++n) {
        for (std::size_t m = 4; m < 8; ++m) {
            fleet.blockLink(n, m);
            fleet.blockLink(m, n);
        }
    }
    fleet.run(Seconds(60));
    cr_expect_eq(fleet.member(0).table->liveNodes().size(), 4);
    fleet.unblockLinks();
    const long time = millisUntilConverged(fleet, Seconds(60));
    sesame::test::printFigure("two halves cut for 60 s: all 8 agree %ld ms after the cut healed",
                              time);
    cr_expect(time >= 0 && time <= 15000);
}

// Guards against traffic per node that grows with the number of nodes.
Test(membership, costPerNodeAtTargetSize)
{
    for (const std::size_t count : {7, 50, 150, 420}) {
        VirtualFleet fleet(count);
        fleet.startAll(count);
        fleet.run(Seconds(10));
        const std::uint64_t before = sumBytes(fleet);
        fleet.run(Seconds(60));
        const double rate = static_cast<double>(sumBytes(fleet) - before) / 60.0
                / static_cast<double>(count);
        fleet.kill(count / 2);
        const long time = millisUntilConverged(fleet, Seconds(60));
        sesame::test::printFigure(
                "%zu nodes: %.0f bytes/s sent per node, one killed: all agree after %ld ms", count,
                rate, time);
        cr_expect(time >= 0 && time <= 16000);
        cr_expect_lt(rate, 4000.0);
    }
}
