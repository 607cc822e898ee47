#pragma once

#include "Core/followpolicy.h"
#include "Http/listener.h"
#include "Serving/dutycoordinator.h"
#include "Serving/nodeexchange.h"
#include "Serving/rolloutduty.h"
#include "Serving/scalingduty.h"
#include "Serving/servingstate.h"
#include "Serving/stateexchange.h"
#include "Serving/storewatcher.h"
#include "Serving/streamoriginstore.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>

namespace sesame {

/*!
    Dependencies of a node on the platform that it runs on: formats, documents, clients and names.
*/
struct ServingEnvironment
{
    std::unique_ptr<RequestFormat> format;
    std::unique_ptr<DutyClient> dutyClient;
    //! Creates a client of the object store. Each client has its own connection.
    std::function<std::unique_ptr<ObjectStoreClient>()> makeStoreClient;
    //! Parses a configuration; returns null if it is invalid.
    std::function<std::shared_ptr<const ServingConfig>(const json_t *)> readConfig;
    //! Parses the entry of engine \a id; returns std::nullopt if it is invalid.
    std::function<std::optional<EngineEntry>(const std::string &id, const json_t *)> readEngine;
    //! Parses the order of a roll-out from object \a name, with its status as the member "status".
    std::function<std::optional<RolloutOrder>(const std::string &name, const json_t *)> readRollout;
    RolloutFormat rollouts;
    //! Formats the directory response that lists entry addresses.
    std::function<std::string(const std::vector<std::string> &, double ttlSeconds)> formatAddresses;
    std::string configKind; //!< Kind of the object that holds the configuration.
    std::string configName; //!< Name of the object that holds the configuration.
    std::string engineKind; //!< Kind of the objects that describe engines.
    std::string readyPath; //!< URL path of the readiness check.
    std::string directoryPath; //!< URL path of the list of ready nodes' addresses.
};

/*!
    A node that serves callers. It accepts requests, answers the directory, readiness and metrics
    calls, watches the object store, exchanges reports with its peers and competes for the duties.
*/
class ServingNode
{
public:
    ServingNode(asio::io_context &context, const ServingSettings &settings,
                ServingEnvironment environment);

    /*!
        Opens the listening addresses and starts to watch the object store. Returns the reason if an
        address cannot be opened.
    */
    std::optional<std::string> start();

private:
    using CallerConnection = std::shared_ptr<ServerConnection>;

    void serveRequest(const CallerConnection &connection, RequestMessage &&request);
    void serveDirectory(const CallerConnection &connection, const RequestMessage &request);
    void serveReadiness(const CallerConnection &connection, const RequestMessage &request);
    void serveMetrics(const CallerConnection &connection, const RequestMessage &request);
    bool isReady() const;
    std::unique_ptr<StoreWatcher> makeWatcher(const std::string &kind,
                                              std::chrono::milliseconds wait,
                                              ObjectReplica &replica,
                                              const StateExchange::ChangeHandler &apply);
    void applyConfig(std::span<const ReplicaObject> objects);
    void applyConfigObject(const ReplicaObject &object);
    void applyEngines(std::span<const ReplicaObject> objects);
    void applyRollouts(std::span<const ReplicaObject> objects);
    void applyRollout(const ReplicaObject &object);
    void applyEngine(const ReplicaObject &object);
    std::chrono::milliseconds configWatchWait() const;
    std::chrono::milliseconds maxStoreRetryDelay() const;
    bool isStoreFollower() const;
    void updateFollowing();
    void registerNode();
    void refreshNodeList();
    void removeStaleNodeRecords(const std::vector<StoredObject> &listed);
    void scheduleTick();
    void tick();
    void logClockOffset();
    void waitForSignals();
    void beginShutdown();
    void continueShutdown();
    void answerOpenRequests();

    asio::io_context &m_context;
    ServingEnvironment m_environment;
    ServingState m_state;
    StreamOriginStore m_streamOriginStore;
    StateExchange m_stateExchange;
    NodeExchange m_exchange;
    FollowPolicy m_followPolicy;
    Listener m_entryListener;
    Listener m_directoryListener;
    Listener m_readinessListener;
    Listener m_metricsListener;
    std::unique_ptr<ObjectStoreClient> m_nodeStoreClient;
    std::unique_ptr<StoreWatcher> m_configWatcher;
    std::unique_ptr<StoreWatcher> m_engineWatcher;
    std::unique_ptr<StoreWatcher> m_rolloutWatcher; //!< Null if there are no roll-outs.
    DutyCoordinator m_dutyCoordinator;
    ScalingDuty m_scalingDuty;
    RolloutDuty m_rolloutDuty;
    std::int64_t m_loggedClockOffset = 0; //!< Last logged clock offset in milliseconds.
    asio::signal_set m_signals;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_stopTimer;
    Timestamp m_nextNodeListTime;
    Timestamp m_startTime;
    //! Listed nodes that send no reports, with the time since when this is so.
    std::map<std::string, Timestamp> m_silentSince;
    bool m_isRegistered = false; //!< The object store has this node's record.
    bool m_isListed = false; //!< A list of the nodes has contained this node.
    bool m_registrationPending = false; //!< A write of this node's record is in progress.
    bool m_isEntryClosed = false; //!< The entry no longer accepts connections.
};

} // namespace sesame
