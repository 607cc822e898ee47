#include "Node/entrynode.h"

#include "Adapter/httpserver.h"
#include "Adapter/log.h"
#include "Adapter/peerserver.h"
#include "Core/nodesettingsfile.h"
#include "Http/clientmemory.h"
#include "Node/backendmonitor.h"
#include "Node/callerapi.h"
#include "Node/capacitycontroller.h"
#include "Node/fleetwatcher.h"
#include "Node/handoverservice.h"
#include "Node/modelservice.h"
#include "Node/nodecontext.h"
#include "Node/operatorapi.h"
#include "Node/peerexchange.h"
#include "Node/routeservice.h"

#include <pthread.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

namespace sesame {

namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr std::chrono::milliseconds peerExchangeInterval {50};
constexpr std::chrono::milliseconds fleetWatchInterval {200};
constexpr std::chrono::milliseconds cloudPollInterval {250};
// Half of this interval would exceed the control traffic limit of 28 KB/s with 20 engines.
constexpr std::chrono::milliseconds enginePollInterval {1000};
constexpr std::chrono::milliseconds capacityControlInterval {250};
constexpr std::chrono::milliseconds dispatchInterval {50};
constexpr std::chrono::milliseconds ledgerFlushInterval {1000};
constexpr std::chrono::milliseconds drainPollInterval {20};
constexpr std::chrono::milliseconds signalPollInterval {200};
constexpr std::string_view nodesPrefix = "nodes/";
constexpr std::size_t operatorMemoryDivisor = 8;

/*!
    An entry node with its shared tables, services, servers and background threads.
*/
class EntryNode
{
public:
    explicit EntryNode(const NodeSettings &settings)
        : m_context(settings), m_handovers(m_context), m_models(m_context, m_handovers),
          m_routes(m_context), m_peerExchange(m_context, m_models, m_handovers),
          m_fleetWatcher(m_context, m_peerExchange),
          m_backendMonitor(m_context, m_models, m_peerExchange,
                           [this] {
                               handleReclaim();
                           }),
          m_capacityController(m_context, m_peerExchange),
          m_callerApi(m_context, m_models, m_routes), m_operatorApi(m_context, [this] {
              withdraw();
          })
    {
    }

    /*!
        Starts the servers, joins the peers and starts the background threads. Returns false if a
        server could not be started.
    */
    bool start()
    {
        if (!startServers())
            return false;
        joinPeers();
        startThreads();
        return true;
    }

    /*!
        Blocks until the node is withdrawn. Then serves callers with a cached address for the TTL of
        entry lists, waits for the active requests and stops all threads and servers.
    */
    void runUntilStopped()
    {
        while (!m_context.lifecycle.waitForPhase(NodePhase::Withdrawn, signalPollInterval)) { }
        leavePeers();
        const auto config = m_context.config();
        const auto ttl = config ? config->defaults.entryTtl : FleetDefaults().entryTtl;
        std::this_thread::sleep_for(ttl);
        m_context.lifecycle.advance(NodePhase::Draining);
        while (m_callerServer->activeRequests() > 0)
            std::this_thread::sleep_for(drainPollInterval);
        m_context.lifecycle.advance(NodePhase::Stopped);
        for (std::thread &thread : m_threads)
            thread.join();
        m_callerServer.reset();
        m_operatorServer.reset();
        m_peerServer.reset();
        m_context.requestWorkers.stop();
        m_context.controlWorkers.stop();
        logEvent(LogLevel::Info, "node stopped");
    }

    /*!
        Starts a graceful stop.
    */
    void withdraw() { m_context.lifecycle.advance(NodePhase::Withdrawn); }

    /*!
        Withdraws the node and hands its open requests over to peers at once, because the instance
        is terminated within seconds.
    */
    void handleReclaim()
    {
        if (m_context.lifecycle.phase() >= NodePhase::Withdrawn)
            return;
        logEvent(LogLevel::Warning, "instance is being reclaimed");
        withdraw();
        m_models.handOverAll();
    }

private:
    bool startServers()
    {
        const NodeSettings &settings = m_context.settings;
        m_peerServer = PeerServer::start(
                {.address = settings.peerAddress,
                 .identity = {.node = settings.node, .key = settings.peerKey}},
                [this](const wire::PeerRequest &request, std::string_view sender) {
                    return m_peerExchange.handleRequest(request, sender);
                });
        const std::size_t clientMemory = ClientMemory::shareOf(
                static_cast<std::size_t>(settings.memoryLimitMb) << 20U);
        // Operators send small requests and have a small part of the memory to themselves, so that
        // they can reach a node whose callers use all of theirs.
        const std::size_t operatorMemory = clientMemory / operatorMemoryDivisor;
        m_callerServer = HttpServer::start({.address = settings.callerAddress,
                                            .clientMemoryBytes = clientMemory - operatorMemory},
                                           [this](const HttpRequest &request) {
                                               return m_callerApi.handle(request);
                                           });
        m_operatorServer = HttpServer::start(
                {.address = settings.operatorAddress, .clientMemoryBytes = operatorMemory},
                [this](const HttpRequest &request) {
                    return m_operatorApi.handle(request);
                });
        if (m_peerServer && m_callerServer && m_operatorServer)
            return true;
        logEvent(LogLevel::Error, "server start failed", {{"reason", lastReason().text}});
        return false;
    }

