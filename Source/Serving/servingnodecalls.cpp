// The calls that a node answers itself: directory, readiness and metrics.
#include "Adapter/log.h"
#include "Serving/clientlimits.h"
#include "Serving/clocks.h"
#include "Serving/servingnode.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Time to live of a directory response.
constexpr double directoryTtlSeconds = 2.0;
//! A node that has just started knows its peers only from the object store. After this time, it has
//! received reports of those that are running.
constexpr Duration peerDiscoveryTime = 1s;
constexpr std::string_view metricsPath = "/metrics";
constexpr unsigned ok = 200;
constexpr unsigned notFound = 404;
constexpr unsigned unavailable = 503;

std::string formatSeries(const std::string &name, const std::string &label,
                         const std::string &value)
{
    return name + "{" + formatLabel(label, value) + "}";
}

std::string_view pathOf(const RequestMessage &request)
{
    const std::string_view target = toStd(request.target());
    return target.substr(0, target.find('?'));
}

} // namespace

void ServingNode::serveDirectory(const CallerConnection &connection, const RequestMessage &request)
{
    if (pathOf(request) != m_environment.directoryPath) {
        connection->sendResponse(notFound, {}, "no such call\n");
        return;
    }
    const Timestamp now = steadyNow();
    std::vector<std::string> addresses = m_state.peers.entryAddresses(
            now, now - m_startTime < peerDiscoveryTime);
    if (isReady())
        addresses.push_back(m_state.settings.entryAddressText);
    if (addresses.empty()) {
        connection->sendResponse(unavailable, {}, "no node is ready\n");
        return;
    }
    // Callers accept at most this many addresses.
    constexpr std::size_t addressLimit = 64;
    std::shuffle(addresses.begin(), addresses.end(), m_state.random);
    addresses.resize(std::min(addresses.size(), addressLimit));
    HttpFields fields;
    fields.set("Content-Type", "application/json");
    connection->sendResponse(ok, fields,
                             m_environment.formatAddresses(addresses, directoryTtlSeconds));
}

void ServingNode::serveReadiness(const CallerConnection &connection, const RequestMessage &request)
{
    if (pathOf(request) != m_environment.readyPath)
        connection->sendResponse(notFound, {}, "no such call\n");
    else if (isReady())
        connection->sendResponse(ok, {}, "ready\n");
    else
        connection->sendResponse(unavailable, {}, "not ready\n");
}

void ServingNode::serveMetrics(const CallerConnection &connection, const RequestMessage &request)
{
    if (pathOf(request) != metricsPath) {
        connection->sendResponse(notFound, {}, "no such call\n");
        return;
    }
    ServingMetrics &metrics = m_state.metrics;
    metrics.setGauge("ready", isReady() ? 1.0 : 0.0);
    metrics.setGauge("config_version",
                     m_state.config ? static_cast<double>(m_state.config->version) : 0.0);
    metrics.setGauge("duties_held", m_dutyCoordinator.isHolder() ? 1.0 : 0.0);
    metrics.setGauge("peers_known", static_cast<double>(m_state.peers.peers().size()));
    metrics.setGauge("prompt_refusals",
                     static_cast<double>(m_state.promptCrashes.refusals().size()));
    metrics.setGauge("quota_silent_share", m_state.quotaShares.silentShare());
    metrics.setGauge("open_requests", static_cast<double>(m_entryListener.openRequests()));
    metrics.setGauge("caller_connections", static_cast<double>(m_entryListener.connections()));
    setClientMetrics(metrics, *m_state.clientMemory);
    metrics.setGauge("log_lines_dropped", static_cast<double>(droppedLogLines()));
    metrics.setGauge(formatSeries("store_reachable", "kind", "configuration"),
                     m_configWatcher->isReachable() ? 1.0 : 0.0);
    metrics.setGauge(formatSeries("store_reachable", "kind", "engines"),
                     m_engineWatcher->isReachable() ? 1.0 : 0.0);
    std::map<std::string, int> usable;
    std::map<std::string, int> leaving;
    std::map<std::string, int> paused;
    for (const auto &[id, engine] : m_state.engines.engines()) {
        const std::string &service = engine.entry.service;
        const auto withholding = m_state.engineNotices.withholding(
                {.id = id, .incarnation = engine.entry.incarnation}, bootNow());
        usable[service] += engine.usable ? 1 : 0;
        leaving[service] += withholding && withholding->isLeaving ? 1 : 0;
        paused[service] += withholding && !withholding->isLeaving ? 1 : 0;
    }
    for (const auto &[service, n] : usable) {
        metrics.setGauge(formatSeries("engines_usable", "service", service), n);
        metrics.setGauge(formatSeries("engines_leaving", "service", service), leaving[service]);
        metrics.setGauge(formatSeries("engines_paused", "service", service), paused[service]);
    }
    for (const wire::RolloutStep &step : m_state.rollouts.book.steps()) {
        metrics.setGauge(formatSeries("rollout_state", "service", step.serviceName), step.state);
        metrics.setGauge(formatSeries("rollout_share", "service", step.serviceName),
                         static_cast<double>(step.share) / RolloutBook::wholeShare);
    }
    for (const auto &[account, quota] : m_state.quotas)
        metrics.setGauge(formatSeries("quota_level", "account", account), quota.level());
    if (m_state.waiting)
        m_state.waiting->updateMetrics();
    HttpFields fields;
    fields.set("Content-Type", "text/plain; version=0.0.4");
    connection->sendResponse(ok, fields, metrics.render());
}

} // namespace sesame
