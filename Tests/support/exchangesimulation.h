#pragma once

#include "Core/followpolicy.h"
#include "Core/objectreplica.h"
#include "Core/quotabucket.h"
#include "Core/reportexchange.h"
#include "Core/suspensionguard.h"
#include "Core/transitmeter.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sesame::test {

/*!
    Nodes that exchange reports in virtual time, with a store that some of them can reach. The nodes
    run the decision code of the program; network, store and clocks are simulated.
*/
class ExchangeSimulation
{
public:
    struct Options
    {
        int zones = 4;
        int nodesPerZone = 2;
        std::uint64_t seed = 1;
        double loss = 0.0; //!< Share of datagrams that are lost.
        double duplicates = 0.02; //!< Share of datagrams that arrive twice.
        double requestsPerSecond = 4200.0; //!< Requests of the account at all nodes.
        double rate = 1000.0; //!< Quota of the account, in requests per second.
        double burst = 1000.0;
    };

    struct Node
    {
        std::string name;
        std::string zone;
        bool isRunning = true;
        bool isPaused = false;
        bool reachesStore = true;
        int partition = 0; //!< Only nodes of the same partition reach each other.
        std::int64_t incarnation = 0;
        Timestamp disturbedAt {}; //!< Last time at which a fault affected the node itself.
        Timestamp nextReport {};
        Timestamp nextStoreRead {};
        Timestamp lastHeardAt {};
        Timestamp startedAt {};
        bool isFollowing = false;
        bool isFetching = false;
        std::optional<Timestamp> peerKnownAt;
        std::unique_ptr<PeerDirectory> peers;
        std::unique_ptr<DeploymentTally> tally;
        std::unique_ptr<ReportExchange> exchange;
        std::unique_ptr<FollowPolicy> followPolicy;
        std::unique_ptr<SuspensionGuard> guard;
        TransitMeter transitMeter;
        Timestamp nextNodeList {};
        ObjectReplica replica;
        QuotaBucket bucket;
        std::map<std::string, EngineLoad> load;
    };

    explicit ExchangeSimulation(const Options &options);

    /*!
        Runs for \a time.
    */
    void run(Duration time);

    void kill(Node &node);
    void restart(Node &node);
    void setPaused(Node &node, bool paused);
    void setReachesStore(Node &node, bool reaches);
    void setPartition(Node &node, int partition);

    /*!
        Changes an object of the store and remembers the time.
    */
    void changeStore();

    std::vector<Node *> nodesOf(const std::string &zone);
    Node *find(const std::string &name);
    std::size_t choose(std::size_t n);

    Timestamp now {std::chrono::hours(1)};
    std::vector<std::unique_ptr<Node>> nodes;

    // Figures over the whole run.
    std::int64_t datagrams = 0;
    std::int64_t storeReads = 0;
    double largestWindow = 0.0; //!< Most requests granted in any 8 s.
    std::int64_t granted = 0;
    Duration worstDelay {}; //!< Longest time until a change was known at a node without faults.
    Duration worstAgeError {}; //!< By how much a node has taken its knowledge for too young.

private:
    struct Delivery
    {
        Timestamp at;
        std::string receiver;
        std::string sender;
        std::shared_ptr<const wire::Datagram> datagram;
    };

    void step();
    void startNode(Node &node);
    void listNodes(Node &node);
    void sendReports(Node &node);
    void deliver();
    void handle(Node &node, const wire::Datagram &datagram);
    void followStore(Node &node);
    void fetch(Node &node, const std::string &source);
    void grantRequests();
    void checkKnowledge();
    bool reaches(const Node &from, const Node &to) const;
    double uniform();

    Options m_options;
    std::minstd_rand m_random;
    std::deque<Delivery> m_network;
    std::vector<std::pair<Timestamp, std::function<void()>>> m_fetches;
    std::int64_t m_revision = 1;
    std::vector<ReplicaObject> m_objects;
    std::vector<std::pair<std::int64_t, Timestamp>> m_changes; //!< Revision and time.
    std::deque<std::pair<Timestamp, double>> m_grants;
    double m_windowGrants = 0.0;
};

} // namespace sesame::test
