#include "Core/backendtable.h"

#include "Core/invariant.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace sesame {

namespace {

bool isEngineOfClass(const ListedInstance &listed, std::span<const std::string> classes)
{
    return listed.kind == InstanceKind::Engine
            && std::find(classes.begin(), classes.end(), listed.className) != classes.end();
}

bool mayHaveLoaded(const std::optional<LoadReport> &report, std::string_view model)
{
    return !report || report->models.empty()
            || std::find(report->models.begin(), report->models.end(), model)
            != report->models.end();
}

Rumour makeLeaveRumour(std::string_view id, std::int64_t incarnation, std::string_view detail)
{
    return {.kind = RumourKind::BackendLeaving,
            .subject = std::string(id),
            .incarnation = incarnation,
            .detail = std::string(detail)};
}

} // namespace

BackendTable::BackendTable(BackendOptions options) : m_options(options) { }

std::vector<Rumour> BackendTable::applyList(std::span<const ListedInstance> list, Timestamp now)
{
    std::vector<Rumour> rumours;
    std::set<std::string_view> ids;
    for (const ListedInstance &listed : list) {
        if (listed.kind == InstanceKind::Entry)
            continue;
        ids.insert(listed.id);
        applyListed(listed, now, rumours);
    }
    for (auto &[id, server] : m_servers) {
        if (list.empty() || server.state == BackendState::Gone || ids.contains(id))
            continue;
        server.state = BackendState::Gone;
        server.stateSince = now;
    }
    removeExpired(now);
    return rumours;
}

void BackendTable::applyListed(const ListedInstance &listed, Timestamp now,
                               std::vector<Rumour> &rumours)
{
    Server *server = findServer(listed.id);
    if (!server)
        server = &addServer(listed, now);
    if (listed.incarnation < server->listed.incarnation)
        return;
    if (listed.incarnation > server->listed.incarnation)
        startIncarnation(*server, listed.incarnation, now);
    server->listed = listed;
    if (listed.leaving && recordLeave(listed.id, listed.incarnation, now))
        rumours.push_back(makeLeaveRumour(listed.id, listed.incarnation, {}));
    if (server->state == BackendState::Gone) {
        server->stateSince = now;
        server->state = isLeaving(listed.id, listed.incarnation) ? BackendState::Leaving
                                                                 : BackendState::Active;
    }
}

BackendTable::Server &BackendTable::addServer(const ListedInstance &listed, Timestamp now)
{
    Server &server = m_servers[listed.id];
    server.listed = listed;
    startIncarnation(server, listed.incarnation, now);
    return server;
}

// Resets the health and load values of the server. Calls in flight belong to the old incarnation
// and are no longer counted.
void BackendTable::startIncarnation(Server &server, std::int64_t incarnation, Timestamp now)
{
    server.listed.incarnation = incarnation;
    server.stateSince = now;
    server.report.reset();
    server.callsSinceReport.clear();
    server.inFlight = 0;
    server.consecutiveFailures = 0;
    server.healthy = true;
    server.recoveringSince.reset();
    setFullShare(server, true);
    const auto it = m_leaves.find(server.listed.id);
    if (it != m_leaves.end() && now < it->second.appliesUntil)
        it->second.highestIncarnation = std::max(it->second.highestIncarnation, incarnation);
    server.state = isLeaving(server.listed.id, incarnation) ? BackendState::Leaving
                                                            : BackendState::Active;
}

std::vector<Rumour> BackendTable::applyNotice(const ReclaimNotice &notice, Timestamp now,
                                              WallMillis wallNow)
{
    std::vector<std::string> ids;
    if (!notice.instance.empty())
        ids.push_back(notice.instance);
    for (const auto &[id, server] : m_servers) {
        if (notice.instance.empty() && server.listed.zone == notice.zone)
            ids.push_back(id);
    }
    std::vector<Rumour> rumours;
    for (const std::string &id : ids) {
        const Server *server = findServer(id);
        const std::int64_t incarnation = server ? server->listed.incarnation : 0;
        if (recordReclaim(id, incarnation, noticeDuration(notice.deadline, wallNow), now))
            rumours.push_back(makeLeaveRumour(id, incarnation, std::to_string(notice.deadline)));
    }
    return rumours;
}

void BackendTable::applyRumour(const Rumour &rumour, Timestamp now, WallMillis wallNow)
{
    if (rumour.kind != RumourKind::BackendLeaving)
        return;
    WallMillis deadline = 0;
    const std::string &detail = rumour.detail;
    std::from_chars(detail.data(), detail.data() + detail.size(), deadline);
    recordReclaim(rumour.subject, rumour.incarnation, noticeDuration(deadline, wallNow), now);
}

