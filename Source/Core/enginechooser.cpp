#include "Core/enginechooser.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sesame {

EngineChoice EngineChooser::choose(std::span<EngineState *const> candidates, const WorkSize &work,
                                   std::int64_t memoryTokens, std::string_view zone,
                                   std::span<const std::string> tried, Timestamp now) const
{
    EngineChoice best;
    best.failure = EngineChoiceFailure::NoEngine;
    const std::vector<const EngineState *> homes = findHomes(candidates, work);
    const std::int64_t ownTokens = work.parts.empty() ? 0 : work.parts.back().tokens;
    bool bestAvoided = true;
    for (EngineState *engine : candidates) {
        if (std::find(tried.begin(), tried.end(), engine->entry.id) != tried.end())
            continue;
        if (!hasRoom(*engine, work, memoryTokens)) {
            if (!best.engine)
                best.failure = EngineChoiceFailure::NoRoom;
            continue;
        }
        const bool isHome = std::find(homes.begin(), homes.end(), engine) != homes.end();
        const std::int64_t toRead = isHome ? ownTokens : work.promptTokens;
        const int requests = engine->own.requests + engine->peers.requests;
        const auto held = static_cast<double>(engine->own.tokens + engine->peers.tokens);
        double cost = static_cast<double>(toRead) / m_options.prefillTokensPerMs;
        cost += m_options.requestMs * requests + m_options.tokensMsPerThousand * held / 1000.0;
        cost += engine->entry.zone == zone ? 0.0 : m_options.zoneCrossingMs;
        cost += m_options.errorMs * engine->errorShare;
        cost += static_cast<double>(std::min<std::int64_t>(engine->entry.warmupMs, 1000)) / 10.0;
        // An engine that is avoided is used only if all others are avoided too.
        const bool avoided = engine->avoidUntil > now;
        if (best.engine && std::pair(bestAvoided, best.costMs) <= std::pair(avoided, cost))
            continue;
        best = {.engine = engine, .costMs = cost};
        bestAvoided = avoided;
    }
    return best;
}

std::vector<const EngineState *> EngineChooser::findHomes(std::span<EngineState *const> candidates,
                                                          const WorkSize &work) const
{
    // The last part belongs to the request itself; the one before it is the longest shared one.
    if (work.parts.size() < 2)
        return {};
    const std::uint64_t prefix = work.parts[work.parts.size() - 2].id;
    std::vector<std::pair<std::uint64_t, const EngineState *>> ranked;
    ranked.reserve(candidates.size());
    for (const EngineState *engine : candidates) {
        const std::string &id = engine->entry.id;
        ranked.emplace_back(XXH3_64bits_withSeed(id.data(), id.size(), prefix), engine);
    }
    const std::size_t n = std::min(m_options.homesPerPrefix, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end(),
                      std::greater<>());
    std::vector<const EngineState *> homes;
    for (std::size_t i = 0; i < n; ++i)
        homes.push_back(ranked[i].second);
    return homes;
}

bool EngineChooser::hasRoom(const EngineState &engine, const WorkSize &work,
                            std::int64_t memoryTokens) const
{
    const int requests = engine.own.requests + engine.peers.requests;
    if (requests == 0)
        return true;
    const double places = engine.entry.slots * (1.0 + m_options.queuePart);
    if (requests + 1 > places)
        return false;
    if (memoryTokens == 0)
        return true;
    const auto held = static_cast<double>(engine.own.tokens + engine.peers.tokens + work.tokens());
    return held <= static_cast<double>(memoryTokens) * m_options.memoryPart * 1.5;
}

} // namespace sesame
