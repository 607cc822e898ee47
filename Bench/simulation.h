#pragma once

#include "Core/sesamecore.h"
#include "workload.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_set>

namespace bench {

/*!
    The rules that can be switched off one at a time.
*/
struct Rules
{
    bool ranks = true; //!< False: all work has one rank in the queues and engines.
    bool floors = true;
    bool fairShares = true;
    bool earlyRefusal = true;
    bool headroom = true; //!< Slots that lower ranks leave free.
    bool accountHeadroom = true;
    bool spread = true; //!< Over engines of nearly equal score.
    bool prefixHints = true;
    bool zoneRule = true;
    bool priceAndRisk = true;
    bool sharedSuspects = true;
    bool retryBudget = true;
    bool refusalBackoff = true; //!< Of the capacity planner.
    bool roundRobin = false; //!< Baseline: engines in turn, one first-in first-out queue.
};

struct Conditions
{
    double load = 0.7; //!< Part of the nominal capacity of 20 engines.
    std::array<bool, sesame::rankCount> ranks {true, true, true};
    std::optional<Rank> floodRank {}; //!< From second 20 to 100.
    double floodFactor = 0.0; //!< Flood in parts of the nominal capacity.
    double largeFactor = 1.0; //!< Requests of the large accounts relative to their usual ones.
    bool zoneReclaimed = false; //!< One zone, at second 60.
    Duration notice {std::chrono::seconds(5)};
    Duration reportLag {std::chrono::milliseconds(100)};
    double eventsLost = 0.01;
    double startsRefused = 0.0;
    bool crashingRequest = false; //!< From second 10 on, sent through each node in turn.
    Duration crasherInterval {std::chrono::seconds(4)};
    double attemptsFailing = 0.0; //!< From second 20 to 100.
    double seconds = 120.0;
    std::uint64_t seed = 1;
};

struct RankResult
{
    std::size_t offered = 0;
    std::size_t completed = 0;
    std::size_t refused = 0;
    double tokens = 0.0;
    double floodTokens = 0.0; //!< Tokens completed from second 20 to 100.
    std::vector<double> firstTokenMs; //!< From acceptance, of completed requests.
    std::vector<double> gapMs; //!< Mean time between two tokens of a request.
    std::vector<double> smallFirstTokenMs; //!< Those of the small accounts.
};

struct Result
{
    std::array<RankResult, sesame::rankCount> ranks;
    std::array<double, sesame::rankCount> floodCost {}; //!< Engine seconds dispatched in the flood.
    double prefilled = 0.0;
    double repeated = 0.0; //!< Prefilled although an engine had computed the block before.
    double moveRecomputed = 0.0; //!< Prefilled again for requests that lost their engine.
    double reclaimPrefilled = 0.0; //!< All prefill in the 30 s from the reclaim on.
    std::size_t bothLost = 0; //!< Requests whose entry node and engine were in the lost zone.
    std::size_t enginesCrashed = 0;
    std::size_t innocentRefused = 0;
    std::size_t attempts = 0;
    std::size_t startsTried = 0;
    double recoverySeconds = 0.0; //!< From the reclaim to the planned number of engines.
};

/*!
    Runs the decision code of seven nodes against fake engines in virtual time.
*/
class Simulation
{
public:
    Simulation(const Deployment &deployment, const Rules &rules, const Conditions &conditions);
    Result run();

private:
    struct EngineState
    {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        Timestamp reportedAt {};
        double tokenMs = 25.0;
        std::uint32_t ownReported = 0;
        double pendingTokens = 0.0;
        Timestamp pendingAt {};
        std::uint32_t inFlight = 0;

        std::uint32_t pendingPrefill(Timestamp now) const;
    };
    struct Node
    {
        Node(std::size_t index, std::size_t zone, const sesame::AdmissionOptions &admission,
             const sesame::EngineRouterOptions &router);
        std::string name;
        std::size_t zone;
        sesame::AdmissionController admission;
        sesame::EngineRouter router;
        sesame::SuspectTable suspects;
        sesame::RetryBudget budget;
        std::vector<EngineState> engines;
        std::map<std::uint64_t, std::size_t> tickets;
        std::size_t turn = 0;
        std::vector<std::size_t> again; //!< Requests whose attempt ended, with their slot.
    };
    struct Load
    {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        double tokenMs = 25.0;
    };
    struct Report
    {
        Timestamp takenAt {};
        std::vector<Load> loads;
        std::vector<std::array<std::uint32_t, nodeCount>> inFlight; //!< By node, then.
        std::vector<std::vector<sesame::CacheEvent>> events;
    };

    //! Each stream and rank draws from its own generator, so that every policy and scenario
    //! sees the same usual arrivals.
    enum class Stream : std::size_t { Usual = 0, Flood = 3, Large = 6 };

    sesame::AdmissionOptions admissionOptions() const;
    sesame::EngineRouterOptions routerOptions() const;
    Rank queueRank(Rank rank) const { return m_rules.ranks ? rank : Rank::Standard; }
    void setUpEngines();
    void arrivals();
    void arrive(Rank rank, double perSecond, Stream stream);
    void submit(std::size_t index);
    void dispatch(Node &node);
    bool tryDispatch(Node &node, std::size_t index);
    std::vector<sesame::EngineView> viewsOf(Node &node, std::vector<std::size_t> &ids);
    std::optional<std::size_t> chooseEngine(Node &node, std::size_t index);
    void send(Node &node, std::size_t index, std::size_t engine);
    void stepEngines();
    void attemptEnded(std::size_t index);
    void crash(std::size_t engine);
    void complete(std::size_t index);
    void fail(std::size_t index);
    void takeReports();
    void deliver(const Report &report);
    void exchangeRumours();
    void reclaimZone();
    void loseEngine(std::size_t engine);
    void planCapacity();
    std::vector<sesame::CapacityOption> capacityOptions() const;
    void startEngine(const sesame::CapacityOption &option);
    void sendCrasher();
    bool isUsable(const FakeEngine &engine) const;
    double sinceStart() const;
    double prefilledTokens() const;
    Result collect();

    const Deployment &m_deployment;
    Rules m_rules;
    Conditions m_conditions;
    std::mt19937_64 m_random;
    std::array<std::mt19937_64, 9> m_arrivalRandom;
    Timestamp m_now {};
    Timestamp m_startedAt {};
    std::vector<Request> m_requests;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<Node> m_nodes;
    std::deque<std::pair<Timestamp, Report>> m_reports;
    std::vector<std::tuple<Timestamp, std::size_t, std::vector<sesame::SuspectUpdate>>> m_rumours;
    std::multimap<Timestamp, std::size_t> m_resubmits;
    std::unordered_set<std::uint64_t> m_everComputed;
    sesame::CapacityPlanner m_planner;
    std::size_t m_engineGoal = engineCount;
    std::size_t m_crasherSends = 0;
    Timestamp m_nextCrasher {};
    double m_prefilledAtReclaim = 0.0;
    Result m_result;
};

} // namespace bench
