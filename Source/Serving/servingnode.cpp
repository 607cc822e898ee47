#include "Serving/servingnode.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"
#include "Serving/requestrun.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 100ms;
constexpr Duration nodeListInterval = 3s;
constexpr Duration firstNodeListInterval = 500ms;
//! How long callers may keep an answer of the directory. A stopping node serves this long.
constexpr double directoryTtlSeconds = 2.0;
//! Callers may keep an answer for three times its time to live.
constexpr Duration withdrawalTime = 6s;
//! Part of the grace that remains for requests under way when the entry closes.
constexpr Duration closingReserve = 2500ms;
//! Part of the grace that is left when the process ends, for the end itself.
constexpr Duration exitReserve = 400ms;
//! A node that has just started knows its peers from the store only; after this time it has heard
//! those that live.
constexpr Duration acquaintanceTime = 1s;
//! A node whose peers have not heard it for this long is taken out of the store's list.
constexpr Duration staleRecordAge = 20s;
//! Milliseconds. Smaller changes come from datagrams that were under way for different times.
constexpr std::int64_t noticedClockChange = 50;
constexpr std::size_t controlConnections = 256;
//! Descriptors that the platform reserves and that connections to engines use.
constexpr std::size_t reservedDescriptors = 1000;
constexpr const char *nodeKind = "nodes";
//! Changes must be in force two seconds after they are accepted, also if a watch falls silent.
constexpr std::chrono::milliseconds shortWatchWait {800};
//! Each call costs. Peers tell of a new configuration, so a silent watch of it does no harm while
//! one is in touch. With the call's margin it is as long as a machine counts as disturbed after its
//! connections were.
constexpr std::chrono::milliseconds configWatchWait {2500};
//! A change reaches the nodes' watches and their reports within this time.
constexpr Duration configSpread = 300ms;
constexpr std::string_view metricsPath = "/metrics";

constexpr unsigned ok = 200;
constexpr unsigned notFound = 404;
constexpr unsigned unavailable = 503;

std::size_t entryConnections(const ServingSettings &settings)
{
    return settings.descriptorLimit > 2 * reservedDescriptors
            ? settings.descriptorLimit - reservedDescriptors
            : settings.descriptorLimit / 2;
}

std::string formatSeries(const std::string &name, const std::string &label,
                         const std::string &value)
{
    return name + "{" + label + "=\"" + value + "\"}";
}

std::string_view pathOf(const RequestMessage &request)
{
    const std::string_view target = toStd(request.target());
    return target.substr(0, target.find('?'));
}

} // namespace

ServingNode::ServingNode(asio::io_context &context, const ServingSettings &settings,
                         ServingEnvironment environment)
    : m_context(context), m_environment(std::move(environment)),
      m_state(context, settings, *m_environment.format), m_exchange(m_state, context),
      m_entry(
              context,
              [this](const Call &call, RequestMessage &&request) {
                  serveRequest(call, std::move(request));
              },
              entryConnections(settings)),
      m_directory(
              context,
              [this](const Call &call, RequestMessage &&request) {
                  serveDirectory(call, request);
              },
              controlConnections),
      m_readiness(
              context,
              [this](const Call &call, RequestMessage &&request) {
                  serveReadiness(call, request);
              },
              controlConnections),
      m_metrics(
              context,
              [this](const Call &call, RequestMessage &&request) {
                  serveMetrics(call, request);
              },
              controlConnections),
      m_nodeStore(m_environment.makeStore()),
      m_duties(m_state, m_environment.makeStore(), *m_environment.dutyCalls),
      m_scaling(m_state, m_duties, *m_environment.dutyCalls),
      m_signals(context, SIGTERM, SIGINT, SIGHUP), m_tickTimer(context), m_stopTimer(context)
{
}

std::optional<std::string> ServingNode::start()
{
    const ServingSettings &settings = m_state.settings;
    const auto open = [](Listener &listener, const Tcp::endpoint &address, std::string_view what) {
        const boost::system::error_code ec = listener.open(address);
        return ec ? std::optional(std::string(what) + ": " + ec.message()) : std::nullopt;
    };
    if (auto reason = open(m_readiness, settings.readinessAddress, "readiness address"))
        return reason;
    if (auto reason = open(m_directory, settings.directoryAddress, "directory address"))
        return reason;
    if (auto reason = open(m_entry, settings.entryAddress, "entry address"))
        return reason;
    if (auto reason = open(m_metrics, settings.metricsAddress, "metrics address"))
        return reason;
    if (const boost::system::error_code ec = m_exchange.open())
        return "exchange port: " + ec.message();
    logEvent(LogLevel::Info, "node.started",
             {{"zone", settings.zone},
              {"entry", settings.entryAddressText},
              {"incarnation", m_state.incarnation},
              {"first_start", settings.isFirstStart}});
    m_start = steadyNow();
    m_configFollower = followConfig();
    m_engineFollower = followEngines();
    m_configFollower->start();
    m_engineFollower->start();
    m_duties.start();
    waitForSignals();
    tick();
    return std::nullopt;
}

