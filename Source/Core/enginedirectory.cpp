#include "Core/enginedirectory.h"

#include <algorithm>
#include <unordered_set>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr Duration firstAvoidance = 250ms;
constexpr Duration longestAvoidance = 2s;
//! An engine that refused for lack of room frees a place within a few steps of its batch.
constexpr Duration fullAvoidance = 40ms;
//! Weight of the newest request in the moving averages.
constexpr double averageWeight = 0.1;

} // namespace

void EngineDirectory::replaceAll(const std::vector<EngineEntry> &entries,
                                 std::optional<Timestamp> graceEnd)
{
    std::unordered_set<std::string> listed;
    for (const EngineEntry &entry : entries) {
        listed.insert(entry.id);
        apply(entry);
    }
    std::vector<std::string> missing;
    for (auto &[id, engine] : m_engines) {
        if (listed.contains(id) || !engine.usable)
            continue;
        missing.push_back(id);
    }
    for (const std::string &id : missing) {
        if (m_engines[id].missingUntil != Timestamp {})
            continue;
        if (graceEnd)
            markMissing(id, *graceEnd);
        else
            remove(id);
    }
}

void EngineDirectory::apply(const EngineEntry &entry)
{
    EngineState &engine = m_engines[entry.id];
    const bool reborn = engine.entry.incarnation != entry.incarnation
            || engine.entry.address != entry.address;
    if (reborn) {
        engine.avoidUntil = {};
        engine.failures = 0;
        engine.errorShare = 0.0;
    }
    engine.entry = entry;
    engine.usable = !entry.draining;
    engine.missingUntil = {};
}

void EngineDirectory::remove(const std::string &id)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end())
        return;
    found->second.usable = false;
    forgetIfUnused(id);
}

void EngineDirectory::markMissing(const std::string &id, Timestamp graceEnd)
{
    EngineState *engine = find(id);
    if (engine && engine->missingUntil == Timestamp {})
        engine->missingUntil = graceEnd;
}

void EngineDirectory::expire(Timestamp now)
{
    std::vector<std::string> gone;
    for (const auto &[id, engine] : m_engines) {
        if (engine.missingUntil != Timestamp {} && now >= engine.missingUntil)
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        remove(id);
}

std::vector<EngineState *> EngineDirectory::usable(const std::string &service)
{
    std::vector<EngineState *> found;
    for (auto &[id, engine] : m_engines) {
        if (engine.usable && engine.entry.service == service)
            found.push_back(&engine);
    }
    return found;
}

EngineState *EngineDirectory::find(const std::string &id)
{
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? nullptr : &found->second;
}

void EngineDirectory::addLoad(const std::string &id, EngineLoad load)
{
    if (EngineState *engine = find(id)) {
        engine->own.requests += load.requests;
        engine->own.tokens += load.tokens;
    }
}

void EngineDirectory::removeLoad(const std::string &id, EngineLoad load)
{
    EngineState *engine = find(id);
    if (!engine)
        return;
    engine->own.requests -= load.requests;
    engine->own.tokens -= load.tokens;
    if (!engine->usable)
        forgetIfUnused(id);
}

void EngineDirectory::setPeerLoads(const std::unordered_map<std::string, EngineLoad> &loads)
{
    for (auto &[id, engine] : m_engines) {
        const auto found = loads.find(id);
        engine.peers = found == loads.end() ? EngineLoad {} : found->second;
    }
}

void EngineDirectory::recordConnectFailure(const std::string &id, Timestamp now)
{
    EngineState *engine = find(id);
    if (!engine)
        return;
    // Several requests fail together when an engine goes; they count as one failure.
    if (now < engine->avoidUntil)
        return;
    const Duration wait = std::min(firstAvoidance * (1 << std::min(engine->failures, 8)),
                                   longestAvoidance);
    ++engine->failures;
    engine->avoidUntil = now + wait;
}

void EngineDirectory::recordAnswer(const std::string &id, bool success, Duration firstByte)
{
    EngineState *engine = find(id);
    if (!engine)
        return;
    engine->errorShare += averageWeight * ((success ? 0.0 : 1.0) - engine->errorShare);
    if (!success)
        return;
    engine->failures = 0;
    const double ms = std::chrono::duration<double, std::milli>(firstByte).count();
    engine->answerMs += averageWeight * (ms - engine->answerMs);
}

void EngineDirectory::recordFull(const std::string &id, Timestamp now)
{
    if (EngineState *engine = find(id))
        engine->avoidUntil = std::max(engine->avoidUntil, now + fullAvoidance);
}

void EngineDirectory::forgetIfUnused(const std::string &id)
{
    const auto found = m_engines.find(id);
    if (found != m_engines.end() && found->second.own.requests == 0)
        m_engines.erase(found);
}

} // namespace sesame
