#include "Serving/servingnode.h"

#include "Adapter/log.h"
#include "Serving/clientlimits.h"
#include "Serving/clocks.h"
#include "Serving/proxiedrequest.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 100ms;
constexpr Duration nodeListInterval = 3s;
//! Replaces nodeListInterval while the node knows no peers.
constexpr Duration initialNodeListInterval = 500ms;
//! Replaces nodeListInterval for nodes that are no aggregators and learn of other nodes from them.
constexpr Duration memberNodeListInterval = 30s;
//! The record of a node is removed from the object store if its peers have received no report from
//! it for this long.
constexpr Duration staleRecordAge = 20s;
//! Minimum change of the clock offset that is logged. Smaller changes result from varying delays of
//! datagrams.
constexpr std::int64_t minLoggedClockChangeMillis = 50;
//! A node that has heard no other node for this time sends nothing to the target of a roll-out. It
//! may have missed a roll-back. Datagrams arrive several times a second.
constexpr Duration contactLimit = 1500ms;
constexpr const char *nodeKind = "nodes";
//! A change must take effect within two seconds after it was accepted, even if a watch stops
//! delivering data without an error.
constexpr std::chrono::milliseconds watchWait {800};
//! Used for the configuration unless its age limits the use of account keys. Each call has a cost,
//! and a watch that stops delivering data does no harm, because other nodes tell of a new version.
constexpr std::chrono::milliseconds longWatchWait {2500};
//! Longest delay between two calls to a store that fails, for the nodes that always follow it.
constexpr std::chrono::milliseconds shortStoreRetryDelay {400};
//! The same for the other nodes: their number times this, so that all of them together call the
//! store as often as a few followers do.
constexpr std::chrono::milliseconds storeRetryDelayPerNode {20};
//! Time after the start within which a node waits for its peers' state before it follows the store.
constexpr Duration startupWait = 1500ms;

/*!
    Converts \a objects, which the store returned in the era \a era.
*/
std::vector<ReplicaObject> toReplicaObjects(std::span<const StoredObject> objects,
                                            std::uint64_t era)
{
    std::vector<ReplicaObject> converted;
    converted.reserve(objects.size());
    for (const StoredObject &object : objects) {
        const bool hasContent = !object.removed && object.content;
        if (hasContent && object.status)
            json_object_set(object.content.get(), "status", object.status.get());
        converted.push_back({.name = object.name,
                             .revision = StoreRevision {era, object.revision}.ordinal(),
                             .removed = object.removed,
                             .content = hasContent ? dumpJson(object.content.get()) : ""});
    }
    return converted;
}

/*!
    Returns the revision of \a object as the store gives it, without its era.
*/
std::int64_t revisionNumber(const ReplicaObject &object)
{
    return static_cast<std::int64_t>(StoreRevision::fromOrdinal(object.revision).number);
}

std::uint64_t eraOf(const ObjectReplica &replica)
{
    return StoreRevision::fromOrdinal(replica.stateRevision()).era;
}

/*!
    Runs \a apply, which reads \a object. Objects may come from other writers, so an error that one
    causes ends neither the process nor the processing of the others.
*/
template <typename Apply>
void containError(const ReplicaObject &object, Apply apply)
{
    try {
        apply();
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "store.object_failed",
                 {{"object", object.name},
                  {"revision", revisionNumber(object)},
                  {"reason", error.what()}});
    }
}

} // namespace

