#pragma once

#include "Http/listener.h"
#include "Serving/dutykeeper.h"
#include "Serving/nodeexchange.h"
#include "Serving/scalingduty.h"
#include "Serving/servingstate.h"
#include "Serving/storefollower.h"

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
    std::unique_ptr<DutyCalls> dutyCalls;
    //! Makes a client of the store; each has its own connection.
    std::function<std::unique_ptr<ObjectStoreCalls>()> makeStore;
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
    using Call = std::shared_ptr<ServerConnection>;

    void serveRequest(const Call &call, RequestMessage &&request);
    void serveDirectory(const Call &call, const RequestMessage &request);
    void serveReadiness(const Call &call, const RequestMessage &request);
    void serveMetrics(const Call &call, const RequestMessage &request);
    bool isReady() const;
    std::unique_ptr<StoreFollower> followConfig();
    std::unique_ptr<StoreFollower> followEngines();
    void takeConfig(const StoredObject &object);
    void takeEngine(const StoredObject &object, std::optional<Timestamp> graceEnd);
    void announce();
    void listNodes();
    void removeStaleRecords(const std::vector<StoredObject> &listed);
    void scheduleTick();
    void tick();
    void followPeersConfig();
    void noteClock();
    void waitForSignals();
    void beginStop();
    void finishStop();

    asio::io_context &m_context;
    ServingEnvironment m_environment;
    ServingState m_state;
    NodeExchange m_exchange;
    Listener m_entry;
    Listener m_directory;
    Listener m_readiness;
    Listener m_metrics;
    std::unique_ptr<ObjectStoreCalls> m_nodeStore;
    std::unique_ptr<StoreFollower> m_configFollower;
    std::unique_ptr<StoreFollower> m_engineFollower;
    DutyKeeper m_duties;
    ScalingDuty m_scaling;
    std::optional<Timestamp> m_behindSince; //!< A peer has a newer configuration since.
    std::int64_t m_clockOffset = 0; //!< Milliseconds, as logged last.
    asio::signal_set m_signals;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_stopTimer;
    Timestamp m_nextNodeList;
    Timestamp m_start;
    Timestamp m_stopStart;
    std::map<std::string, Timestamp> m_unheardSince; //!< Listed nodes that are out of touch.
    bool m_announced = false;
    bool m_announcing = false;
    bool m_entryClosed = false;
};

} // namespace sesame
