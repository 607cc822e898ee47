#pragma once

#include "Core/sesamecore.h"
#include "support/fakefleetstore.h"

#include <array>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/*!
    Which mechanisms a run uses. A run without one of them shows what the mechanism prevents.
*/
struct FleetRunOptions
{
    std::uint64_t seed = 1;
    int steps = 20'000; //!< Of 100 ms of virtual time.
    bool pullFromPeers = true;
    bool restoreStore = true; //!< Nodes write their document back to a store with an older one.
    bool askNodes = true; //!< Operators ask the nodes for their version.
};

/*!
    A seeded run of seven FleetKeepers and two operators with FleetPublisher against a fake store
    with faults. Invariants are checked after every step.
*/
class FleetRun
{
public:
    explicit FleetRun(const FleetRunOptions &options);

    /*!
        Returns the first violation, with step and virtual time, or std::nullopt.
    */
    std::optional<std::string> run();

    /*!
        Returns what happened, for the log of the test.
    */
    std::string summary() const;

private:
    static constexpr std::size_t nodeCount = 7;

    struct Node
    {
        std::optional<sesame::FleetKeeper> keeper;
        int group = 0; //!< Nodes reach peers of the same group.
        bool isStoreBlocked = false;
        bool isStoreReachable = false; //!< Whether its last read succeeded.
        bool hasServed = false;
        int nextRead = 0;
        int nextProbe = 0;
        std::vector<std::size_t> probeOrder;
        std::uint64_t previousVersion = 0; //!< Before the step.
        std::uint32_t previousCapacityLimit = 0;
        int isolatedSince = -1;
        int storeOlderSince = -1; //!< Since when the node reaches a store with an older document.
    };

    struct AcceptedVersion
    {
        std::uint64_t version = 0;
        std::string text;
        std::string applyId;
        std::array<int, nodeCount> reachableSince {}; //!< -1: the node cannot learn of it.
        int settledSince = -1; //!< Since when the store and every serving node have it.
    };

    bool chance(double probability);
    std::size_t pick(std::size_t count);
    sesame::Timestamp now() const;
    void recordViolation(const std::string &text);

    void advance();
    void injectFaults();
    void injectStoreFault();
    void injectNodeFault(Node &node);
    bool canRemove(const Node &node);
    bool isInMainGroup(const Node &node) const { return node.keeper && node.group == 0; }
    std::uint64_t highestVersion(bool mainGroupOnly) const;
    std::uint64_t storeVersion();

    void startNode(std::size_t index);
    void runNode(std::size_t index);
    void readStore(Node &node);
    bool exchangeVersions(std::size_t from, std::size_t to);
    void pullDocument(Node &node);
    void offerDocument(Node &node, const std::string &stored, sesame::FleetSource source);

    void runOperator();
    void applyFile(bool allowRace);
    sesame::ApplyRequest makeRequest(bool &mustFail);
    void checkApplyResult(const sesame::ApplyRequest &request, const sesame::ApplyResult &result,
                          bool mustFail);

    void checkInvariants();
    void checkNode(std::size_t index);
    void checkMonotonicVersion(Node &node, const std::string &name);
    void checkStoreRestored(Node &node, const std::string &name);
    void checkServing(std::size_t index, const std::string &name);
    void updateSettled(AcceptedVersion &acceptance);
    void checkPropagation(AcceptedVersion &acceptance);
    void checkLineage(const sesame::FleetDocument &document);

    FleetRunOptions m_options;
    std::mt19937_64 m_random;
    FakeFleetStore m_store;
    std::string m_storeValue; //!< Decoded last; decoding it in every check would be slow.
    std::uint64_t m_storeVersion = 0;
    std::array<Node, nodeCount> m_nodes;
    std::vector<AcceptedVersion> m_accepted;
    std::set<std::string> m_rejectedIds;
    std::uint32_t m_acceptedLimit = 0;
    int m_step = 0;
    int m_nextId = 0;
    int m_storeUpAt = 0;
    int m_openApplies = 0;
    int m_restores = 0;
    int m_restarts = 0;
    int m_conflicts = 0;
    int m_refusals = 0;
    int m_unknown = 0;
    int m_alarms = 0;
    std::optional<std::string> m_violation;
};
