#include "Core/sesamecore.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

const Timestamp start {Duration(1h)};

} // namespace

// Guards against quarantining a request after one crash, and against running it after two.
Test(suspectTable, secondCrashQuarantines)
{
    SuspectTable table("n1");
    const std::vector<Fingerprint> running {1, 2};
    cr_expect(table.tryRunOn(1, "e1", start));
    table.recordCrash("e1", "z1", running, start);
    cr_expect(table.isSuspect(1));
    cr_expect_not(table.tryRunOn(1, "e2", start));
    cr_expect_not(table.tryRunOn(2, "e2", start), "two suspects run on one engine");
    cr_expect_eq(table.enginesOfOtherSuspects(2), std::vector<std::string> {"e2"});
    cr_expect_not(table.tryRunOn(2, "e3", start));
    cr_expect(table.tryRunOn(3, "e2", start), "a request that is no suspect is delayed");
    cr_expect(table.tryRunOn(1, "e2", start + 2100ms));
    cr_expect(table.tryRunOn(2, "e3", start + 2100ms));
    table.recordCompletion(2, start + 3s);
    cr_expect_not(table.isSuspect(2));
    table.recordCrash("e2", "z1", std::span(running).first(1), start + 4s);
    cr_expect_not(table.tryRunOn(1, "e4", start + 4s));
    table.update(start + 6s);
    cr_expect(table.isQuarantined(1));
    cr_expect_not(table.isQuarantined(2));
}

// Guards against counting the loss of a zone without notice as crashes caused by requests.
Test(suspectTable, zoneLossIsNotASecondCrash)
{
    SuspectTable table("n1");
    const std::vector<Fingerprint> running {1};
    table.recordCrash("e1", "z1", running, start);
    table.recordCrash("e2", "z2", running, start + 10s);
    table.recordCrash("e3", "z2", {}, start + 10500ms);
    table.update(start + 12s);
    cr_expect_not(table.isQuarantined(1));
    cr_expect(table.isSuspect(1));
}

// Guards against a quarantine that is known to one node only, and against a suspect that two nodes
// run at the same time.
Test(suspectTable, nodesAgreeByUpdates)
{
    SuspectTable first("n1");
    SuspectTable second("n2");
    const std::vector<Fingerprint> running {1};
    first.recordCrash("e1", "z1", running, start);
    first.tryRunOn(1, "e2", start);
    second.applyUpdates(first.updatesSince(0), start + 500ms);
    cr_expect(second.isSuspect(1));
    cr_expect(second.isHeldByPeer(1));
    cr_expect_not(second.tryRunOn(1, "e3", start + 5s));
    second.forgetNode("n1");
    cr_expect_not(second.tryRunOn(1, "e3", start + 5s));
    cr_expect(second.tryRunOn(1, "e3", start + 8s));
    first.quarantine(1, start + 9s);
    second.applyUpdates(first.makeAllUpdates(), start + 9s);
    cr_expect(second.isQuarantined(1));
    cr_expect_eq(second.quarantinedFingerprints().size(), 1U);
}

namespace {

constexpr Fingerprint crashingRequest = 1;
constexpr Duration tick = 10ms;

struct CrashRunOptions
{
    bool shareUpdates = true;
    bool resendsEarly = false; //!< Whether the caller sends before the nodes know of the crash.
    unsigned lossPercent = 0; //!< Share of the messages between nodes that are lost.
    int engines = 20;
};

/*!
    Simulates seven nodes, twenty engines and one request that crashes every engine that runs it.
    Its caller sends it again through the next node if it gets no answer. Updates between nodes
    take up to one second and can arrive out of order.
*/
class CrashRun
{
public:
    CrashRun(std::uint64_t seed, CrashRunOptions options) : m_random(seed), m_options(options)
    {
        for (int i = 0; i < 7; ++i)
            m_nodes.emplace_back("n" + std::to_string(i));
        for (int i = 0; i < m_options.engines; ++i)
            m_engines.push_back("e" + std::to_string(i));
    }

