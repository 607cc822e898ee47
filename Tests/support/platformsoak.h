#pragma once

#include "support/platformdeployment.h"
#include "support/rawengine.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sesame::test {

/*!
    Kinds of disruptions of a soak.
*/
struct PlatformSoakOptions
{
    std::uint64_t seed = 0;
    std::uint16_t firstPort = 0;
    std::chrono::seconds duration {15};
    int nodes = 3;
    //! SIGTERM with a restart, SIGHUP at any moment, and new versions of the configuration.
    bool hasPlannedWork = true;
    //! Engines that refuse, break off, stay silent or send bytes that are no answer, and a store
    //! that is unavailable or comes back from an older copy.
    bool hasBackendTrouble = false;
    bool hasKills = false; //!< SIGKILL with a restart, and processes that are suspended for a time.
};

/*!
    Runs the real programs as separate processes while clients keep their connections in use,
    injects disruptions that the seed determines, and checks what clients and engines see.
*/
class PlatformSoak
{
public:
    explicit PlatformSoak(const PlatformSoakOptions &options);

    /*!
        Runs for the duration of the options. Returns a description of the first violation, or an
        empty text.
    */
    std::string run();

    int answeredCount() const { return m_answeredCount; }

private:
    struct Client
    {
        std::shared_ptr<ClientConnection> connection;
        int node = 0;
        bool isBusy = false;
        int answersOnConnection = 0;
    };
    struct Exchange
    {
        std::string id;
        std::string target;
        int node = 0;
        std::chrono::steady_clock::time_point sentAt;
        unsigned status = 0;
        std::string body;
        bool isOnKeptConnection = false;
    };
    //! What the soak has done to a node's process.
    struct NodeState
    {
        bool isStopping = false; //!< It got SIGTERM.
        bool isKilled = false; //!< It got SIGKILL.
        bool isSuspended = false;
        bool isRunning = true;
        bool mustReloadAtStart = false; //!< It gets SIGHUP as soon as its program runs.
        std::chrono::steady_clock::time_point changeTime; //!< Next restart or end of suspension.
        std::chrono::steady_clock::time_point startTime;
        std::chrono::steady_clock::time_point
                unplannedUntil; //!< What is cut until then is excused.
        bool hasAnswered = false; //!< It has answered a request since its start.
    };

    using Clock = std::chrono::steady_clock;

    int randomBelow(int below);
    bool chance(double probability);
    void report(const std::string &violation);
    void disrupt();
    void changeSpeed();
    void disruptNode(int node);
    void disruptBackends();
    void disruptStore();
    void driveStore();
    void watchProcesses();
    void watchProcess(int node);
    void driveClients();
    void sendNext(const std::shared_ptr<Client> &client);
    void send(const std::shared_ptr<Client> &client);
    void onEnd(const std::shared_ptr<Client> &client, const std::shared_ptr<Exchange> &exchange,
               bool isComplete);
    void check(const Exchange &exchange, bool isComplete);
    void checkRuns();

    PlatformSoakOptions m_options;
    std::mt19937_64 m_random;
    PlatformDeployment m_deployment;
    RawEngine m_rawEngine;
    std::vector<std::shared_ptr<Client>> m_clients;
    std::map<int, NodeState> m_nodes;
    std::vector<std::string> m_unsafeIds;
    std::vector<std::string>
            m_refusedIds; //!< Requests whose answer promised that they did not run.
    std::string m_violation;
    std::int64_t m_configVersion = 1;
    Clock::time_point m_nextDisruption;
    Clock::time_point m_storeFaultEnd;
    Clock::time_point m_nextCopy; //!< Next copy of the store.
    Clock::time_point m_rewriteTime; //!< Writers write again what a restored store lacks.
    int m_requestCount = 0;
    int m_answeredCount = 0;
};

} // namespace sesame::test
