#include "Core/promptcrashtable.h"
#include "Core/wireformat.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <random>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t start = 1'700'000'000'000;

wire::PromptCrash makeCrash(std::int64_t request, std::int64_t sentMillis, std::int64_t crashMillis,
                            std::vector<std::int64_t> parts)
{
    wire::PromptCrash crash;
    crash.request = request;
    crash.engine = 1000 + request;
    crash.sentMillis = sentMillis;
    crash.crashMillis = crashMillis;
    crash.parts = std::move(parts);
    return crash;
}

//! Returns a prompt with \a ids and a last part of its own.
std::vector<PromptPart> makePrompt(const std::vector<std::uint64_t> &ids)
{
    std::vector<PromptPart> parts;
    parts.reserve(ids.size() + 1);
    for (const std::uint64_t id : ids)
        parts.push_back({.id = id, .tokens = 10});
    parts.push_back({.id = 999'999, .tokens = 10});
    return parts;
}

//! Records \a n crashes one after the other from \a time on, each by another request.
void crashInSuccession(PromptCrashTable &table, int n, std::int64_t time,
                       const std::vector<std::int64_t> &parts)
{
    constexpr std::int64_t interval = 500;
    for (std::int64_t i = 0; i < n; ++i) {
        const std::int64_t sent = time + i * interval;
        table.recordCrash(makeCrash(sent, sent, sent + interval - 100, parts),
                          sent + interval - 100);
    }
}

/*!
    Twelve engines whose crashes cost all requests that they have not begun to answer.
*/
class CrashSimulation
{
public:
    explicit CrashSimulation(unsigned seed)
        : m_random(seed), share(std::uniform_real_distribution<double>(0.01, 0.7)(m_random))
    {
    }

    void run()
    {
        constexpr std::int64_t requestInterval = 20;
        constexpr std::int64_t deadlyFrom = start + 2000;
        for (std::int64_t now = start; now < start + 60'000; now += requestInterval) {
            beginAnswers(now);
            const std::uint64_t second = 100 + m_random() % 20;
            const bool isDeadly = now >= deadlyFrom && chance(share);
            send(isDeadly ? makePrompt({1, second, 2}) : makePrompt({1, second}), isDeadly, now);
            if (chance(0.005))
                crash(m_random() % engineCount, now);
        }
    }

    int crashesByPart = 0;
    int refusedSound = 0;

private:
    static constexpr std::size_t engineCount = 12;
    static constexpr std::int64_t downtime = 3000;
    struct Request
    {
        std::vector<PromptPart> prompt;
        bool isDeadly = false;
        std::int64_t sent = 0;
        std::int64_t begin = 0;
        std::size_t engine = 0;
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    void send(const std::vector<PromptPart> &prompt, bool isDeadly, std::int64_t now)
    {
        constexpr std::int64_t minTimeToBegin = 50;
        if (m_table.refusalTime(prompt, now)) {
            refusedSound += isDeadly ? 0 : 1;
            return;
        }
        std::vector<std::size_t> running;
        for (std::size_t i = 0; i < engineCount; ++i) {
            if (m_downUntil[i] <= now)
                running.push_back(i);
        }
        if (running.empty())
            return;
        const auto begin = now + minTimeToBegin + static_cast<std::int64_t>(m_random() % 200);
        m_waiting.push_back({prompt, isDeadly, now, begin, running[m_random() % running.size()]});
    }

    void beginAnswers(std::int64_t now)
    {
        std::sort(m_waiting.begin(), m_waiting.end(), [](const Request &a, const Request &b) {
            return a.begin < b.begin;
        });
        while (!m_waiting.empty() && m_waiting.front().begin <= now) {
            const Request request = m_waiting.front();
            if (request.isDeadly) {
                ++crashesByPart;
                crash(request.engine, request.begin);
            } else {
                m_table.recordAnswer(request.prompt, request.begin);
                m_waiting.erase(m_waiting.begin());
            }
        }
    }

    void crash(std::size_t engine, std::int64_t now)
    {
        m_downUntil[engine] = now + downtime;
        std::erase_if(m_waiting, [&](const Request &request) {
            if (request.engine != engine)
                return false;
            m_table.recordCrash(
                    makeCrash(++m_lost, request.sent, now, sharedPartIds(request.prompt)), now);
            return true;
        });
    }

    std::mt19937 m_random;
    PromptCrashTable m_table;
    std::array<std::int64_t, engineCount> m_downUntil {};
    std::vector<Request> m_waiting;
    std::int64_t m_lost = 0;

public:
    double share; //!< Share of the requests that contain the crashing part.
};

} // namespace

// Guards against requests that have one part in common, and nothing else, and crash engine after
// engine.
Test(promptcrashtable, partIsBlamedWhateverElseRequestsContain)
{
    PromptCrashTable table;
    for (std::int64_t i = 0; i < 3; ++i) {
        cr_expect_not(table.refusalTime(makePrompt({7}), start + i * 1000));
        table.recordCrash(makeCrash(i, start + i * 1000, start + i * 1000 + 300, {100 + i, 7}),
                          start + i * 1000 + 300);
    }
    cr_expect(table.refusalTime(makePrompt({5, 7}), start + 3000));
    cr_expect_not(table.refusalTime(makePrompt({5, 100}), start + 3000));
    // The last part belongs to the request itself.
    const std::array<PromptPart, 2> own {PromptPart {.id = 5}, PromptPart {.id = 7}};
    cr_expect_not(table.refusalTime(own, start + 3000));
    cr_expect_not(table.refusalTime(makePrompt({7}), start + 700'000));
}

// Guards against refusing requests that waited on engines which failed at the same time for another
// reason.
Test(promptcrashtable, enginesThatFailTogetherBlameNothing)
{
    PromptCrashTable table;
    for (std::int64_t i = 0; i < 20; ++i)
        table.recordCrash(makeCrash(i, start - i, start + 100 + i, {7}), start + 100 + i);
    cr_expect_not(table.refusalTime(makePrompt({7}), start + 200));
    // Repeats of one request do not tell its prompt from its other content.
    PromptCrashTable repeats;
    for (std::int64_t i = 0; i < 5; ++i) {
        wire::PromptCrash crash = makeCrash(1, start + i * 1000, start + i * 1000 + 300, {7});
        crash.engine = i;
        repeats.recordCrash(crash, start + i * 1000 + 300);
    }
    cr_expect_not(repeats.refusalTime(makePrompt({7}), start + 6000));
}

// Guards against refusing the many sound requests that share their first part with the crashing
// ones.
Test(promptcrashtable, answersClearParts)
{
    PromptCrashTable table;
    for (std::int64_t i = 0; i < 6; ++i) {
        const std::int64_t time = start + i * 1000;
        table.recordCrash(makeCrash(i, time, time + 300, {1}), time + 300);
        table.recordAnswer(makePrompt({1}), time + 400);
    }
    cr_expect_not(table.refusalTime(makePrompt({1}), start + 7000));
}

// Guards against refusing sound requests for a part that so far occurred only beside the crashing
// one, and against sending requests with the crashing part once an answer has told them apart.
Test(promptcrashtable, onlyRequestsWithAllCommonPartsAreRefused)
{
    PromptCrashTable table;
    crashInSuccession(table, 3, start, {1, 2, 3});
    const std::int64_t now = start + 1500;
    cr_expect(table.refusalTime(makePrompt({1, 2, 3}), now));
    cr_expect_not(table.refusalTime(makePrompt({1, 3}), now));
    cr_expect_not(table.refusalTime(makePrompt({1, 2}), now));
    table.recordAnswer(makePrompt({1, 3}), now);
    table.recordCrash(makeCrash(50, now, now + 100, {4, 2}), now + 100);
    cr_expect(table.refusalTime(makePrompt({5, 2}), now + 200));
    cr_expect_not(table.refusalTime(makePrompt({1, 3, 4}), now + 200));
}

// Guards against a part that engines answered before it began to crash them.
Test(promptcrashtable, answeredPartIsBlamedAfterMoreCrashes)
{
    PromptCrashTable table;
    table.recordAnswer(makePrompt({7}), start - 1000);
    crashInSuccession(table, 5, start, {7});
    cr_expect_not(table.refusalTime(makePrompt({7}), start + 2500));
    crashInSuccession(table, 1, start + 2500, {7});
    cr_expect(table.refusalTime(makePrompt({7}), start + 3000));
    // An answer to a request that was under way refutes the suspicion.
    table.recordAnswer(makePrompt({7}), start + 3100);
    crashInSuccession(table, 1, start + 3100, {8});
    cr_expect_not(table.refusalTime(makePrompt({7}), start + 3700));
}

// Guards against evidence that counts twice because it arrives twice, or by two ways, and against
// evidence that does not reach a node which saw no crash itself.
Test(promptcrashtable, evidenceOfAllNodesCountsOnce)
{
    std::array<PromptCrashTable, 3> nodes;
    for (std::int64_t i = 0; i < 3; ++i) {
        const std::int64_t time = start + i * 1000;
        nodes[static_cast<std::size_t>(i % 2)].recordCrash(makeCrash(i, time, time + 300, {7}),
                                                           time + 300);
        wire::PromptEvidence sum;
        for (int repeat = 0; repeat < 2; ++repeat) {
            for (const PromptCrashTable &node : nodes)
                mergePromptEvidence(sum, node.ownEvidence(time + 400));
        }
        for (PromptCrashTable &node : nodes)
            node.merge(sum, time + 400);
        for (const PromptCrashTable &node : nodes)
            cr_expect_eq(node.refusalTime(makePrompt({7}), time + 500).has_value(), i == 2);
    }
    // A node that starts later learns of the refusal when the crashes are no longer reported.
    PromptCrashTable late;
    late.merge(nodes[2].ownEvidence(start + 30'000), start + 30'000);
    cr_expect(late.refusalTime(makePrompt({7}), start + 30'000));
}

// Guards against evidence that grows beyond a datagram when many engines crash at many nodes.
Test(promptcrashtable, evidenceOfManyNodesFitsADatagram)
{
    constexpr std::size_t maxDatagramBytes = 16'384;
    std::mt19937_64 random(5205);
    wire::PromptEvidence sum;
    for (std::int64_t node = 0; node < 200; ++node) {
        PromptCrashTable table;
        for (std::int64_t i = 0; i < 50; ++i) {
            std::vector<std::int64_t> parts(3);
            for (std::int64_t &part : parts)
                part = static_cast<std::int64_t>(random());
            table.recordCrash(makeCrash(node * 100 + i, start, start + i, parts), start + i);
        }
        mergePromptEvidence(sum, table.ownEvidence(start + 100));
    }
    cr_expect_lt(encodeWire(sum).size(), maxDatagramBytes);
}

// Plays requests of which a share contains a crashing part, beside sound ones with the same first
// part, at engines that crash for other reasons too. Guards against crashes that go on and against
// refusals of sound requests, at any share, also where all engines are down at times.
Test(promptcrashtable, crashesEndAndSoundRequestsGoOn)
{
    constexpr int maxCrashesByPart = 16;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CrashSimulation simulation(seed);
        simulation.run();
        cr_expect_leq(simulation.crashesByPart, maxCrashesByPart, "seed %u, share %f: %d crashes",
                      seed, simulation.share, simulation.crashesByPart);
        cr_expect_eq(simulation.refusedSound, 0, "seed %u, share %f: %d refused", seed,
                     simulation.share, simulation.refusedSound);
    }
}