    std::string run(int steps)
    {
        // The request crashes an engine within 600 ms, and all nodes know of it 1 s later. Unless
        // m_options.resendsEarly is set, the caller sends the request again after that time.
        m_resendDelay = Duration(m_options.resendsEarly ? 0ms : 1700ms)
                + Duration(m_random() % (m_options.resendsEarly ? 800000 : 6000000));
        for (int i = 0; i < steps; ++i) {
            m_now += tick;
            step(i < steps - 1500);
        }
        return checkResult();
    }

private:
    struct Request
    {
        Fingerprint fingerprint = 0;
        std::size_t node = 0;
        std::string engine {}; //!< Empty while the request waits.
        Timestamp endsAt {};
        bool suspect = false; //!< Whether it was a suspect when it was dispatched.
    };
    //! What one node has told another one.
    struct Link
    {
        std::uint64_t confirmed = 0;
        int losses = 0; //!< In a row.
        Timestamp repeatAt {};
    };
    struct Message
    {
        std::size_t to = 0;
        Timestamp at {};
        std::vector<SuspectUpdate> updates;
    };

    void step(bool arrivals)
    {
        if (arrivals && m_random() % 10 == 0)
            m_requests.push_back({.fingerprint = ++m_lastHarmlessRequest, .node = m_random() % 7});
        sendCrashingRequest();
        exchangeUpdates();
        std::vector<Request *> waiting;
        for (Request &request : m_requests) {
            if (request.engine.empty())
                waiting.push_back(&request);
        }
        std::shuffle(waiting.begin(), waiting.end(), m_random);
        for (Request *request : waiting)
            dispatch(*request);
        finishDue();
    }

    void sendCrashingRequest()
    {
        if (m_sends >= 7 || m_now < m_nextSend || m_now < start + 5s)
            return;
        m_requests.push_back({.fingerprint = crashingRequest, .node = m_sends++});
        m_nextSend = m_now + m_resendDelay;
    }