Duration BackendTable::noticeDuration(WallMillis deadline, WallMillis wallNow) const
{
    const Duration limit = m_options.maxNoticeDuration;
    if (deadline <= wallNow)
        return Duration::zero();
    if (deadline - wallNow > std::chrono::duration_cast<std::chrono::milliseconds>(limit).count())
        return limit;
    return std::chrono::milliseconds(deadline - wallNow);
}

std::optional<Rumour> BackendTable::applyReport(std::string_view id, const LoadReport &report,
                                                Timestamp now)
{
    Server *server = findServer(id);
    if (!server || report.incarnation < server->listed.incarnation)
        return std::nullopt;
    if (report.incarnation > server->listed.incarnation)
        startIncarnation(*server, report.incarnation, now);
    server->report = report;
    server->measuredAt = now - report.age;
    while (!server->callsSinceReport.empty()
           && server->callsSinceReport.front() <= server->measuredAt)
        server->callsSinceReport.pop_front();
    recordHealth(id, HealthResult::Success, now);
    if (!report.leaving)
        return std::nullopt;
    return markLeaving(id, report.incarnation, now);
}

std::optional<Rumour> BackendTable::markLeaving(std::string_view id, std::int64_t incarnation,
                                                Timestamp now)
{
    if (!recordLeave(id, incarnation, now))
        return std::nullopt;
    return makeLeaveRumour(id, incarnation, {});
}

bool BackendTable::recordLeave(std::string_view id, std::int64_t incarnation, Timestamp now)
{
    const auto [it, inserted] = m_leaves.try_emplace(
            std::string(id),
            Leave {.highestIncarnation = incarnation, .recordedAt = now, .appliesUntil = {}});
    if (!inserted && incarnation <= it->second.highestIncarnation)
        return false;
    it->second.highestIncarnation = incarnation;
    it->second.recordedAt = now;
    Server *server = findServer(id);
    if (server && server->state == BackendState::Active
        && server->listed.incarnation <= incarnation) {
        server->state = BackendState::Leaving;
        server->stateSince = now;
    }
    return true;
}

// The whole instance is reclaimed, so every incarnation that starts on it until the deadline is
// leaving. This includes the incarnation known here, because the list may lag and the notice may
// name an older one.
bool BackendTable::recordReclaim(std::string_view id, std::int64_t incarnation, Duration duration,
                                 Timestamp now)
{
    const Server *server = findServer(id);
    if (server && duration > Duration::zero())
        incarnation = std::max(incarnation, server->listed.incarnation);
    const bool isNewLeave = recordLeave(id, incarnation, now);
    Leave &leave = m_leaves.find(id)->second;
    if (now + duration <= leave.appliesUntil)
        return isNewLeave;
    // A small extension caused by wall clock rounding is not reported as a new leave.
    const bool wasApplying = leave.appliesUntil > now;
    leave.appliesUntil = now + duration;
    return isNewLeave || !wasApplying;
}

bool BackendTable::isLeaving(std::string_view id, std::int64_t incarnation) const
{
    const auto it = m_leaves.find(id);
    return it != m_leaves.end() && incarnation <= it->second.highestIncarnation;
}

void BackendTable::recordHealth(std::string_view id, HealthResult health, Timestamp now)
{
    Server *server = findServer(id);
    if (!server || health == HealthResult::Neutral)
        return;
    if (health == HealthResult::Success) {
        server->consecutiveFailures = 0;
        if (!server->healthy) {
            server->healthy = true;
            server->recoveringSince = now;
        }
        updateShare(*server, now);
        return;
    }
    // During recovery a single failure makes the server unhealthy again, because the grace period
    // requires continuous health.
    ++server->consecutiveFailures;
    if (server->consecutiveFailures >= m_options.unhealthyThreshold || server->recoveringSince) {
        server->healthy = false;
        server->recoveringSince.reset();
        setFullShare(*server, false);
    }
}

void BackendTable::updateShare(Server &server, Timestamp now)
{
    if (!server.recoveringSince || now - *server.recoveringSince < m_options.recoveryGrace)
        return;
    server.recoveringSince.reset();
    setFullShare(server, true);
}

void BackendTable::setFullShare(Server &server, bool isFull)
{
    m_shareChanges += server.hasFullShare == isFull ? 0 : 1;
    server.hasFullShare = isFull;
}

