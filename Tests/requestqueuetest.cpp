#include "support/printfigure.h"
#include "support/queuesimulation.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace sesame::test;

namespace {

/*!
    Returns the result of \a options with refusal at random instead of waiting.
*/
QueueSimulationResult runRandom(QueueSimulationOptions options)
{
    options.waits = false;
    return QueueSimulation(options).run();
}

QueueSimulationResult run(const QueueSimulationOptions &options)
{
    return QueueSimulation(options).run();
}

//! Returns the share within the aim of all accounts but the first, while the disturbance lasts.
double otherAccounts(const QueueSimulationResult &result)
{
    SimulatedShare sum;
    for (const auto &[account, share] : result.byAccount) {
        sum.asked += account == 0 ? 0 : share.asked;
        sum.inAim += account == 0 ? 0 : share.inAim;
    }
    return sum.inAimShare();
}

void print(const char *name, const QueueSimulationResult &result)
{
    printFigure("%s: within the aim all %.3f, ranks %.3f %.3f %.3f, account 0 %.3f, others %.3f, "
                "repeating %.3f, patient %.3f; held and refused %d; most running %d",
                name, result.all.inAimShare(), result.byRank.at(0).inAimShare(),
                result.byRank.at(1).inAimShare(), result.byRank.at(2).inAimShare(),
                result.byAccount.at(0).inAimShare(), otherAccounts(result),
                result.repeating.inAimShare(), result.patient.inAimShare(), result.heldAndRefused,
                result.mostRunning);
}

} // namespace

// Load: all nodes are back after a power loss, and 800 callers return at the same time to nodes
// that know nothing. Guards against callers that are turned away until their aim has passed.
Test(requestqueue, callersAreServedAfterAPowerLoss)
{
    const QueueSimulationOptions options {.disturbedFrom = 0s, .returningAtStart = 800};
    const auto queue = run(options);
    const auto random = runRandom(options);
    print("power loss, queue", queue);
    print("power loss, random", random);
    cr_expect_geq(queue.all.inAimShare(), 0.98);
    cr_expect_geq(queue.all.inAimShare(), random.all.inAimShare() + 0.01);
}

// Load: one of 16 accounts demands 7 times as much, more than the engines can do. Guards against a
// burst that takes the places of the other accounts.
Test(requestqueue, aBurstIsAtTheExpenseOfItsAccount)
{
    QueueSimulationOptions options {.time = 30s, .disturbedUntil = 28s, .firstAccountFactor = 7.0};
    for (SimulatedKind &kind : options.kinds)
        kind.perSecond *= 1.25;
    const auto queue = run(options);
    const auto random = runRandom(options);
    options.queue.useFairShares = false;
    const auto unfair = run(options);
    print("account at 7 times, queue", queue);
    print("account at 7 times, without fair shares", unfair);
    print("account at 7 times, random", random);
    cr_expect_geq(otherAccounts(queue), otherAccounts(random) + 0.04);
    cr_expect_geq(otherAccounts(queue), otherAccounts(unfair) + 0.04);
    cr_expect_leq(queue.byAccount.at(0).inAimShare(), otherAccounts(queue) - 0.1);
}

// Load: 30% of the callers repeat three times at once, at 1.5 times the demand. Guards against
// callers that get more because they do not wait as they are told.
Test(requestqueue, callersThatRepeatAtOnceGainNothing)
{
    const QueueSimulationOptions options {.time = 30s,
                                          .disturbedUntil = 28s,
                                          .kindFactors = {1.5, 1.5, 1.5},
                                          .repeatingShare = 0.3};
    const auto queue = run(options);
    const auto random = runRandom(options);
    print("repeating at once, queue", queue);
    print("repeating at once, random", random);
    cr_expect_leq(queue.repeating.inAimShare(), queue.patient.inAimShare());
    cr_expect_geq(queue.all.inAimShare(), random.all.inAimShare());
}

// Load: a burst of the least urgent kind. Guards against urgent requests that are refused while
// others are served.
Test(requestqueue, aBurstOfTheLeastUrgentKindHarmsNoOther)
{
    const QueueSimulationOptions options {
            .time = 30s, .disturbedUntil = 28s, .kindFactors = {1.0, 1.0, 3.2}};
    const auto queue = run(options);
    const auto random = runRandom(options);
    print("least urgent burst, queue", queue);
    print("least urgent burst, random", random);
    cr_expect_geq(queue.byRank.at(0).inAimShare(), 0.97);
    cr_expect_geq(queue.byRank.at(1).inAimShare(), 0.94);
    cr_expect_geq(queue.byRank.at(0).inAimShare(), random.byRank.at(0).inAimShare() + 0.1);
    cr_expect_geq(queue.all.inAimShare(), random.all.inAimShare());
}