std::unique_ptr<StoreFollower> ServingNode::followConfig()
{
    FollowerEvents events;
    events.listed = [this](const std::vector<StoredObject> &objects, std::optional<Timestamp>) {
        for (const StoredObject &object : objects)
            takeConfig(object);
    };
    events.changed = [this](const StoredObject &object, std::optional<Timestamp>) {
        takeConfig(object);
    };
    return std::make_unique<StoreFollower>(
            m_context, m_environment.makeStore(), m_environment.configKind,
            [this] {
                return m_state.peers.newestConfigVersion(steadyNow()) > 0 ? configWatchWait
                                                                          : shortWatchWait;
            },
            std::move(events));
}

std::unique_ptr<StoreFollower> ServingNode::followEngines()
{
    FollowerEvents events;
    events.listed = [this](const std::vector<StoredObject> &objects,
                           std::optional<Timestamp> graceEnd) {
        std::vector<EngineEntry> entries;
        for (const StoredObject &object : objects) {
            if (const auto entry = m_environment.readEngine(object.name, object.content.get()))
                entries.push_back(*entry);
        }
        m_state.engines.replaceAll(entries, graceEnd);
        m_state.enginesListed = true;
        logEvent(LogLevel::Info, "engines.listed",
                 {{"engines", static_cast<std::int64_t>(entries.size())},
                  {"after_outage", graceEnd.has_value()}});
    };
    events.changed = [this](const StoredObject &object, std::optional<Timestamp> graceEnd) {
        takeEngine(object, graceEnd);
    };
    return std::make_unique<StoreFollower>(
            m_context, m_environment.makeStore(), m_environment.engineKind,
            [] {
                return shortWatchWait;
            },
            std::move(events));
}

void ServingNode::takeConfig(const StoredObject &object)
{
    if (object.name != m_environment.configName || object.removed)
        return;
    const auto config = m_environment.readConfig(object.content.get());
    if (!config) {
        logEvent(LogLevel::Error, "config.unreadable",
                 {{"revision", static_cast<std::int64_t>(object.revision)}});
        return;
    }
    m_state.adoptConfig(config);
    const RequestLimits &limits = m_state.config->limits;
    m_entry.setLimits({.headerBytes = limits.headerBytes,
                       .bodyBytes = limits.bodyBytes,
                       .headerTimeout = limits.headerTimeout,
                       .idleTimeout = limits.idleTimeout});
}

void ServingNode::takeEngine(const StoredObject &object, std::optional<Timestamp> graceEnd)
{
    const auto entry = object.removed ? std::nullopt
                                      : m_environment.readEngine(object.name, object.content.get());
    const EngineState *known = m_state.engines.find(object.name);
    const bool wasUsable = known && known->usable;
    if (entry)
        m_state.engines.apply(*entry);
    else if (graceEnd)
        m_state.engines.markMissing(object.name, *graceEnd);
    else
        m_state.engines.remove(object.name);
    const EngineState *now = m_state.engines.find(object.name);
    const bool isUsable = now && now->usable;
    if (wasUsable == isUsable)
        return;
    if (!isUsable)
        m_state.pool.dropIdle(object.name);
    logEvent(LogLevel::Info, isUsable ? "engine.joined" : "engine.left",
             {{"engine", object.name},
              {"removed", object.removed},
              {"revision", static_cast<std::int64_t>(object.revision)}});
}

void ServingNode::serveRequest(const Call &call, RequestMessage &&request)
{
    std::make_shared<RequestRun>(m_state, call, std::move(request))->start();
}