    void exchangeUpdates()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            m_nodes[n].update(m_now);
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                if (to != n && m_options.shareUpdates)
                    sendUpdates(n, to);
            }
        }
        std::erase_if(m_messages, [&](const Message &message) {
            if (message.at > m_now)
                return false;
            m_nodes[message.to].applyUpdates(message.updates, m_now);
            return true;
        });
    }

    void sendUpdates(std::size_t from, std::size_t to)
    {
        Link &link = m_links[{from, to}];
        const std::uint64_t sequence = m_nodes[from].sequence();
        if (sequence == link.confirmed || m_now < link.repeatAt)
            return;
        // Three losses in a row and the last message take less than the longest gossip delay.
        if (link.losses < 3 && m_random() % 100 < m_options.lossPercent) {
            ++link.losses;
            link.repeatAt = m_now + 300ms;
            return;
        }
        const auto maxDelay = m_options.lossPercent > 0 ? 80000 : 980000;
        m_messages.push_back({.to = to,
                              .at = m_now + Duration(m_random() % maxDelay),
                              .updates = m_nodes[from].updatesSince(link.confirmed)});
        link = {.confirmed = sequence};
    }

    void dispatch(Request &request)
    {
        SuspectTable &table = m_nodes[request.node];
        if (table.isQuarantined(request.fingerprint)) {
            request.endsAt = m_now;
            request.engine = "refused";
            m_refused.insert(request.fingerprint);
            return;
        }
        std::string engine = table.announcedEngine(request.fingerprint);
        if (!engine.empty() && m_crashedEngines.contains(engine))
            table.withdraw(request.fingerprint, m_now);
        if (engine.empty() || m_crashedEngines.contains(engine))
            engine = m_engines[m_random() % m_engines.size()];
        if (m_crashedEngines.contains(engine)
            || !table.tryRunOn(request.fingerprint, engine, m_now))
            return;
        request.suspect = table.isSuspect(request.fingerprint);
        m_isEngineShared = m_isEngineShared
                || (request.suspect
                    && std::any_of(m_requests.begin(), m_requests.end(), [&](const Request &other) {
                           return other.suspect && other.engine == engine;
                       }));
        request.engine = engine;
        const auto maxExtraRuntime = request.fingerprint == crashingRequest ? 500000 : 3000000;
        request.endsAt = m_now + Duration(100000 + m_random() % maxExtraRuntime);
    }

    void finishDue()
    {
        std::vector<std::string> crashed;
        for (Request &request : m_requests) {
            if (request.engine.empty() || request.endsAt > m_now)
                continue;
            if (request.fingerprint == crashingRequest && request.engine != "refused")
                crashed.push_back(request.engine);
            else if (request.engine != "refused")
                m_nodes[request.node].recordCompletion(request.fingerprint, m_now);
        }
        std::erase_if(m_requests, [&](const Request &request) {
            return !request.engine.empty() && request.endsAt <= m_now
                    && (request.fingerprint != crashingRequest || request.engine == "refused");
        });
        for (const std::string &engine : crashed)
            crash(engine);
    }

    void crash(const std::string &engine)
    {
        if (!m_crashedEngines.insert(engine).second)
            return;
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            std::vector<Fingerprint> running;
            for (Request &request : m_requests) {
                if (request.node != n || request.engine != engine)
                    continue;
                running.push_back(request.fingerprint);
                request.engine.clear();
            }
            m_nodes[n].recordCrash(engine, "z" + std::to_string(m_random() % 4), running, m_now);
        }
    }

    std::string checkResult() const
    {
        if (m_isEngineShared)
            return "two suspects ran on one engine";
        // A caller that resends early may reach every node before the first update does.
        if (m_crashedEngines.size() > (m_options.resendsEarly ? m_nodes.size() + 1 : 2))
            return std::to_string(m_crashedEngines.size()) + " engines lost";
        if (m_crashedEngines.size() < 2 || !m_refused.contains(crashingRequest))
            return "the crashing request was not quarantined";
        if (m_refused.size() > 1)
            return "a harmless request was refused";
        const bool hasOpenRequest = std::any_of(m_requests.begin(), m_requests.end(),
                                                [](const Request &r) {
                                                    return r.fingerprint != crashingRequest;
                                                });
        return hasOpenRequest ? "a harmless request did not complete" : "";
    }

    std::mt19937_64 m_random;
    CrashRunOptions m_options;
    bool m_isEngineShared = false;
    Timestamp m_now = start;
    Timestamp m_nextSend = start;
    Duration m_resendDelay {0};
    std::size_t m_sends = 0;
    Fingerprint m_lastHarmlessRequest = crashingRequest;
    std::vector<SuspectTable> m_nodes;
    std::vector<std::string> m_engines;
    std::vector<Request> m_requests;
    std::map<std::pair<std::size_t, std::size_t>, Link> m_links; //!< By sender and receiver.
    std::vector<Message> m_messages;
    std::set<std::string> m_crashedEngines;
    std::set<Fingerprint> m_refused;
};

} // namespace

// Guards against a crashing request that, sent again through every node, crashes more than two
// engines or causes the refusal of other requests on these engines.
Test(suspectTable, crashingRequestIsBoundedInRandomRuns)
{
    const auto run = [](std::uint64_t seed) {
        return CrashRun(seed, {}).run(6000);
    };
    cr_expect_eq(runSeeds({31, 32, 33, 34, 35, 36, 37, 38}, run), 0);
}

// Guards against harmless requests that are refused because a caller sends its crashing request
// again before the nodes can know of the first crash.
Test(suspectTable, earlyResendsHarmNoOtherRequest)
{
    const auto run = [](std::uint64_t seed) {
        return CrashRun(seed, {.resendsEarly = true}).run(6000);
    };
    cr_expect_eq(runSeeds({61, 62, 63, 64}, run), 0);
}

// Guards against requests that wait for ever because a peer never received the end of another
// suspect's run.
Test(suspectTable, lostUpdatesAreRepeated)
{
    const auto run = [](std::uint64_t seed) {
        return CrashRun(seed, {.resendsEarly = true, .lossPercent = 30, .engines = 10}).run(6000);
    };
    cr_expect_eq(runSeeds({81, 82, 83, 84}, run), 0);
}

// Checks that the simulation can fail: it must exceed the bound if nodes do not share updates.
Test(suspectTable, unsharedTablesExceedTheBound)
{
    int broken = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        broken += CrashRun(seed, {.shareUpdates = false}).run(6000).empty() ? 0 : 1;
    cr_expect_gt(broken, 0);
}
