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
    StreamSimulation simulation(seed);
    for (int n = 0; n < stepsPerSeed; ++n) {
        const std::string fault = simulation.step();
        if (!fault.empty())
            return "step " + std::to_string(n) + ": " + fault;
    }
    // A run that lacks some kind of event does not test the handling of that kind.
    if (simulation.completed() < 20)
        return "only " + std::to_string(simulation.completed()) + " requests completed";
    if (simulation.verdicts().size() != 5 || simulation.handovers() == 0)
        return "a verdict or a handover never occurred";
    return {};
}

} // namespace

// Guards against delivery of tokens from an engine that keeps sending after its request was moved.
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

// Guards against repeated tokens after a re-attach and against missing tokens in the text.
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

// Guards against an answer that is delivered to another request of the account or to another
// account.
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

// Guards against recomputing from incomplete text after a resume with a resume token.
Test(streamsession, reportsWhetherTextIsKnown)
{
    cr_expect(makeSession().hasText());
    cr_expect(makeSession(1, "a ").hasText());
    cr_expect_not(makeSession(1).hasText());
}

// Guards against equal attempt numbers when two nodes continue from the same resume token.
Test(streamsession, numbersAttemptsFromTheGivenMinimum)
{
    StreamSession session = makeSession();
    cr_expect_eq(session.beginAttempt(makeEngine(), 1000).number, 1000U);
    cr_expect_eq(session.beginAttempt(makeEngine(), 1000).number, 1001U);
}

// Guards against wrong text when events are late, lost, duplicated, reordered or delivered to the
// wrong session, engines keep sending after a move, connections are lost, and requests are handed
// over, in any combination.
Test(streamsession, randomRunsDeliverExactText)
{
    cr_assert_eq(runSeeds({1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, runSeed), 0);
}
