#include "Core/enginedirectory.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr Duration initialAvoidTime = 250ms;
constexpr Duration maxAvoidTime = 2s;
//! An engine that refused a request for lack of capacity frees a slot within a few steps of its
//! batch.
constexpr Duration noCapacityAvoidTime = 40ms;
//! Time for which the load that an engine stated is newer than the reports of other nodes.
constexpr Duration statedLoadLifetime = 500ms;
//! Time over which the unread tokens of the other nodes are averaged.
constexpr Duration unreadAverageTime = 1s;
//! Weight of the newest request in the moving averages.
constexpr double newestSampleWeight = 0.1;

} // namespace

void EngineDirectory::update(const EngineEntry &entry)
{
    EngineState &engine = m_engines[entry.id];
    const bool isNewIncarnation = engine.entry.incarnation != entry.incarnation
            || engine.entry.address != entry.address;
    if (isNewIncarnation) {
        engine.avoidUntil = {};
        engine.connectFailures = 0;
        engine.failureRate = 0.0;
        engine.delay = {};
        engine.knownSince = {};
    }
    engine.entry = entry;
    engine.usable = !entry.draining;
}

void EngineDirectory::remove(const std::string &id)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end())
        return;
    found->second.usable = false;
    removeIfUnused(id);
}

std::vector<EngineState *> EngineDirectory::findUsable(const std::string &service)
{
    std::vector<EngineState *> usableEngines;
    for (auto &[id, engine] : m_engines) {
        if (engine.usable && engine.entry.service == service)
            usableEngines.push_back(&engine);
    }
    return usableEngines;
}

EngineState *EngineDirectory::find(const std::string &id)
{
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? nullptr : &found->second;
}

int EngineState::requests(Timestamp now) const
{
    const int counted = ownLoad.requests + peerLoad.requests;
    return statedAt != Timestamp {} && now - statedAt < statedLoadLifetime
            ? std::max(counted, statedLoad.requests())
            : counted;
}

void EngineState::setPeerLoad(const EngineLoad &load, Timestamp now)
{
    const double age = std::chrono::duration<double>(now - peerLoadAt).count();
    const double kept = peerLoadAt == Timestamp {}
            ? 0.0
            : std::exp(-age / std::chrono::duration<double>(unreadAverageTime).count());
    usualPeerUnread = kept * usualPeerUnread
            + (1.0 - kept) * static_cast<double>(load.unreadTokens);
    if (knownSince == Timestamp {})
        knownSince = now;
    peerLoad = load;
    peerLoadAt = now;
    delay.addPeerSums(load.delay, now);
}

void EngineDirectory::recordStatedLoad(const std::string &id, const StatedLoad &load, Timestamp now)
{
    if (EngineState *engine = find(id)) {
        engine->statedLoad = load;
        engine->statedAt = now;
        if (load.delayPercent)
            engine->delay.recordStated(*load.delayPercent, now);
    }
}

void EngineDirectory::addLoad(const std::string &id, EngineLoad load)
{
    if (EngineState *engine = find(id)) {
        engine->ownLoad.requests += load.requests;
        engine->ownLoad.tokens += load.tokens;
        engine->ownLoad.unreadTokens += load.unreadTokens;
    }
}

void EngineDirectory::removeLoad(const std::string &id, EngineLoad load)
{
    EngineState *engine = find(id);
    if (!engine)
        return;
    engine->ownLoad.requests -= load.requests;
    engine->ownLoad.tokens -= load.tokens;
    engine->ownLoad.unreadTokens -= load.unreadTokens;
    if (!engine->usable)
        removeIfUnused(id);
}

void EngineDirectory::removeUnread(const std::string &id, std::int64_t tokens)
{
    if (EngineState *engine = find(id))
        engine->ownLoad.unreadTokens -= tokens;
}

void EngineDirectory::setPeerLoads(const std::unordered_map<std::string, EngineLoad> &loads,
                                   Timestamp now)
{
    for (auto &[id, engine] : m_engines) {
        const auto found = loads.find(id);
        engine.setPeerLoad(found == loads.end() ? EngineLoad {} : found->second, now);
    }
}

void EngineDirectory::recordConnectFailure(const std::string &id, Timestamp now)
{
    EngineState *engine = find(id);
    if (!engine)
        return;
    // When an engine stops, several connections fail at the same time; they count as one failure.
    if (now < engine->avoidUntil)
        return;
    const Duration avoidTime = std::min(
            initialAvoidTime * (1 << std::min(engine->connectFailures, 8)), maxAvoidTime);
    ++engine->connectFailures;
    engine->avoidUntil = now + avoidTime;
}

void EngineDirectory::recordAnswer(const std::string &id, bool success, Duration firstByte)
{
    EngineState *engine = find(id);
    if (!engine)
        return;
    engine->failureRate += newestSampleWeight * ((success ? 0.0 : 1.0) - engine->failureRate);
    if (!success)
        return;
    engine->connectFailures = 0;
    const double ms = std::chrono::duration<double, std::milli>(firstByte).count();
    engine->firstByteMs += newestSampleWeight * (ms - engine->firstByteMs);
}

void EngineDirectory::recordNoCapacity(const std::string &id, Timestamp now)
{
    if (EngineState *engine = find(id))
        engine->avoidUntil = std::max(engine->avoidUntil, now + noCapacityAvoidTime);
}

void EngineDirectory::removeIfUnused(const std::string &id)
{
    const auto found = m_engines.find(id);
    if (found != m_engines.end() && found->second.ownLoad.requests == 0)
        m_engines.erase(found);
}

} // namespace sesame
