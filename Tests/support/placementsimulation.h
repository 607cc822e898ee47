#pragma once

#include "Core/Placement/enginechooser.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/*!
    Replays requests of many nodes against engines that read prompts one after the other. Every
    node chooses with its own state and with the sums of all nodes' reports.
*/
class PlacementSimulation
{
public:
    enum class Policy { Chooser, LeastLoaded, TwoChoices, RoundRobin };

    struct Load
    {
        int nodes = 80;
        int engines = 60;
        int zones = 4;
        int prefixes = 400;
        double requestsPerSecond = 400.0;
        double hotShare = 0.0; //!< Share of the requests that have the same prefix.
        double firstZoneShare = 0.25; //!< Share of the requests that arrive in the first zone.
        double sharedTokens = 4000.0;
        double ownTokens = 2500.0;
        double tokensPerMs = 55.0;
        double streamMs = 200.0; //!< Time from the first event to the last one.
        std::chrono::milliseconds reportAge {200};
        bool averagesReports = true; //!< Whether nodes average the unread tokens of reports.
        unsigned seed = 7;
        std::chrono::milliseconds time {9000};
        //! Returns the speed of an engine at a time in milliseconds; 0 if it has left.
        std::function<double(int engine, double ms)> speed = [](int, double) {
            return 1.0;
        };
    };
    struct Result
    {
        double meanMs = 0.0; //!< Mean time to the first event after the first third of the time.
        double lateShare = 0.0; //!< Share of these requests that needed more than 500 ms.
    };

    PlacementSimulation(const Load &load, Policy policy, bool hasModel,
                        const sesame::EngineChooserOptions &options = {});
    Result run();

private:
    struct Node
    {
        std::vector<sesame::EngineState> engines;
        std::vector<sesame::EngineState *> candidates;
        sesame::EngineCostModel model;
        std::size_t next = 0; //!< For round robin.
    };
    struct Engine
    {
        double freeAt = 0.0;
        std::map<std::uint64_t, double> cache; //!< Time of the last use by prefix.
    };

    void arrive(double ms);
    std::size_t choose(Node &node, const sesame::RequestSize &work, sesame::EngineChoice &choice,
                       double ms);
    void exchangeReports(double ms);
    static sesame::Timestamp at(double ms);

    Load m_load;
    Policy m_policy;
    bool m_hasModel;
    sesame::EngineChooser m_chooser;
    std::vector<Node> m_nodes;
    std::vector<Engine> m_engines;
    std::vector<std::vector<sesame::EngineLoad>> m_reported; //!< By node and engine.
    std::multimap<double, std::function<void(double)>> m_events;
    std::minstd_rand m_random;
    int m_counted = 0;
    int m_late = 0;
    double m_totalMs = 0.0;
};
