#include "Core/enginenotices.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

const Timestamp start {1h};
const EngineBoot engine {.id = "i-1", .incarnation = 7};

} // namespace

// Guards against requests to an engine that said it was leaving, because time passed, the engine
// answered again, or it asked for a pause besides.
Test(enginenotices, leavingEndsOnlyWithANewBoot)
{
    EngineNotices notices;
    cr_expect(notices.recordLeaving(engine, start));
    cr_expect_not(notices.recordLeaving(engine, start + 1s));
    notices.recordAnswer(engine, start + 2s);
    notices.recordPause(engine, 1s, 0.5, start + 3s);
    for (int i = 0; i < 10; ++i)
        notices.recordAnswer(engine, start + 10s);
    cr_expect_eq(notices.requestLimit(engine, start + 24h), 0);
    cr_expect(notices.withholding(engine, start + 24h)->isLeaving);
    const EngineBoot restarted {.id = "i-1", .incarnation = 8};
    cr_expect_gt(notices.requestLimit(restarted, start + 1s), 1000);
    cr_expect_not(notices.withholding(restarted, start + 1s));
    cr_expect_gt(notices.requestLimit({.id = "i-2", .incarnation = 7}, start + 1s), 1000);
}

// Guards against requests during a pause, and against a burst at its end.
Test(enginenotices, pauseEndsGradually)
{
    EngineNotices notices;
    notices.recordPause(engine, 2500ms, 0.0, start);
    cr_expect_eq(notices.requestLimit(engine, start + 2499ms), 0);
    const auto withholding = notices.withholding(engine, start + 1s);
    cr_assert(withholding.has_value());
    cr_expect_eq(withholding->asked / 1ms, 2500);
    cr_expect(withholding->askedAt == start);
    // An answer to a request of before the pause does not end it.
    notices.recordAnswer(engine, start + 1s);
    cr_expect_eq(notices.requestLimit(engine, start + 2s), 0);
    int limit = 1;
    for (; limit < 64; limit *= 2) {
        cr_expect_eq(notices.requestLimit(engine, start + 3s), limit);
        notices.recordAnswer(engine, start + 3s);
    }
    cr_expect_gt(notices.requestLimit(engine, start + 3s), 1000);
    cr_expect_eq(notices.size(), 0U);
}

// Guards against nodes that return in the same moment, against a shorter pause that cuts a longer
// one, and against an engine that is left out for ever by an absurd value.
Test(enginenotices, pausesAreSpreadAndBounded)
{
    EngineNotices notices;
    cr_expect_eq(notices.recordPause(engine, 2s, 0.0, start) / 1ms, 2000);
    cr_expect_eq(notices.recordPause(engine, 2s, 0.999, start) / 1ms, 2399);
    cr_expect_geq(notices.recordPause(engine, 100ms, 0.5, start) / 1ms, 2399);
    cr_expect_eq(notices.recordPause(engine, 0s, 0.5, start) / 1ms, 0);
    const EngineBoot other {.id = "i-2"};
    cr_expect_eq(notices.recordPause(other, -5s, 0.5, start) / 1ms, 0);
    cr_expect_gt(notices.requestLimit(other, start), 1000);
    notices.recordPause(other, 24h * 365, 0.9, start);
    cr_expect_eq(notices.requestLimit(other, start + 299s), 0);
    cr_expect_eq(notices.requestLimit(other, start + 302s), 1);
}

// Guards against memory that grows with the engines that ever said something.
Test(enginenotices, oldestNoticeYields)
{
    EngineNotices notices({.maxEngines = 3});
    for (int i = 0; i < 5; ++i)
        notices.recordLeaving({.id = std::to_string(i)}, start + i * 1s);
    cr_expect_eq(notices.size(), 3U);
    cr_expect_not(notices.withholding({.id = "1"}, start + 9s));
    cr_expect(notices.withholding({.id = "4"}, start + 9s));
}

// Plays nodes that send to engines which push back in waves. Counts from the engines' side as the
// platform does: requests of one node between half a second after the answer and the end of the
// time that it named. The end of a pause must not bring all nodes at once.
Test(enginenotices, enginesGetNoRequestsInTheTimeThatTheyNamed)
{
    constexpr int nodeCount = 30;
    constexpr auto step = 10ms;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        std::vector<EngineNotices> nodes(nodeCount);
        std::vector<Timestamp> answeredAt(nodeCount);
        std::vector<Timestamp> namedEnd(nodeCount);
        int inNamedTime = 0;
        int mostInOneStep = 0;
        const Timestamp busyUntil = start + 3s;
        const auto wait = 200ms + 100ms * static_cast<int>(random() % 30);
        for (Timestamp now = start; now < start + 12s; now += step) {
            int arrivals = 0;
            for (std::size_t n = 0; n < nodes.size(); ++n) {
                const int limit = nodes[n].requestLimit(engine, now);
                for (int i = 0; i < std::min(limit, 2); ++i) {
                    ++arrivals;
                    inNamedTime += now > answeredAt[n] + 500ms && now < namedEnd[n] ? 1 : 0;
                    if (now >= busyUntil) {
                        nodes[n].recordAnswer(engine, now);
                        continue;
                    }
                    answeredAt[n] = now;
                    namedEnd[n] = now + wait;
                    nodes[n].recordPause(engine, wait, uniform(random), now);
                }
            }
            if (now > start && now < busyUntil)
                mostInOneStep = std::max(mostInOneStep, arrivals);
        }
        cr_expect_eq(inNamedTime, 0, "seed %u", seed);
        if (wait >= 1s)
            cr_expect_leq(mostInOneStep, nodeCount / 2, "seed %u", seed);
    }
}
