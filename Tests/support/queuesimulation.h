#pragma once

#include "Core/Waiting/requestqueue.h"

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sesame::test {

using namespace std::chrono_literals;

/*!
    Requests of one rank, which are its kind.
*/
struct SimulatedKind
{
    double perSecond = 0.0;
    Duration aim {0};
    Duration deadline {8s};
};

/*!
    Deployment, demand and disturbance of a run. Times are from the start of the run.
*/
struct QueueSimulationOptions
{
    bool waits = true; //!< False: requests without a place are refused with a random time.
    RequestQueueOptions queue {};
    int nodes = 20;
    int slots = 400; //!< Requests that all engines process at the full speed.
    Duration work = 500ms; //!< Time of a request at an engine that has a slot for it.
    Duration reportAge = 200ms; //!< Interval of the reports between nodes.
    std::vector<SimulatedKind> kinds {{.perSecond = 200, .aim = 1500ms},
                                      {.perSecond = 200, .aim = 2s},
                                      {.perSecond = 200, .aim = 2500ms}};
    int accounts = 16;
    Duration time = 10s;
    Duration disturbedFrom = 2s; //!< The disturbance lasts from this time to disturbedUntil.
    Duration disturbedUntil = 8s;
    double firstAccountFactor = 1.0; //!< Factor of the demand of account 0.
    std::vector<double> kindFactors {1.0, 1.0, 1.0}; //!< Factors of the demand by kind.
    double slotsFactor = 1.0; //!< Factor of the slots.
    double repeatingShare = 0.0; //!< Share of the callers that repeat three times at once.
    int returningAtStart = 0; //!< Callers that come at the start, when the nodes know nothing.
};

struct SimulatedShare
{
    int asked = 0;
    int inAim = 0;
    int served = 0;
    double inAimShare() const { return asked == 0 ? 1.0 : static_cast<double>(inAim) / asked; }
};

struct QueueSimulationResult
{
    std::map<int, SimulatedShare> byRank;
    std::map<int, SimulatedShare> byAccount;
    SimulatedShare repeating; //!< Callers that repeat at once, while the disturbance lasts.
    SimulatedShare patient; //!< The others in that time.
    SimulatedShare all;
    std::map<std::int64_t, int> attempts; //!< By tenth of a second.
    int heldAndRefused = 0; //!< Refusals later than an eighth of the aim.
    int mostRunning = 0; //!< Most requests at the engines at a time.
};

/*!
    Runs callers, nodes with queues and engines in virtual time. A node knows the requests of the
    other nodes from reports that are up to the report age old.
*/
class QueueSimulation
{
public:
    explicit QueueSimulation(const QueueSimulationOptions &options)
        : m_options(options), m_nodes(static_cast<std::size_t>(options.nodes))
    {
        for (Node &node : m_nodes)
            node.queue = RequestQueue(options.queue);
    }

    QueueSimulationResult run()
    {
        for (int i = 0; i < m_options.returningAtStart; ++i)
            arrive(static_cast<int>(m_random() % m_options.kinds.size()));
        for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind)
            scheduleArrival(static_cast<int>(kind));
        report();
        for (std::size_t node = 0; node < m_nodes.size(); ++node)
            at(m_now + 100ms * draw(), [this, node] {
                tick(node);
            });
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            m_now = event->first;
            const std::function<void()> step = std::move(event->second);
            m_events.erase(event);
            step();
        }
        return m_result;
    }

