#include "Core/enginerouter.h"

#include "Core/lastreason.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace sesame {

namespace {

constexpr double gapWeight = 0.5; // A gap in the events may hide an eviction.

bool isExcluded(const RouteQuery &query, const std::string &id)
{
    return std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
}

double milliseconds(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

EngineRouter::EngineRouter(EngineRouterOptions options) : m_options(options) { }

bool EngineRouter::hasRoom(const EngineView &engine, std::uint32_t liveNodes)
{
    const std::uint32_t part = std::max(1U, engine.slots / std::max(1U, liveNodes));
    if (engine.ownInFlight < part)
        return true;
    const std::uint32_t reported = engine.queued + engine.running;
    if (reported >= engine.slots)
        return false;
    // The other nodes see the same free slots until the next report.
    const std::uint32_t nodes = std::max(1U, liveNodes);
    const std::uint32_t free = (engine.slots - reported + nodes - 1) / nodes;
    return engine.ownSends < free;
}

double EngineRouter::hintWeight(const EngineHints &hints, Timestamp learned, Timestamp now) const
{
    const double age = static_cast<double>((now - learned).count());
    const double weight = std::exp2(-age / static_cast<double>(m_options.hintHalfLife.count()));
    return learned < hints.lastGap ? weight * gapWeight : weight;
}

double EngineRouter::cachedShare(const std::string &engine, std::span<const std::uint64_t> blocks,
                                 Timestamp now) const
{
    const auto hints = m_hints.find(engine);
    if (!m_options.usePrefixHints || blocks.empty() || hints == m_hints.end())
        return 0.0;
    double weight = 1.0;
    double sum = 0.0;
    // A block is useful only if every block before it is cached too.
    for (const std::uint64_t block : blocks) {
        const auto it = hints->second.learned.find(block);
        if (it == hints->second.learned.end())
            break;
        weight = std::min(weight, hintWeight(hints->second, it->second, now));
        sum += weight;
    }
    return sum / static_cast<double>(blocks.size());
}

double EngineRouter::scoreMs(const RouteQuery &query, const EngineView &engine, double averagePrice,
                             RouteChoice &choice, Timestamp now) const
{
    const double cached = cachedShare(engine.id, query.blocks, now) * query.promptTokens;
    const double rate = std::max(1.0, engine.prefillTokensPerSecond);
    const double prefill = (query.promptTokens - cached + engine.ownPrefillTokens) / rate * 1000.0;
    const std::uint32_t busy = engine.queued + engine.running + engine.ownSends;
    double wait = 0.0;
    if (busy >= engine.slots) {
        const double service = engine.tokenMs * query.outputTokens;
        wait = (busy - engine.slots + 1) * service / std::max(1U, engine.slots);
    }
    const double firstToken = wait + prefill + engine.tokenMs;
    choice.firstToken = Duration(static_cast<std::int64_t>(firstToken * 1000.0));
    choice.cachedTokens = static_cast<std::uint32_t>(cached);
    choice.sameZone = engine.zone == query.entryZone;
    const double price = averagePrice > 0.0 ? engine.pricePerHour / averagePrice : 0.0;
    return firstToken + price * m_options.priceWeightMs[static_cast<std::size_t>(query.rank)]
            + engine.zoneRisk * m_options.riskWeightMs
            // An old report says little; prefer the engine that is known better.
            + milliseconds(engine.reportAge) * 0.01;
}

std::optional<RouteChoice> EngineRouter::choose(const RouteQuery &query,
                                                std::span<const EngineView> candidates,
                                                Timestamp now) const
{
    double priceSum = 0.0;
    for (const EngineView &engine : candidates)
        priceSum += engine.pricePerHour;
    std::optional<RouteChoice> best;
    double bestScore = 0.0;
    bool any = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EngineView &engine = candidates[i];
        if (isExcluded(query, engine.id))
            continue;
        any = true;
        if (!hasRoom(engine, query.liveNodes))
            continue;
        RouteChoice choice {.engine = i};
        const double average = priceSum / static_cast<double>(candidates.size());
        const double score = scoreMs(query, engine, average, choice, now);
        const bool zoneDiffers = best && m_options.useZoneRule && choice.sameZone != best->sameZone;
        if (!best || (zoneDiffers ? best->sameZone : score < bestScore)) {
            best = choice;
            bestScore = score;
        }
    }
    if (best)
        return best;
    if (any)
        return fail(ResultCode::Overloaded, "no model engine has room");
    return fail(ResultCode::NoBackendServer, "no usable model engine");
}

void EngineRouter::recordSend(const std::string &engine, std::span<const std::uint64_t> blocks,
                              Timestamp now)
{
    EngineHints &hints = m_hints[engine];
    for (const std::uint64_t block : blocks)
        hints.learned[block] = now;
    trim(hints);
}

void EngineRouter::applyCacheEvents(const std::string &engine, std::span<const CacheEvent> events,
                                    Timestamp now)
{
    EngineHints &hints = m_hints[engine];
    for (const CacheEvent &event : events) {
        if (event.sequence <= hints.lastSequence)
            continue;
        if (hints.lastSequence != 0 && event.sequence != hints.lastSequence + 1)
            hints.lastGap = now;
        hints.lastSequence = event.sequence;
        if (event.added)
            hints.learned[event.block] = now;
        else
            hints.learned.erase(event.block);
    }
    trim(hints);
}

/*!
    Drops the oldest quarter when there are too many hints, which keeps the cost of
    trimming constant per learned hint.
*/
void EngineRouter::trim(EngineHints &hints) const
{
    if (hints.learned.size() <= m_options.hintsPerEngine)
        return;
    std::vector<Timestamp> ages;
    ages.reserve(hints.learned.size());
    for (const auto &[block, learned] : hints.learned)
        ages.push_back(learned);
    const auto quarter = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 4);
    std::nth_element(ages.begin(), quarter, ages.end());
    const Timestamp oldest = *quarter;
    std::erase_if(hints.learned, [&](const auto &hint) {
        return hint.second <= oldest;
    });
}

void EngineRouter::forget(const std::string &engine)
{
    m_hints.erase(engine);
}

} // namespace sesame
