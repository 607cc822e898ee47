#pragma once

#include "Http/listener.h"
#include "Serving/dutycoordinator.h"
#include "Serving/nodeexchange.h"
#include "Serving/scalingduty.h"
#include "Serving/servingstate.h"
#include "Serving/storewatcher.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>

namespace sesame {

/*!
    What the node needs from the environment that it runs in: formats, documents and calls.
*/
struct ServingEnvironment
{
    std::unique_ptr<RequestFormat> format;
    std::unique_ptr<DutyClient> dutyClient;
    //! Makes a client of the store; each has its own connection.
    std::function<std::unique_ptr<ObjectStoreClient>()> makeStoreClient;
    std::function<std::shared_ptr<const ServingConfig>(const json_t *)> readConfig;
    std::function<std::optional<EngineEntry>(const std::string &id, const json_t *)> readEngine;
    std::function<std::string(const std::vector<std::string> &, double ttlSeconds)> formatAddresses;
    std::string configKind; //!< Kind of objects of which one is the configuration.
    std::string configName;
    std::string engineKind;
    std::string readyPath;
    std::string directoryPath;
};

/*!
    One node: callers' requests, the directory, readiness, the store's news, the exchange with
    other nodes and the duties.
*/
class ServingNode
{
public:
    ServingNode(asio::io_context &context, const ServingSettings &settings,
                ServingEnvironment environment);

    /*!
        Opens the addresses and begins to follow the store. Returns the reason if an address
        cannot be opened.
    */
    std::optional<std::string> start();

private:
    using CallerConnection = std::shared_ptr<ServerConnection>;

    void serveRequest(const CallerConnection &connection, RequestMessage &&request);
    void serveDirectory(const CallerConnection &connection, const RequestMessage &request);
    void serveReadiness(const CallerConnection &connection, const RequestMessage &request);
    void serveMetrics(const CallerConnection &connection, const RequestMessage &request);
    bool isReady() const;
    std::unique_ptr<StoreWatcher> makeConfigWatcher();
    std::unique_ptr<StoreWatcher> makeEngineWatcher();
    void applyConfig(const StoredObject &object);
    void applyEngineChange(const StoredObject &object, std::optional<Timestamp> graceEnd);
    void registerNode();
    void refreshNodeList();
    void removeStaleNodeRecords(const std::vector<StoredObject> &listed);
    void scheduleTick();
    void tick();
    void refreshOutdatedConfig();
    void logClockOffset();
    void waitForSignals();
    void beginShutdown();
    void continueShutdown();

    asio::io_context &m_context;
    ServingEnvironment m_environment;
    ServingState m_state;
    NodeExchange m_exchange;
    Listener m_entryListener;
    Listener m_directoryListener;
    Listener m_readinessListener;
    Listener m_metricsListener;
    std::unique_ptr<ObjectStoreClient> m_nodeStoreClient;
    std::unique_ptr<StoreWatcher> m_configWatcher;
    std::unique_ptr<StoreWatcher> m_engineWatcher;
    DutyCoordinator m_dutyCoordinator;
    ScalingDuty m_scalingDuty;
    std::optional<Timestamp> m_configOutdatedSince; //!< A peer has a newer configuration since.
    std::int64_t m_loggedClockOffset = 0; //!< Milliseconds, as logged last.
    asio::signal_set m_signals;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_stopTimer;
    Timestamp m_nextNodeListTime;
    Timestamp m_startTime;
    Timestamp m_stopStartTime;
    std::map<std::string, Timestamp> m_silentSince; //!< Listed nodes that are out of touch.
    bool m_isRegistered = false;
    bool m_registrationPending = false;
    bool m_isEntryClosed = false;
};

} // namespace sesame