ServingNode::ServingNode(asio::io_context &context, const ServingSettings &settings,
                         ServingEnvironment environment)
    : m_context(context), m_environment(std::move(environment)),
      m_state(context, settings, *m_environment.format),
      m_streamOriginStore(m_state, m_environment.makeStoreClient(), m_environment.makeStoreClient(),
                          [this](const auto &node, const auto &question) {
                              m_exchange.ask(node, question);
                          }),
      m_stateExchange(context, m_state), m_exchange(m_state, context,
                                                    [this](const wire::Sender &sender) {
                                                        m_stateExchange.compare(sender);
                                                    }),
      m_followPolicy(std::uniform_real_distribution<double>(0.0, 1.0)(m_state.random)),
      m_entryListener(
              context,
              [this](const CallerConnection &connection, RequestMessage &&request) {
                  serveRequest(connection, std::move(request));
              },
              maxEntryConnections(settings)),
      m_directoryListener(
              context,
              [this](const CallerConnection &connection, RequestMessage &&request) {
                  serveDirectory(connection, request);
              },
              maxControlConnections(settings)),
      m_readinessListener(
              context,
              [this](const CallerConnection &connection, RequestMessage &&request) {
                  serveReadiness(connection, request);
              },
              maxControlConnections(settings)),
      m_metricsListener(
              context,
              [this](const CallerConnection &connection, RequestMessage &&request) {
                  serveMetrics(connection, request);
              },
              maxControlConnections(settings)),
      m_nodeStoreClient(m_environment.makeStoreClient()),
      m_dutyCoordinator(m_state, m_environment.makeStoreClient(), *m_environment.dutyClient),
      m_scalingDuty(m_state, m_dutyCoordinator, *m_environment.dutyClient),
      m_rolloutDuty(m_state, m_dutyCoordinator, m_environment.makeStoreClient(),
                    m_environment.rollouts),
      m_signals(context, SIGTERM, SIGINT, SIGHUP), m_tickTimer(context), m_stopTimer(context)
{
    m_state.streamOriginStore = &m_streamOriginStore;
}

std::optional<std::string> ServingNode::start()
{
    const ServingSettings &settings = m_state.settings;
    const auto open = [this](Listener &listener, const Tcp::endpoint &address,
                             std::string_view name) {
        listener.setMemory(m_state.clientMemory);
        const boost::system::error_code ec = listener.open(address);
        return ec ? std::optional(std::string(name) + ": " + ec.message()) : std::nullopt;
    };
    if (auto reason = open(m_readinessListener, settings.readinessAddress, "readiness address"))
        return reason;
    if (auto reason = open(m_directoryListener, settings.directoryAddress, "directory address"))
        return reason;
    if (auto reason = open(m_entryListener, settings.entryAddress, "entry address"))
        return reason;
    if (auto reason = open(m_metricsListener, settings.metricsAddress, "metrics address"))
        return reason;
    if (const boost::system::error_code ec = m_exchange.open())
        return "exchange port: " + ec.message();
    if (const boost::system::error_code ec = m_stateExchange.open())
        return "state exchange port: " + ec.message();
    logEvent(LogLevel::Info, "node.started",
             {{"zone", settings.zone},
              {"entry", settings.entryAddressText},
              {"incarnation", m_state.incarnation},
              {"first_start", settings.isFirstStart}});
    m_startTime = steadyNow();
    m_entryListener.setRejectionHandler([this](unsigned status, std::string_view reason) {
        logEvent(LogLevel::Warning, "caller.rejected",
                 {{"status", static_cast<std::int64_t>(status)}, {"reason", reason}});
        m_state.metrics.recordRequest("none", status, Duration::zero());
    });
    const auto applyConfigChanges = [this](std::span<const ReplicaObject> objects) {
        applyConfig(objects);
    };
    const auto applyEngineChanges = [this](std::span<const ReplicaObject> objects) {
        applyEngines(objects);
    };
    m_stateExchange.addReplica("configuration", m_state.configReplica, &wire::Sender::configuration,
                               2 * (configWatchWait() - watchWait), applyConfigChanges);
    m_stateExchange.addReplica("engines", m_state.engineReplica, &wire::Sender::engines,
                               Duration::zero(), applyEngineChanges);
    m_configWatcher = makeWatcher(m_environment.configKind, configWatchWait(),
                                  m_state.configReplica, applyConfigChanges);
    m_engineWatcher = makeWatcher(m_environment.engineKind, watchWait, m_state.engineReplica,
                                  applyEngineChanges);
    if (settings.rollout) {
        const auto applyRolloutChanges = [this](std::span<const ReplicaObject> objects) {
            applyRollouts(objects);
        };
        m_stateExchange.addReplica("rollouts", m_state.rollouts.orderReplica,
                                   &wire::Sender::rollouts, Duration::zero(), applyRolloutChanges);
        m_rolloutWatcher = makeWatcher(m_environment.rollouts.kind, watchWait,
                                       m_state.rollouts.orderReplica, applyRolloutChanges);
    }
    m_dutyCoordinator.start();
    waitForSignals();
    tick();
    return std::nullopt;
}

