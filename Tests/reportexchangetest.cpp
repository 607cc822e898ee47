#include "support/exchangesimulation.h"
#include "support/printfigure.h"
#include "support/seededrun.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdlib>

using namespace sesame;
using namespace sesame::test;
using namespace std::chrono_literals;

namespace {

constexpr double window = 8.0; //!< Seconds over which a quota is checked.
constexpr double overrun = 0.1; //!< Share by which it may be exceeded.
//! Units by which it may be exceeded besides, per unit of the rate.
constexpr double slackSeconds = 0.1;
//! Time within which a change of the store must be known to all nodes without faults.
constexpr Duration knowledgeBound = 3s;
//! Time by which knowledge may be older than its stated age: the transit of one message.
constexpr Duration ageErrorBound = 100ms;

double quotaBound(const ExchangeSimulation::Options &options)
{
    return (options.rate * window + options.burst) * (1.0 + overrun) + slackSeconds * options.rate;
}

/*!
    Makes the simulation kill, suspend and cut off nodes, alone, by zones and all together.
*/
class FaultScript
{
public:
    explicit FaultScript(ExchangeSimulation &simulation) : m_simulation(simulation) { }

    void run(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            m_simulation.changeStore();
            applyRandomFault();
            m_simulation.run(700ms);
            m_simulation.changeStore();
            m_simulation.run(2800ms);
            m_simulation.changeStore();
            heal();
            m_simulation.run(1s + 500ms * static_cast<int>(m_simulation.choose(8)));
        }
        m_simulation.changeStore();
        m_simulation.run(4s);
    }

private:
    using Node = ExchangeSimulation::Node;

    std::vector<Node *> followers() const
    {
        std::vector<Node *> found;
        for (const std::string &name :
             m_simulation.nodes.front()->peers->storeFollowers(m_simulation.now))
            found.push_back(m_simulation.find(name));
        return found;
    }

    std::vector<Node *> someNodes(double share) const
    {
        std::vector<Node *> found;
        for (const auto &node : m_simulation.nodes) {
            if (m_simulation.choose(100) < static_cast<std::size_t>(share * 100.0))
                found.push_back(node.get());
        }
        return found;
    }

    std::vector<Node *> victims() const
    {
        const Node &any = *m_simulation.nodes[m_simulation.choose(m_simulation.nodes.size())];
        switch (m_simulation.choose(5)) {
        case 0:
            return followers();
        case 1: {
            std::vector<Node *> aggregators;
            for (const std::string &name : any.peers->aggregators(any.zone, m_simulation.now))
                aggregators.push_back(m_simulation.find(name));
            return aggregators;
        }
        case 2:
            return m_simulation.nodesOf(any.zone);
        case 3:
            return someNodes(0.33);
        default:
            return someNodes(1.0);
        }
    }

    void applyRandomFault()
    {
        const std::vector<Node *> nodes = victims();
        const std::size_t kind = m_simulation.choose(4);
        for (Node *node : nodes) {
            m_touched.push_back(node);
            if (kind == 0)
                m_simulation.kill(*node);
            else if (kind == 1)
                m_simulation.setPaused(*node, true);
            else if (kind == 2)
                m_simulation.setPartition(*node, 1);
            else
                m_simulation.setReachesStore(*node, false);
        }
    }

    void heal()
    {
        for (Node *node : m_touched) {
            if (!node->isRunning)
                m_simulation.restart(*node);
            if (node->isPaused)
                m_simulation.setPaused(*node, false);
            if (node->partition != 0)
                m_simulation.setPartition(*node, 0);
            if (!node->reachesStore)
                m_simulation.setReachesStore(*node, true);
        }
        m_touched.clear();
    }

    ExchangeSimulation &m_simulation;
    std::vector<Node *> m_touched;
};

std::string checkFigures(const ExchangeSimulation &simulation,
                         const ExchangeSimulation::Options &options)
{
    const auto millis = [](Duration time) {
        return static_cast<long>(
                std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    };
    printFigure("seed %lu, %zu nodes: worst delay %ld ms, age error %ld ms, window %.0f of %.0f",
                static_cast<unsigned long>(options.seed), simulation.nodes.size(),
                millis(simulation.worstDelay), millis(simulation.worstAgeError),
                simulation.largestWindow, quotaBound(options));
    std::string failure;
    if (simulation.worstDelay > knowledgeBound)
        failure += " a change was known late";
    if (simulation.worstAgeError > ageErrorBound)
        failure += " knowledge was older than its age";
    if (simulation.largestWindow > quotaBound(options))
        failure += " the quota was exceeded";
    return failure;
}

std::string runFaults(ExchangeSimulation::Options options, int rounds)
{
    ExchangeSimulation simulation(options);
    simulation.run(5s);
    FaultScript(simulation).run(rounds);
    return checkFigures(simulation, options);
}

} // namespace

// Guards against a quota that is exceeded, a change that nodes learn late, and knowledge that is
// taken for newer than it is, while nodes fail in all ways at the size of a small deployment.
Test(reportexchange, smallDeploymentKeepsItsBounds)
{
    cr_assert_eq(runSeeds({1, 2, 3, 4, 5, 6, 7, 8},
                          [](std::uint64_t seed) {
                              return runFaults({.seed = seed, .loss = 0.02}, 12);
                          }),
                 0);
}

// The same for a deployment of more than a hundred nodes.
Test(reportexchange, largeDeploymentKeepsItsBounds, .timeout = 250)
{
    cr_assert_eq(runSeeds({1, 2, 3},
                          [](std::uint64_t seed) {
                              return runFaults(
                                      {.zones = 6, .nodesPerZone = 20, .seed = seed, .loss = 0.02},
                                      5);
                          }),
                 0);
}

// Guards against a cost of each node that grows with the number of nodes.
Test(reportexchange, costPerNodeDoesNotGrow, .timeout = 250)
{
    std::array<double, 2> datagrams {};
    std::array<double, 2> reads {};
    const std::array<int, 2> sizes {10, 33};
    constexpr int seconds = 10;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        ExchangeSimulation simulation({.zones = 6, .nodesPerZone = sizes[i]});
        simulation.run(8s);
        const std::int64_t datagramsBefore = simulation.datagrams;
        const std::int64_t readsBefore = simulation.storeReads;
        simulation.run(std::chrono::seconds(seconds));
        const double nodeSeconds = 6.0 * sizes[i] * seconds;
        datagrams[i] = static_cast<double>(simulation.datagrams - datagramsBefore) / nodeSeconds;
        reads[i] = static_cast<double>(simulation.storeReads - readsBefore) / seconds;
        printFigure("%d nodes: %.1f datagrams per node and second, %.1f store reads per second",
                    6 * sizes[i], datagrams[i], reads[i]);
    }
    cr_expect_leq(datagrams[1], datagrams[0] * 1.05);
    cr_expect_leq(reads[1], reads[0] * 1.05);
}

// Guards against an account within its quota that is refused because its requests come to one node,
// or to all of them.
Test(reportexchange, accountWithinItsQuotaIsServed)
{
    ExchangeSimulation::Options options {.zones = 6, .nodesPerZone = 20};
    options.requestsPerSecond = 0.9 * options.rate;
    ExchangeSimulation simulation(options);
    simulation.run(5s);
    const std::int64_t before = simulation.granted;
    simulation.run(10s);
    const double share = static_cast<double>(simulation.granted - before)
            / (options.requestsPerSecond * 10.0);
    printFigure("share of an account's requests within its quota that were granted: %.3f", share);
    cr_expect_geq(share, 0.99);
}