private:
    struct Caller
    {
        int kind = 0;
        int account = 0;
        int triesLeft = 1;
        bool isRepeating = false;
        bool isCounted = false; //!< Arrived while the disturbance lasts.
        std::size_t node = 0;
        Timestamp firstArrival {};
        Timestamp arrival {};
    };
    struct Node
    {
        RequestQueue queue;
        int own = 0;
        int peers = 0; //!< Requests of the other nodes, as reported.
    };

    template <typename Time>
    void at(Time time, std::function<void()> step)
    {
        m_events.emplace(std::chrono::time_point_cast<Duration>(time), std::move(step));
    }
    double draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    bool isDisturbed() const
    {
        const Duration elapsed = m_now - m_start;
        return elapsed >= m_options.disturbedFrom && elapsed < m_options.disturbedUntil;
    }
    bool isOver() const { return m_now - m_start >= m_options.time; }
    int slots() const
    {
        return static_cast<int>(m_options.slots * (isDisturbed() ? m_options.slotsFactor : 1.0));
    }
    int places() const { return slots() * 3 / 2; }

    void scheduleArrival(int kind)
    {
        const auto index = static_cast<std::size_t>(kind);
        double rate = m_options.kinds[index].perSecond;
        if (isDisturbed())
            rate *= m_options.kindFactors[index]
                    * (1.0 + (m_options.firstAccountFactor - 1.0) / m_options.accounts);
        at(m_now + std::chrono::duration<double>(-std::log(1.0 - draw()) / rate), [this, kind] {
            if (isOver())
                return;
            arrive(kind);
            scheduleArrival(kind);
        });
    }

    void arrive(int kind)
    {
        const std::uint64_t id = ++m_lastId;
        Caller &caller = m_callers[id];
        caller = {.kind = kind, .firstArrival = m_now};
        const double weight = isDisturbed() ? m_options.firstAccountFactor : 1.0;
        const double drawn = draw() * (m_options.accounts - 1 + weight);
        caller.account = drawn < weight ? 0 : 1 + static_cast<int>(drawn - weight);
        caller.isRepeating = isDisturbed() && draw() < m_options.repeatingShare;
        caller.isCounted = isDisturbed();
        caller.triesLeft = caller.isRepeating ? 3 : 1;
        caller.node = m_random() % m_nodes.size();
        attempt(id);
    }

    void attempt(std::uint64_t id)
    {
        ++m_result.attempts[(m_now - m_start) / 100ms];
        Caller &caller = m_callers[id];
        caller.arrival = m_now;
        Node &node = m_nodes[caller.node];
        if ((!m_options.waits || node.queue.isEmpty()) && startIfRoom(id)) {
            node.queue.recordDirect(caller.kind, std::to_string(caller.account), 1.0, m_now);
            return;
        }
        if (!m_options.waits) {
            refuse(id, 100ms + std::chrono::duration_cast<Duration>(300ms * draw()));
            return;
        }
        updateView(node);
        const SimulatedKind &kind = m_options.kinds[static_cast<std::size_t>(caller.kind)];
        const Timestamp deadline = caller.firstArrival + kind.deadline;
        // A node knows only the current attempt, not the first one.
        const WaitDecision decision = node.queue.offer(
                {.id = id,
                 .rank = caller.kind,
                 .account = std::to_string(caller.account),
                 .callerKey = id,
                 .timeToFirstEvent = m_options.work * 3 / 2,
                 .aimEnd = m_now + kind.aim,
                 .lastUse = deadline,
                 .shortWait = kind.aim / 8,
                 .latestReturn = m_now + (deadline - m_now) / 3},
                draw(), m_now);
        if (!decision.waits())
            refuse(id, decision.retryAfter);
    }

    bool startIfRoom(std::uint64_t id)
    {
        Caller &caller = m_callers[id];
        Node &node = m_nodes[caller.node];
        if (node.own + node.peers >= places())
            return false;
        ++node.own;
        ++m_running;
        m_result.mostRunning = std::max(m_result.mostRunning, m_running);
        const double crowding = std::max(1.0, static_cast<double>(m_running) / slots());
        const Duration time = std::chrono::duration_cast<Duration>(m_options.work * crowding);
        at(m_now + time, [this, id, time] {
            finish(id, time);
        });
        return true;
    }

    void finish(std::uint64_t id, Duration time)
    {
        Node &node = m_nodes[m_callers[id].node];
        --node.own;
        --m_running;
        node.queue.drain().recordOccupied(time);
        record(id, true);
        dispatch(node, 1);
    }

    void dispatch(Node &node, std::size_t places)
    {
        for (; places > 0; --places) {
            const auto id = node.queue.next(m_now);
            if (!id)
                return;
            if (!startIfRoom(*id)) {
                node.queue.restore(m_now);
                return;
            }
        }
    }

    void refuse(std::uint64_t id, Duration retryAfter)
    {
        Caller &caller = m_callers[id];
        const SimulatedKind &kind = m_options.kinds[static_cast<std::size_t>(caller.kind)];
        m_result.heldAndRefused += m_now - caller.arrival > kind.aim / 8 ? 1 : 0;
        if (caller.triesLeft-- == 0) {
            record(id, false);
            return;
        }
        const Duration left = caller.firstArrival + kind.deadline - m_now;
        at(m_now + (caller.isRepeating ? Duration(1ms) : std::min(retryAfter, left / 3)),
           [this, id] {
               attempt(id);
           });
    }

    void record(std::uint64_t id, bool isServed)
    {
        const Caller caller = m_callers[id];
        m_callers.erase(id);
        const SimulatedKind &kind = m_options.kinds[static_cast<std::size_t>(caller.kind)];
        const Duration time = m_now - caller.firstArrival;
        const auto count = [&](SimulatedShare &share) {
            ++share.asked;
            share.inAim += isServed && time <= kind.aim ? 1 : 0;
            share.served += isServed && time <= kind.deadline ? 1 : 0;
        };
        count(m_result.all);
        if (!caller.isCounted)
            return;
        count(m_result.byRank[caller.kind]);
        count(m_result.byAccount[caller.account]);
        count(caller.isRepeating ? m_result.repeating : m_result.patient);
    }

    void updateView(Node &node)
    {
        node.queue.drain().setView({.ownRequests = node.own,
                                    .requests = node.own + node.peers,
                                    .places = places(),
                                    .freePlaces = std::max(0, places() - node.own - node.peers),
                                    .nodes = m_options.nodes});
    }

    void tick(std::size_t index)
    {
        Node &node = m_nodes[index];
        updateView(node);
        dispatch(node, node.queue.takeFreePlaces(draw(), 100ms));
        if (!node.queue.isEmpty()) {
            updateView(node);
            for (const ExpiredRequest &expired : node.queue.expire(m_now))
                refuse(expired.id, expired.retryAfter);
        }
        if (!isOver() || !m_callers.empty())
            at(m_now + 100ms, [this, index] {
                tick(index);
            });
    }

    void report()
    {
        for (Node &node : m_nodes)
            node.peers = m_running - node.own;
        if (!isOver() || !m_callers.empty())
            at(m_now + m_options.reportAge, [this] {
                report();
            });
    }

    QueueSimulationOptions m_options;
    std::vector<Node> m_nodes;
    std::multimap<Timestamp, std::function<void()>> m_events;
    std::map<std::uint64_t, Caller> m_callers;
    std::uint64_t m_lastId = 0;
    Timestamp m_start {1h};
    Timestamp m_now = m_start;
    int m_running = 0;
    std::mt19937 m_random {7};
    QueueSimulationResult m_result;
};

} // namespace sesame::test