void ServingNode::serveDirectory(const Call &call, const RequestMessage &request)
{
    if (pathOf(request) != m_environment.directoryPath) {
        call->sendAnswer(notFound, {}, "no such call\n");
        return;
    }
    const Timestamp now = steadyNow();
    std::vector<std::string> addresses = m_state.peers.entryAddresses(
            now, now - m_start < acquaintanceTime);
    if (isReady())
        addresses.push_back(m_state.settings.entryAddressText);
    if (addresses.empty()) {
        call->sendAnswer(unavailable, {}, "no node is ready\n");
        return;
    }
    // The largest answer that callers take.
    constexpr std::size_t addressLimit = 64;
    std::shuffle(addresses.begin(), addresses.end(), m_state.random);
    addresses.resize(std::min(addresses.size(), addressLimit));
    HttpFields fields;
    fields.set("Content-Type", "application/json");
    call->sendAnswer(ok, fields, m_environment.formatAddresses(addresses, directoryTtlSeconds));
}

void ServingNode::serveReadiness(const Call &call, const RequestMessage &request)
{
    if (pathOf(request) != m_environment.readyPath)
        call->sendAnswer(notFound, {}, "no such call\n");
    else if (isReady())
        call->sendAnswer(ok, {}, "ready\n");
    else
        call->sendAnswer(unavailable, {}, "not ready\n");
}

void ServingNode::serveMetrics(const Call &call, const RequestMessage &request)
{
    if (pathOf(request) != metricsPath) {
        call->sendAnswer(notFound, {}, "no such call\n");
        return;
    }
    ServingMetrics &metrics = m_state.metrics;
    metrics.setGauge("ready", isReady() ? 1.0 : 0.0);
    metrics.setGauge("config_version",
                     m_state.config ? static_cast<double>(m_state.config->version) : 0.0);
    metrics.setGauge("duties_held", m_duties.isHeld() ? 1.0 : 0.0);
    metrics.setGauge("peers_known", static_cast<double>(m_state.peers.peers().size()));
    metrics.setGauge("quota_silent_share", m_state.peers.silentQuotaShare(steadyNow()));
    metrics.setGauge("open_requests", static_cast<double>(m_entry.openRequests()));
    metrics.setGauge("caller_connections", static_cast<double>(m_entry.connections()));
    metrics.setGauge("log_lines_dropped", static_cast<double>(droppedLogLines()));
    metrics.setGauge(formatSeries("store_reachable", "kind", "configuration"),
                     m_configFollower->isReachable() ? 1.0 : 0.0);
    metrics.setGauge(formatSeries("store_reachable", "kind", "engines"),
                     m_engineFollower->isReachable() ? 1.0 : 0.0);
    std::map<std::string, int> usable;
    for (const auto &[id, engine] : m_state.engines.engines())
        usable[engine.entry.service] += engine.usable ? 1 : 0;
    for (const auto &[service, n] : usable)
        metrics.setGauge(formatSeries("engines_usable", "service", service), n);
    for (const auto &[account, quota] : m_state.quotas)
        metrics.setGauge(formatSeries("quota_level", "account", account), quota.level());
    HttpFields fields;
    fields.set("Content-Type", "text/plain; version=0.0.4");
    call->sendAnswer(ok, fields, metrics.render());
}

bool ServingNode::isReady() const
{
    return !m_state.leaving && m_state.config && m_state.enginesListed;
}

/*!
    Writes this node's address to the store, where nodes find each other.
*/
void ServingNode::announce()
{
    if (m_announced || m_announcing || m_state.leaving)
        return;
    m_announcing = true;
    const JsonPtr content(json_object());
    json_object_set_new(content.get(), "entry",
                        json_string(m_state.settings.entryAddressText.c_str()));
    json_object_set_new(content.get(), "zone", json_string(m_state.settings.zone.c_str()));
    m_nodeStore->create(nodeKind, m_state.settings.node, content.get(),
                        [this](const StoreWrite &written) {
                            m_announcing = false;
                            m_announced = written.status == StoreCallStatus::Ok
                                    || written.status == StoreCallStatus::Conflict;
                        });
}

/*!
    Removes the records of nodes that nobody has heard for long, so that a node that starts later
    does not name them to callers. A node that lives after all writes its record again.
*/
void ServingNode::removeStaleRecords(const std::vector<StoredObject> &listed)
{
    const Timestamp now = steadyNow();
    std::erase_if(m_unheardSince, [&](const auto &item) {
        const PeerNode *peer = m_state.peers.find(item.first);
        return peer && m_state.peers.hasRecentReport(*peer, now);
    });
    // A node without any peer cannot tell whose fault the silence is.
    const bool hasPeers = !m_state.peers.entryAddresses(now, false).empty();
    for (const StoredObject &object : listed) {
        const PeerNode *peer = m_state.peers.find(object.name);
        if (object.removed || object.name == m_state.settings.node
            || (peer && m_state.peers.hasRecentReport(*peer, now)))
            continue;
        const Timestamp since = m_unheardSince.try_emplace(object.name, now).first->second;
        if (!hasPeers || !m_duties.isHeld() || now - since < staleRecordAge)
            continue;
        logEvent(LogLevel::Info, "peer.record_removed", {{"peer", object.name}});
        m_unheardSince.erase(object.name);
        m_nodeStore->remove(nodeKind, object.name, [](const StoreWrite &) {});
    }
}

