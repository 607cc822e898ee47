#include "support/seededrun.h"
#include "support/streamsimulation.h"

#include <criterion/criterion.h>

#include <string>

using namespace sesame;

namespace {

constexpr int stepsPerSeed = 20000;

StreamSession makeSession(std::uint64_t offset = 0, std::string text = {})
{
    return StreamSession({.requestId = "r",
                          .account = "a",
                          .lastAttempt = 0,
                          .offset = offset,
                          .text = std::move(text)});
}

AttemptEngine makeEngine()
{
    return {.id = "e", .incarnation = 1, .address = {.host = "127.0.0.1", .port = 1}};
}

std::string runSeed(std::uint64_t seed)
{
    StreamSimulation world(seed);
    for (int n = 0; n < stepsPerSeed; ++n) {
        const std::string fault = world.step();
        if (!fault.empty())
            return "step " + std::to_string(n) + ": " + fault;
    }
    // A run in which some kind of event never occurred would prove nothing about it.
    if (world.completed() < 20)
        return "only " + std::to_string(world.completed()) + " requests completed";
    if (world.verdicts().size() != 5 || world.handovers() == 0)
        return "a verdict or a handover never occurred";
    return {};
}

} // namespace

// Guards against tokens of an engine that still sends after its request moved.
Test(streamsession, dropsEventsOfOldAttempts)
{
    StreamSession session = makeSession();
    const StreamAttempt first = session.beginAttempt(makeEngine());
    cr_expect_eq(session.accept(first, 0, "a "), StreamVerdict::Delivered);
    const StreamAttempt second = session.beginAttempt(makeEngine());
    cr_expect_gt(second.number, first.number);
    cr_expect_eq(session.accept(first, 1, "x "), StreamVerdict::OldAttempt);
    cr_expect_eq(session.accept(second, 1, "b "), StreamVerdict::Delivered);
    cr_expect(session.deliveredText() == "a b ");
    session.endAttempt();
    cr_expect_eq(session.accept(second, 2, "c "), StreamVerdict::OldAttempt);
    cr_expect_eq(session.nextOffset(), 2U);
}

// Guards against repeated tokens after a re-attach and against text with a hole.
Test(streamsession, dropsDuplicatesAndEndsAttemptAtGap)
{
    StreamSession session = makeSession(2, "a b ");
    const StreamAttempt attempt = session.beginAttempt(makeEngine());
    cr_expect_eq(session.accept(attempt, 1, "b "), StreamVerdict::Duplicate);
    cr_expect_not(session.needsAttempt());
    cr_expect_eq(session.accept(attempt, 3, "d "), StreamVerdict::Gap);
    cr_expect(session.needsAttempt());
    cr_expect_eq(session.accept(attempt, 2, "c "), StreamVerdict::OldAttempt);
    const StreamAttempt next = session.beginAttempt(makeEngine());
    cr_expect_eq(session.accept(next, 2, "c "), StreamVerdict::Delivered);
    cr_expect(session.deliveredText() == "a b c ");
}

// Guards against an answer that reaches another request of the same account, or another account.
Test(streamsession, dropsEventsOfOtherRequests)
{
    StreamSession session = makeSession();
    const StreamAttempt attempt = session.beginAttempt(makeEngine());
    StreamAttempt other = attempt;
    other.requestId = "r2";
    cr_expect_eq(session.accept(other, 0, "x "), StreamVerdict::OtherRequest);
    other = attempt;
    other.account = "b";
    cr_expect_eq(session.accept(other, 0, "x "), StreamVerdict::OtherRequest);
    cr_expect_eq(session.nextOffset(), 0U);
}

// Guards against a recomputation from an incomplete prefix after a resume by token.
Test(streamsession, knowsWhetherItHasTheText)
{
    cr_expect(makeSession().hasText());
    cr_expect(makeSession(1, "a ").hasText());
    cr_expect_not(makeSession(1).hasText());
}

// Guards against two nodes that continue one token and give their attempts the same number.
Test(streamsession, numbersAttemptsFromTheGivenMinimum)
{
    StreamSession session = makeSession();
    cr_expect_eq(session.beginAttempt(makeEngine(), 1000).number, 1000U);
    cr_expect_eq(session.beginAttempt(makeEngine(), 1000).number, 1001U);
}

// Guards against wrong text under late, lost, doubled, reordered and crossed events, engines
// that still send after a move, lost connections and handovers, in any combination.
Test(streamsession, randomRunsDeliverExactText)
{
    cr_assert_eq(runSeeds({1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, runSeed), 0);
}