template <typename Predicate>
std::vector<BackendView> BackendTable::selectUsable(Predicate matches, Timestamp now)
{
    std::vector<BackendView> healthy;
    std::vector<BackendView> unhealthy;
    for (auto &[id, server] : m_servers) {
        if (server.state != BackendState::Active || !matches(server) || !mayReceive(server, now))
            continue;
        requireInvariant(!isLeaving(id, server.listed.incarnation),
                         "a leaving incarnation is never usable");
        updateShare(server, now);
        (server.healthy ? healthy : unhealthy).push_back(makeView(server, now));
    }
    if (!healthy.empty())
        return healthy;
    // If all servers seem unhealthy, the fault is more likely at this node.
    for (BackendView &it : unhealthy)
        it.loadShare = 1.0;
    return unhealthy;
}

std::vector<BackendView> BackendTable::usableEngines(std::string_view model,
                                                     std::span<const std::string> classes,
                                                     Timestamp now)
{
    return selectUsable(
            [&](const Server &server) {
                return isEngineOfClass(server.listed, classes)
                        && mayHaveLoaded(server.report, model);
            },
            now);
}

std::vector<BackendView> BackendTable::usableServices(std::string_view service, Timestamp now)
{
    return selectUsable(
            [&](const Server &server) {
                return server.listed.kind == InstanceKind::Service
                        && server.listed.service == service;
            },
            now);
}

std::vector<BackendView> BackendTable::engines(Timestamp now) const
{
    std::vector<BackendView> views;
    for (const auto &[id, server] : m_servers) {
        if (server.listed.kind == InstanceKind::Engine && server.state != BackendState::Gone)
            views.push_back(makeView(server, now));
    }
    return views;
}

bool BackendTable::beginCall(std::string_view id, std::int64_t incarnation, Timestamp now)
{
    Server *server = findServer(id);
    if (!server || server->state != BackendState::Active
        || server->listed.incarnation != incarnation || !mayReceive(*server, now))
        return false;
    requireInvariant(!isLeaving(id, incarnation), "a leaving incarnation receives no new call");
    ++server->inFlight;
    server->callsSinceReport.push_back(now);
    return true;
}

void BackendTable::endCall(std::string_view id, std::int64_t incarnation, HealthResult health,
                           Timestamp now)
{
    Server *server = findServer(id);
    if (!server || server->listed.incarnation != incarnation)
        return;
    if (server->inFlight > 0)
        --server->inFlight;
    if (health == HealthResult::Success)
        m_notices.recordAnswer({.id = id, .incarnation = incarnation}, now);
    recordHealth(id, health, now);
}

Duration BackendTable::recordPause(std::string_view id, std::int64_t incarnation, Duration wait,
                                   double random, Timestamp now)
{
    return m_notices.recordPause({.id = id, .incarnation = incarnation}, wait, random, now);
}

/*!
    Returns whether \a server may receive another call after what it has asked for.
*/
bool BackendTable::mayReceive(const Server &server, Timestamp now) const
{
    const int limit = m_notices.requestLimit(
            {.id = server.listed.id, .incarnation = server.listed.incarnation}, now);
    return server.inFlight < static_cast<std::uint32_t>(limit);
}

std::optional<BackendState> BackendTable::state(std::string_view id) const
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return std::nullopt;
    return it->second.state;
}

BackendTable::Server *BackendTable::findServer(std::string_view id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

BackendView BackendTable::makeView(const Server &server, Timestamp now) const
{
    return {.id = server.listed.id,
            .incarnation = server.listed.incarnation,
            .className = server.listed.className,
            .address = server.listed.address,
            .zone = server.listed.zone,
            .market = server.listed.market,
            .pricePerHour = server.listed.pricePerHour,
            .report = server.report,
            .reportAge = server.report ? now - server.measuredAt : Duration::zero(),
            .sentSinceReport = static_cast<std::uint32_t>(server.callsSinceReport.size()),
            .inFlight = server.inFlight,
            .loadShare = server.hasFullShare ? 1.0 : m_options.recoveringShare};
}

// A leave is kept as long as its server is listed, because the list may lag for any length of time.
void BackendTable::removeExpired(Timestamp now)
{
    std::erase_if(m_servers, [&](const auto &entry) {
        return entry.second.state == BackendState::Gone
                && now - entry.second.stateSince > m_options.goneRetention;
    });
    std::erase_if(m_leaves, [&](const auto &entry) {
        return now - entry.second.recordedAt > m_options.goneRetention
                && !m_servers.contains(entry.first);
    });
}

} // namespace sesame
