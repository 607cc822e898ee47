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
    The rules of the decision code that can be disabled one at a time.
*/
struct Rules
{
    bool ranks = true; //!< If false, all work has one rank in queues and engines.
    bool floors = true;
    bool fairShares = true;
    bool earlyRefusal = true;
    bool rankHeadroom = true; //!< Lower ranks leave slots free.
    bool accountHeadroom = true;
    bool spreadOverEquals = true; //!< Requests are spread over engines of similar score.
    bool prefixHints = true;
    bool zoneRule = true;
    bool priceAndRisk = true;
    bool sharedSuspects = true;
    bool retryBudget = true;
    bool refusalBackoff = true; //!< Backoff of the capacity planner.
    bool roundRobin = false; //!< Baseline with round-robin engines and one FIFO queue.
};

struct Conditions
{
    double load = 0.7; //!< Fraction of the nominal capacity of 20 engines.
    std::array<bool, sesame::rankCount> ranks {true, true, true};
    std::optional<Rank> floodRank {}; //!< Rank of a flood from second 20 to 100.
    double floodFactor = 0.0; //!< Load of the flood relative to the nominal capacity.
    double largeAccountFactor
            = 1.0; //!< Requests of the large accounts relative to their usual ones.
    bool reclaimsZone = false; //!< One zone is reclaimed at second 60.
    Duration notice {std::chrono::seconds(5)};
    Duration reportLag {std::chrono::milliseconds(100)};
    double eventLossRate = 0.01;
    double startRefusalRate = 0.0;
    bool sendsCrashingRequest = false; //!< Sent to each node in turn from second 10.
    Duration crashingRequestInterval {std::chrono::seconds(4)};
    double attemptFailureRate = 0.0; //!< Rate of failures from second 20 to 100.
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
    std::vector<double> firstTokenMs; //!< Time from acceptance, of completed requests.
    std::vector<double> gapMs; //!< Mean time between two tokens of a request.
    std::vector<double> smallFirstTokenMs; //!< First token times of the small accounts.
};

struct Result
{
    std::array<RankResult, sesame::rankCount> ranks;
    std::array<double, sesame::rankCount>
            floodEngineSeconds {}; //!< Engine seconds dispatched in the flood.
    double prefilledTokens = 0.0;
    double repeatedTokens = 0.0; //!< Prefilled although an engine had done so before.
    double recomputedTokens = 0.0; //!< Prefilled again for requests that lost their engine.
    double prefilledAfterReclaim = 0.0; //!< All prefill in the 30 s after the reclaim.
    std::size_t nodeAndEngineLost
            = 0; //!< Requests whose entry node and engine were in the lost zone.
    std::size_t enginesCrashed = 0;
    std::size_t innocentRefused = 0;
    std::size_t attempts = 0;
    std::size_t startsAttempted = 0;
    double recoverySeconds = 0.0; //!< Time until the planned number of engines is ready.
};

/*!
    Runs the decision code of seven nodes with simulated engines in virtual time.
*/
class Simulation
{
public:
    Simulation(const Deployment &deployment, const Rules &rules, const Conditions &conditions);
    Result run();

private:
    struct EngineRecord
    {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        Timestamp reportedAt {};
        double tokenMs = 25.0;
        std::uint32_t ownAtReport = 0;
        double pendingTokens = 0.0;
        Timestamp pendingAt {};
        std::uint32_t inFlight = 0;

        std::uint32_t pendingPrefillTokens(Timestamp now) const;
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
        std::uint64_t sentSuspectSequence = 0; //!< Changes up to this one were sent to the peers.
        sesame::RetryBudget budget;
        std::vector<EngineRecord> engines;
        std::map<std::uint64_t, std::size_t> tickets;
        std::size_t nextEngine = 0;
        std::vector<std::size_t> retries; //!< Requests that hold a slot and need a new attempt.
    };
    struct LoadSample
    {
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        double tokenMs = 25.0;
    };
    struct LoadReport
    {
        Timestamp takenAt {};
        std::vector<LoadSample> loads;
        std::vector<std::array<std::uint32_t, nodeCount>> inFlight; //!< By engine, then by node.
        std::vector<std::vector<sesame::CacheEvent>> events;
    };

    //! Each source and rank has its own random number generator, so that the usual arrivals are the
    //! same for every policy and scenario.
    enum class ArrivalSource : std::size_t { Usual = 0, Flood = 3, Large = 6 };

    sesame::AdmissionOptions admissionOptions() const;
    sesame::EngineRouterOptions routerOptions() const;
    Rank queueRank(Rank rank) const { return m_rules.ranks ? rank : Rank::Standard; }
    void setUpEngines();
    void generateArrivals();
    void addArrivals(Rank rank, double perSecond, ArrivalSource source);
    void submitRequest(std::size_t index);
    void dispatchRequests(Node &node);
    bool tryDispatch(Node &node, std::size_t index);
    std::vector<sesame::EngineView> makeEngineViews(Node &node, std::vector<std::size_t> &ids);
    std::optional<std::size_t> chooseEngine(Node &node, std::size_t index);
    void sendToEngine(Node &node, std::size_t index, std::size_t engine);
    void stepEngines();
    void handleFailedAttempt(std::size_t index);
    void handleCrash(std::size_t engine);
    void completeRequest(std::size_t index);
    void failRequest(std::size_t index);
    void collectReports();
    void deliverReport(const LoadReport &report);
    void exchangeSuspectUpdates();
    void reclaimZone();
    void removeEngine(std::size_t engine);
    void planCapacity();
    std::vector<sesame::CapacityOption> capacityOptions() const;
    void startEngine(const sesame::CapacityOption &option);
    void sendCrashingRequest();
    bool isUsable(const FakeEngine &engine) const;
    double elapsedSeconds() const;
    double prefilledTokens() const;
    Result collectResult();

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
    std::deque<std::pair<Timestamp, LoadReport>> m_reports;
    std::vector<std::tuple<Timestamp, std::size_t, std::vector<sesame::SuspectUpdate>>>
            m_suspectUpdates;
    std::multimap<Timestamp, std::size_t> m_resubmits;
    std::unordered_set<std::uint64_t> m_computedBlocks;
    sesame::CapacityPlanner m_planner;
    std::size_t m_targetEngineCount = engineCount;
    std::size_t m_crashingRequestsSent = 0;
    Timestamp m_nextCrashingRequestAt {};
    double m_prefilledAtReclaim = 0.0;
    Result m_result;
};

} // namespace bench
