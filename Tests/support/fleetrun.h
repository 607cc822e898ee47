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
    Parameters of a run and the mechanisms that it uses. A run with one of them disabled shows which
    faults the mechanism prevents.
*/
struct FleetRunOptions
{
    std::uint64_t seed = 1;
    int steps = 20'000; //!< Number of steps of 100 ms of virtual time.
    bool pullFromPeers = true; //!< Nodes request newer documents from peers.
    bool restoreStore = true; //!< Nodes write their document to a store that has an older one.
    bool askNodes = true; //!< Operators query the nodes for their highest version.
};

/*!
    A seeded simulation of seven nodes with FleetDocumentTracker and two operators with
    FleetPublisher that use a fake store with faults. Invariants are checked after every step.
*/
class FleetRun
{
public:
    explicit FleetRun(const FleetRunOptions &options);

    /*!
        Runs all steps. Returns the first violation of an invariant with its step, or std::nullopt.
    */
    std::optional<std::string> run();

    /*!
        Returns counts of the simulated events for the test log.
    */
    std::string summary() const;

private:
    static constexpr std::size_t nodeCount = 7;

    struct Node
    {
        std::optional<sesame::FleetDocumentTracker> keeper;
        int group = 0; //!< Nodes can reach only peers of the same group.
        bool isStoreBlocked = false;
        bool isStoreReachable = false; //!< Whether the last read reached the store.
        bool hasServed = false;
        int nextRead = 0;
        int nextProbe = 0;
        std::vector<std::size_t> probeOrder;
        std::uint64_t previousVersion = 0; //!< Version before the current step.
        std::uint32_t previousCapacityLimit = 0;
        int isolatedSince = -1; //!< Step since which it reaches neither store nor peer, or -1.
        //! Step since which the node reaches a store with an older document, or -1.
        int storeOlderSince = -1;
    };

    //! A fleet document that an operator was told is accepted.
    struct AcceptedVersion
    {
        std::uint64_t version = 0;
        std::string text;
        std::string applyId;
        //! For each node the step since which it can obtain the document, or -1.
        std::array<int, nodeCount> reachableSince {};
        //! Step since which the store and every serving node have the document, or -1.
        int settledSince = -1;
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
    std::string m_storeValue; //!< Cached; decoding it in every check would be slow.
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