    void joinPeers()
    {
        const NodeSettings &settings = m_context.settings;
        std::vector<Endpoint> seeds = settings.seeds;
        const std::string ownKey = std::string(nodesPrefix) + settings.node;
        if (const auto records = m_context.store.list(nodesPrefix)) {
            for (const ObjectListEntry &record : records->objects) {
                const auto endpoint = parseEndpoint(m_context.store.read(record.key).value);
                if (record.key != ownKey && endpoint)
                    seeds.push_back(*endpoint);
            }
        }
        const std::string address = settings.peerAddress.host + ":"
                + std::to_string(settings.peerAddress.port);
        const StoreResult old = m_context.store.read(ownKey);
        m_context.store.writeIf(ownKey, address, old.version);
        std::erase_if(seeds, [&settings](const Endpoint &it) {
            return it.host == settings.peerAddress.host && it.port == settings.peerAddress.port;
        });
        m_context.fleet.lock()->setPeerCount(seeds.size());
        m_context.membership.lock()->join(std::move(seeds));
    }

    void leavePeers()
    {
        logEvent(LogLevel::Info, "node leaving the fleet");
        m_context.membership.lock()->leave(m_context.clock.now());
        const std::string ownKey = std::string(nodesPrefix) + m_context.settings.node;
        const StoreResult record = m_context.store.read(ownKey);
        if (record.status == StoreStatus::Ok)
            m_context.store.removeIf(ownKey, record.version);
    }

    void startThreads()
    {
        startPeriodicThread(peerExchangeInterval, [this] {
            m_peerExchange.tick();
        });
        startPeriodicThread(fleetWatchInterval, [this] {
            m_fleetWatcher.tick();
        });
        startPeriodicThread({}, [this] {
            m_fleetWatcher.watchStore();
        });
        startPeriodicThread(cloudPollInterval, [this] {
            m_backendMonitor.pollCloud();
        });
        startPeriodicThread(enginePollInterval, [this] {
            m_backendMonitor.pollEngines();
        });
        startPeriodicThread(capacityControlInterval, [this] {
            m_capacityController.tick();
        });
        startPeriodicThread(dispatchInterval, [this] {
            m_models.dispatchWaiting();
        });
        startPeriodicThread(ledgerFlushInterval, [this] {
            m_context.ledger.flush();
        });
    }

    template <typename Step>
    void startPeriodicThread(std::chrono::milliseconds interval, Step step)
    {
        m_threads.emplace_back([this, interval, step] {
            while (m_context.lifecycle.phase() != NodePhase::Stopped) {
                step();
                std::this_thread::sleep_for(interval);
            }
        });
    }

    NodeContext m_context;
    HandoverService m_handovers;
    ModelService m_models;
    RouteService m_routes;
    PeerExchange m_peerExchange;
    FleetWatcher m_fleetWatcher;
    BackendMonitor m_backendMonitor;
    CapacityController m_capacityController;
    CallerApi m_callerApi;
    OperatorApi m_operatorApi;
    std::optional<PeerServer> m_peerServer;
    std::optional<HttpServer> m_callerServer;
    std::optional<HttpServer> m_operatorServer;
    std::vector<std::thread> m_threads;
};

/*!
    Blocks SIGTERM and SIGINT in all threads, and withdraws the node from a separate thread when one
    of them arrives.
*/
class StopSignalForwarder
{
public:
    StopSignalForwarder()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGTERM);
        sigaddset(&m_signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }

    void forwardTo(EntryNode &node)
    {
        m_thread = std::thread([this, &node] {
            const timespec wait {.tv_sec = 0,
                                 .tv_nsec = std::chrono::nanoseconds(signalPollInterval).count()};
            while (!m_done) {
                if (sigtimedwait(&m_signals, nullptr, &wait) > 0)
                    node.withdraw();
            }
        });
    }

    void stop()
    {
        m_done = true;
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    sigset_t m_signals {};
    std::thread m_thread;
    std::atomic<bool> m_done {false};
};

} // namespace

int runEntryNode(const NodeSettings &settings)
{
    if (!initializeLog(settings.logLevel, settings.node))
        return exitFailure;
    StopSignalForwarder signals;
    EntryNode node(settings);
    if (!node.start())
        return exitFailure;
    logEvent(LogLevel::Info, "node started", {{"zone", settings.zone}});
    signals.forwardTo(node);
    node.runUntilStopped();
    signals.stop();
    return exitSuccess;
}

} // namespace sesame