std::unique_ptr<StoreWatcher> ServingNode::makeWatcher(const std::string &kind,
                                                       std::chrono::milliseconds wait,
                                                       ObjectReplica &replica,
                                                       const StateExchange::ChangeHandler &apply)
{
    StoreWatchHandlers handlers;
    handlers.listed = [this, kind, &replica, apply](const std::vector<StoredObject> &objects,
                                                    const StoreReadContext &read) {
        logEvent(LogLevel::Info, "store.listed",
                 {{"kind", kind},
                  {"objects", static_cast<std::int64_t>(objects.size())},
                  {"after_outage", read.graceEnd.has_value()}});
        apply(replica.applyListing(toReplicaObjects(objects, read.revision.era),
                                   read.revision.ordinal(), read.knownAt, read.graceEnd));
    };
    handlers.changed = [&replica, apply](const std::vector<StoredObject> &objects,
                                         const StoreReadContext &read) {
        apply(replica.applyChanges(toReplicaObjects(objects, read.revision.era),
                                   read.revision.ordinal(), read.knownAt, read.graceEnd));
    };
    return std::make_unique<StoreWatcher>(
            m_context, m_environment.makeStoreClient(), kind, wait,
            [this] {
                return maxStoreRetryDelay();
            },
            std::move(handlers));
}

std::chrono::milliseconds ServingNode::configWatchWait() const
{
    return m_state.settings.revocationLimit ? watchWait : longWatchWait;
}

std::chrono::milliseconds ServingNode::maxStoreRetryDelay() const
{
    return isStoreFollower()
            ? shortStoreRetryDelay
            : std::max(shortStoreRetryDelay, storeRetryDelayPerNode * m_state.quotaShares.nodes);
}

bool ServingNode::isStoreFollower() const
{
    const std::vector<std::string> followers = m_state.peers.storeFollowers(steadyNow());
    return std::find(followers.begin(), followers.end(), m_state.settings.node) != followers.end();
}

/*!
    Starts or stops to follow the store, as the follow policy decides.
*/
void ServingNode::updateFollowing()
{
    const Timestamp now = steadyNow();
    FollowInputs inputs;
    inputs.isFollower = m_isListed && isStoreFollower();
    inputs.isAggregator = m_state.tally.isAggregator();
    inputs.hearsPeers = now - m_exchange.lastHeardAt() < m_followPolicy.isolationLimit();
    inputs.peerAge = m_stateExchange.peerAge();
    inputs.age = m_stateExchange.age();
    // A node that has just started waits for the state of its peers.
    const bool isStarting = !inputs.age && now - m_startTime < startupWait;
    if (isStarting && !inputs.isFollower)
        return;
    if (m_followPolicy.update(inputs, now) == m_configWatcher->isStarted())
        return;
    if (m_configWatcher->isStarted()) {
        logEvent(LogLevel::Info, "store.left", {});
        m_configWatcher->stop();
        m_engineWatcher->stop();
        if (m_rolloutWatcher)
            m_rolloutWatcher->stop();
        return;
    }
    logEvent(LogLevel::Info, "store.followed",
             {{"follower", inputs.isFollower},
              {"hears_peers", inputs.hearsPeers},
              {"age_ms",
               inputs.age ? std::chrono::duration_cast<Milliseconds>(*inputs.age).count() : -1}});
    m_configWatcher->start(eraOf(m_state.configReplica));
    m_engineWatcher->start(eraOf(m_state.engineReplica));
    if (m_rolloutWatcher)
        m_rolloutWatcher->start(eraOf(m_state.rollouts.orderReplica));
}

void ServingNode::applyConfig(std::span<const ReplicaObject> objects)
{
    for (const ReplicaObject &object : objects) {
        if (object.name != m_environment.configName || object.removed)
            continue;
        containError(object, [&] {
            applyConfigObject(object);
        });
    }
}

void ServingNode::applyConfigObject(const ReplicaObject &object)
{
    const auto config = m_environment.readConfig(parseJson(object.content).get());
    if (!config) {
        logEvent(LogLevel::Error, "config.unreadable", {{"revision", revisionNumber(object)}});
        return;
    }
    m_state.adoptConfig(config);
    const RequestLimits &limits = m_state.config->limits;
    m_entryListener.setLimits({.headerBytes = limits.headerBytes,
                               .bodyBytes = limits.bodyBytes,
                               .headerTimeout = limits.headerTimeout,
                               .idleTimeout = limits.idleTimeout});
}