void ServingNode::listNodes()
{
    m_nodeStore->list(nodeKind, true, [this](const StoreListing &listing) {
        if (listing.status != StoreCallStatus::Ok)
            return;
        const auto isOwn = [this](const StoredObject &object) {
            return object.name == m_state.settings.node && !object.removed;
        };
        m_announced = std::any_of(listing.objects.begin(), listing.objects.end(), isOwn);
        removeStaleRecords(listing.objects);
        for (const StoredObject &object : listing.objects) {
            if (object.name == m_state.settings.node || object.removed)
                continue;
            m_state.peers.addListedNode(object.name, jsonString(object.content.get(), "entry"),
                                        jsonString(object.content.get(), "zone"), steadyNow());
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
    if (now >= m_nextNodeList) {
        const bool alone = m_state.peers.peers().empty();
        m_nextNodeList = now + (alone ? firstNodeListInterval : nodeListInterval);
        listNodes();
        announce();
    }
    for (const std::string &peer : m_state.peers.removeExpired(now)) {
        m_state.trueTime.forgetPeer(peer);
        logEvent(LogLevel::Info, "peer.forgotten", {{"peer", peer}});
    }
    m_state.engines.expire(now);
    m_state.engines.setPeerLoads(m_state.peers.engineLoads(now));
    m_state.crashes.expire(now);
    m_state.pool.trim();
    m_scaling.tick();
    noteClock();
    followPeersConfig();
    m_exchange.setReady(isReady());
    m_exchange.setEngineRevision(m_engineFollower->revision());
    scheduleTick();
}

/*!
    Asks the store for the configuration if a peer has had a newer one for longer than it takes to
    learn of a change: this node's watch has fallen silent.
*/
void ServingNode::followPeersConfig()
{
    const Timestamp now = steadyNow();
    const std::int64_t own = m_state.config ? m_state.config->version : 0;
    const std::int64_t newest = m_state.peers.newestConfigVersion(now);
    if (newest <= own) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    if (now - *m_behindSince < configSpread)
        return;
    m_behindSince = now;
    logEvent(LogLevel::Warning, "config.behind", {{"version", own}, {"peers_version", newest}});
    m_configFollower->refresh();
}

/*!
    Logs by how much the machine's clock differs from the nodes' common time when that changes, so
    that lines of several nodes can be put in order.
*/
void ServingNode::noteClock()
{
    const std::int64_t offset = m_state.trueTime.now(bootMillis()) - wallNow();
    if (std::abs(offset - m_clockOffset) < noticedClockChange)
        return;
    m_clockOffset = offset;
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
            beginStop();
        waitForSignals();
    });
}

/*!
    Withdraws from the directory, serves on while callers may still hold an old answer of it, then
    closes the entry and ends when the last request is answered.
*/
void ServingNode::beginStop()
{
    if (m_state.leaving)
        return;
    m_state.leaving = true;
    m_stopStart = steadyNow();
    m_duties.withdraw();
    m_exchange.setReady(false);
    m_exchange.sendReports();
    m_entry.announceClose();
    logEvent(LogLevel::Info, "node.stopping",
             {{"open_requests", static_cast<std::int64_t>(m_entry.openRequests())}});
    finishStop();
}

void ServingNode::finishStop()
{
    const Timestamp now = steadyNow();
    const Duration grace = m_state.settings.stopGrace;
    const Timestamp closing = m_stopStart + std::min(withdrawalTime, grace - closingReserve);
    const bool isIdle = m_entry.openRequests() == 0;
    if (!m_entryClosed && now >= closing) {
        m_entryClosed = true;
        m_entry.close();
    }
    if ((m_entryClosed && isIdle) || now >= m_stopStart + grace - exitReserve) {
        m_exchange.sendReports();
        logEvent(LogLevel::Info, "node.stopped",
                 {{"open_requests", static_cast<std::int64_t>(m_entry.openRequests())}});
        m_context.stop();
        return;
    }
    m_stopTimer.expires_after(tickInterval);
    m_stopTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            finishStop();
    });
}

} // namespace sesame