// Load: the engines do 0.8 of the demand for 15 s, because no new ones can be ordered. Guards
// against requests that are held until they miss their aim.
Test(requestqueue, theQueueIsBetterThanRefusalWhileOrdersAreRefused)
{
    QueueSimulationOptions options {.time = 20s, .disturbedUntil = 17s, .slotsFactor = 0.6};
    const auto queue = run(options);
    const auto random = runRandom(options);
    options.queue.usePrediction = false;
    const auto unpredicted = run(options);
    print("orders refused, queue", queue);
    print("orders refused, without prediction", unpredicted);
    print("orders refused, random", random);
    cr_expect_geq(queue.all.inAimShare(), random.all.inAimShare() + 0.01);
    cr_expect_geq(queue.all.inAimShare(), unpredicted.all.inAimShare() + 0.05);
    cr_expect_geq(queue.byRank.at(0).inAimShare(), 0.95);
}

// Load: short requests with short aims at few engines, as plain services have them.
Test(requestqueue, shortRequestsGainMost)
{
    const QueueSimulationOptions options {
            .slots = 24,
            .work = 30ms,
            .kinds = {{.perSecond = 200, .aim = 150ms, .deadline = 1s},
                      {.perSecond = 200, .aim = 150ms, .deadline = 1s},
                      {.perSecond = 200, .aim = 150ms, .deadline = 1s}},
            .kindFactors = {1.2, 1.2, 1.2}};
    const auto queue = run(options);
    const auto random = runRandom(options);
    print("short requests, queue", queue);
    print("short requests, random", random);
    cr_expect_geq(queue.all.inAimShare(), random.all.inAimShare() + 0.05);
}

// Load: 1.3 times what the engines can do, with aims of some hundred milliseconds. Guards against
// late requests that hold the places of requests which would meet their aim, and against long
// holds.
Test(requestqueue, lateRequestsHoldNoPlaces)
{
    const QueueSimulationOptions options {
            .slots = 80,
            .work = 100ms,
            .kinds = {{.perSecond = 200, .aim = 500ms, .deadline = 3s},
                      {.perSecond = 200, .aim = 600ms, .deadline = 3s},
                      {.perSecond = 200, .aim = 400ms, .deadline = 3s}},
            .kindFactors = {1.0, 1.0, 3.2}};
    const auto queue = run(options);
    const auto random = runRandom(options);
    print("short aims, queue", queue);
    print("short aims, random", random);
    cr_expect_geq(queue.all.inAimShare(), random.all.inAimShare() + 0.03);
    cr_expect_leq(queue.heldAndRefused, queue.all.asked * 4 / 100);
}

// Guards against callers that return before the announced time and go before others.
Test(requestqueue, callersAreServedByTheirReturn)
{
    RequestQueue queue;
    queue.drain().recordOccupied(10ms);
    queue.drain().setView({.ownRequests = 10, .requests = 10, .places = 10});
    const Timestamp start {1h};
    const auto offer = [&](std::uint64_t id, std::uint64_t caller, Timestamp now) {
        return queue.offer({.id = id,
                            .callerKey = caller,
                            .aimEnd = now + 900ms,
                            .lastUse = now + 3s,
                            .latestReturn = now + 1s},
                           0.0, now);
    };
    const auto refuse = [&](std::uint64_t caller, Duration latest) {
        return queue.retryAfter({.callerKey = caller,
                                 .aimEnd = start + 2s,
                                 .lastUse = start + 3s,
                                 .latestReturn = start + latest},
                                0.0, start);
    };
    cr_expect_geq(refuse(1, 1s), Duration(10ms));
    queue.drain().setView({.requests = 1, .places = 10, .nodes = 100});
    cr_expect_geq(refuse(2, 500ms), Duration(300ms));
    queue.drain().setView({.ownRequests = 10, .requests = 10, .places = 10});
    cr_expect(offer(12, 2, start + 50ms).waits());
    cr_expect(offer(13, 3, start + 50ms).waits());
    cr_expect(offer(11, 1, start + 50ms).waits());
    cr_expect_eq(queue.next(start + 60ms), 11U);
    cr_expect_eq(queue.next(start + 60ms), 13U);
    cr_expect_eq(queue.next(start + 60ms), 12U);
    cr_expect_not(queue.next(start + 60ms).has_value());
}