void ServingNode::applyRollouts(std::span<const ReplicaObject> objects)
{
    for (const ReplicaObject &object : objects)
        containError(object, [&] {
            applyRollout(object);
        });
}

void ServingNode::applyRollout(const ReplicaObject &object)
{
    auto order = object.removed
            ? std::nullopt
            : m_environment.readRollout(object.name, parseJson(object.content).get());
    if (!order) {
        if (!object.removed)
            logEvent(LogLevel::Warning, "rollout.unreadable",
                     {{"object", object.name}, {"revision", revisionNumber(object)}});
        m_state.rollouts.book.removeOrder(object.name);
        return;
    }
    order->revision = object.revision;
    m_state.rollouts.book.setOrder(*order);
    logEvent(LogLevel::Info, "rollout.order_known",
             {{"service", order->service},
              {"target", order->target},
              {"duration_ms", static_cast<std::int64_t>(order->duration.count())},
              {"revision", revisionNumber(object)}});
}

void ServingNode::applyEngines(std::span<const ReplicaObject> objects)
{
    for (const ReplicaObject &object : objects)
        containError(object, [&] {
            applyEngine(object);
        });
}

void ServingNode::applyEngine(const ReplicaObject &object)
{
    const auto entry = object.removed
            ? std::nullopt
            : m_environment.readEngine(object.name, parseJson(object.content).get());
    const EngineState *known = m_state.engines.find(object.name);
    const bool wasUsable = known && known->usable;
    if (entry && m_state.settings.rollout)
        m_state.rollouts.noteEngine(*entry, object.revision);
    if (entry) {
        m_streamOriginStore.noteEngine(*entry);
        m_state.engines.update(*entry);
    } else {
        m_state.engines.remove(object.name);
    }
    const EngineState *now = m_state.engines.find(object.name);
    const bool isUsable = now && now->usable;
    if (wasUsable == isUsable)
        return;
    if (!isUsable)
        m_state.connectionPool.closeIdle(object.name);
    else if (m_state.waiting)
        m_state.waiting->scheduleDispatch();
    logEvent(LogLevel::Info, isUsable ? "engine.joined" : "engine.left",
             {{"engine", object.name},
              {"removed", object.removed},
              {"revision", revisionNumber(object)}});
}

void ServingNode::serveRequest(const CallerConnection &connection, RequestMessage &&request)
{
    std::make_shared<ProxiedRequest>(m_state, connection, std::move(request))->start();
}

bool ServingNode::isReady() const
{
    return !m_state.stop && m_state.config && m_state.engineReplica.hasState()
            && (!m_state.settings.rollout || m_state.rollouts.orderReplica.hasState())
            && m_state.acceptsKeys();
}

/*!
    Writes this node's record to the object store, where nodes discover each other.
*/
void ServingNode::registerNode()
{
    if (m_isRegistered || m_registrationPending || m_state.stop)
        return;
    m_registrationPending = true;
    const JsonPtr content(json_object());
    json_object_set_new(content.get(), "entry",
                        json_string(m_state.settings.entryAddressText.c_str()));
    json_object_set_new(content.get(), "zone", json_string(m_state.settings.zone.c_str()));
    json_object_set_new(content.get(), "capacity",
                        json_integer(m_state.settings.capacityMillicores));
    m_nodeStoreClient->create(nodeKind, m_state.settings.node, content.get(),
                              [this](const StoreWriteResult &written) {
                                  m_registrationPending = false;
                                  m_isRegistered = written.status == StoreCallStatus::Ok
                                          || written.status == StoreCallStatus::Conflict;
                              });
}

/*!
    Removes the records of nodes that have sent no reports for a long time, so that a node that
    starts later does not list them in its directory. A node that is still running writes its record
    again.
*/
void ServingNode::removeStaleNodeRecords(const std::vector<StoredObject> &listed)
{
    const Timestamp now = steadyNow();
    std::erase_if(m_silentSince, [&](const auto &item) {
        const PeerNode *peer = m_state.peers.find(item.first);
        return peer && m_state.peers.isRunning(*peer, now);
    });
    // A node without peers cannot tell whether it or the other node is unreachable.
    const bool hasPeers = !m_state.peers.entryAddresses(now, false).empty();
    for (const StoredObject &object : listed) {
        const PeerNode *peer = m_state.peers.find(object.name);
        if (object.removed || object.name == m_state.settings.node
            || (peer && m_state.peers.isRunning(*peer, now)))
            continue;
        const Timestamp silentSince = m_silentSince.try_emplace(object.name, now).first->second;
        if (!hasPeers || !m_dutyCoordinator.isHolder() || now - silentSince < staleRecordAge)
            continue;
        logEvent(LogLevel::Info, "peer.record_removed", {{"peer", object.name}});
        m_silentSince.erase(object.name);
        m_nodeStoreClient->remove(nodeKind, object.name, [](const StoreWriteResult &) {});
    }
}

void ServingNode::refreshNodeList()
{
    m_nodeStoreClient->list(nodeKind, true, [this](const StoreReadResult &listing) {
        if (listing.status != StoreCallStatus::Ok)
            return;
        const auto isOwn = [this](const StoredObject &object) {
            return object.name == m_state.settings.node && !object.removed;
        };
        m_isRegistered = std::any_of(listing.objects.begin(), listing.objects.end(), isOwn);
        m_isListed = m_isListed || m_isRegistered;
        removeStaleNodeRecords(listing.objects);
        for (const StoredObject &object : listing.objects) {
            if (object.name == m_state.settings.node || object.removed)
                continue;
            wire::Member member;
            member.node = object.name;
            member.entryAddress = jsonString(object.content.get(), "entry");
            if (!parseTcpEndpoint(member.entryAddress))
                continue;
            member.ready = true;
            member.capacity = static_cast<int>(jsonInteger(object.content.get(), "capacity"));
            m_state.peers.addListedNode(member, jsonString(object.content.get(), "zone"),
                                        steadyNow());
        }
    });
}

void ServingNode::scheduleTick()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

void ServingNode::tick()
{
    const Timestamp now = steadyNow();
    if (now >= m_nextNodeListTime) {
        const bool hasNoPeers = m_state.peers.peers().empty();
        const Duration interval = m_state.tally.isAggregator() ? nodeListInterval
                                                               : memberNodeListInterval;
        m_nextNodeListTime = now + (hasNoPeers ? initialNodeListInterval : interval);
        refreshNodeList();
        registerNode();
    }
    for (const std::string &peer : m_state.peers.removeExpired(now)) {
        m_state.trueTime.forgetPeer(peer);
        m_stateExchange.forget(peer);
        logEvent(LogLevel::Info, "peer.forgotten", {{"peer", peer}});
    }
    applyConfig(m_state.configReplica.removeExpired(bootNow()));
    applyEngines(m_state.engineReplica.removeExpired(bootNow()));
    applyRollouts(m_state.rollouts.orderReplica.removeExpired(bootNow()));
    updateFollowing();
    m_state.refreshPeerState();
    m_streamOriginStore.tick();
    if (m_state.waiting)
        m_state.waiting->tick();
    m_state.crashes.removeExpired(now);
    m_state.promptCrashes.removeExpired(m_state.commonMillis());
    m_state.connectionPool.closeExpired();
    m_scalingDuty.tick();
    m_state.rollouts.setInTouch(m_state.peers.entryAddresses(now, false).empty()
                                || now - m_exchange.lastHeardAt() < contactLimit);
    m_rolloutDuty.tick();
    logClockOffset();
    m_exchange.setReady(isReady());
    scheduleTick();
}

/*!
    Logs the difference between the common time of the nodes and this machine's clock when it
    changes, so that log lines of several nodes can be ordered.
*/
void ServingNode::logClockOffset()
{
    const std::int64_t offset = m_state.trueTime.now(bootMillis()) - wallNow();
    if (std::abs(offset - m_loggedClockOffset) < minLoggedClockChangeMillis)
        return;
    m_loggedClockOffset = offset;
    logEvent(LogLevel::Info, "clock.offset", {{"offset_ms", offset}});
}

void ServingNode::waitForSignals()
{
    m_signals.async_wait([this](const boost::system::error_code &ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP)
            logEvent(LogLevel::Info, "node.reload", {{"changed", false}});
        else
            beginShutdown();
        waitForSignals();
    });
}

} // namespace sesame
