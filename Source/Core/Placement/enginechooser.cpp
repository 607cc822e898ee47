#include "Core/Placement/enginechooser.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace sesame {

namespace {

//! A longer remaining warm-up time of an engine does not add to its cost.
constexpr std::int64_t maxCountedWarmupMs = 1000;
//! Milliseconds of remaining warm-up time that cost as much as one millisecond of delay.
constexpr double warmupMsPerCostMs = 10.0;
//! Factor by which the tokens held by requests may exceed the planned share of the memory.
constexpr double memoryOvercommit = 1.5;

} // namespace

EngineChoice EngineChooser::choose(std::span<EngineState *const> candidates,
                                   const RequestSize &work, const ChoiceConditions &conditions,
                                   std::span<const std::string> tried, Timestamp now) const
{
    const std::vector<EngineState *> preferredEngines = findPreferredEngines(candidates, work);
    if (conditions.nodes > m_options.maxNodesForAllEngines
        && candidates.size() > m_options.comparedEngines) {
        std::vector<EngineState *> compared = sampleEngines(candidates, conditions.random);
        compared.insert(compared.end(), preferredEngines.begin(), preferredEngines.end());
        const EngineChoice choice = chooseOf(compared, preferredEngines, work, conditions, tried,
                                             now);
        if (choice.engine && choice.engine->avoidUntil <= now)
            return choice;
    }
    return chooseOf(candidates, preferredEngines, work, conditions, tried, now);
}

/*!
    Returns some engines of \a candidates, chosen by \a random.
*/
std::vector<EngineState *> EngineChooser::sampleEngines(std::span<EngineState *const> candidates,
                                                        std::uint64_t random) const
{
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(random));
    std::vector<EngineState *> sample;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample),
                m_options.comparedEngines, generator);
    return sample;
}

EngineChoice EngineChooser::chooseOf(std::span<EngineState *const> candidates,
                                     std::span<EngineState *const> preferredEngines,
                                     const RequestSize &work, const ChoiceConditions &conditions,
                                     std::span<const std::string> tried, Timestamp now) const
{
    EngineChoice best;
    best.failure = EngineChoiceFailure::NoEngine;
    const std::int64_t unsharedTokens = work.parts.empty() ? 0 : work.parts.back().tokens;
    bool isBestAvoided = true;
    for (EngineState *engine : candidates) {
        if (std::find(tried.begin(), tried.end(), engine->entry.id) != tried.end())
            continue;
        if (!hasRoom(*engine, work, conditions.memoryTokens, now)) {
            if (!best.engine)
                best.failure = EngineChoiceFailure::NoRoom;
            continue;
        }
        const bool isPreferred = std::find(preferredEngines.begin(), preferredEngines.end(), engine)
                != preferredEngines.end();
        const std::int64_t tokensToPrefill = isPreferred ? unsharedTokens : work.promptTokens;
        const int requests = engine->requests(now);
        const auto heldTokens = static_cast<double>(engine->ownLoad.tokens
                                                    + engine->peerLoad.tokens);
        double cost = static_cast<double>(tokensToPrefill) / m_options.prefillTokensPerMs;
        cost += m_options.msPerRequest * requests
                + m_options.msPerThousandTokens * heldTokens / 1000.0;
        cost += engine->entry.zone == conditions.zone ? 0.0 : m_options.zoneCrossingMs;
        cost += m_options.failurePenaltyMs * engine->failureRate;
        cost += static_cast<double>(
                        std::min<std::int64_t>(engine->entry.warmupMs, maxCountedWarmupMs))
                / warmupMsPerCostMs;
        // An avoided engine is chosen only if all other candidates are avoided too.
        const bool isAvoided = engine->avoidUntil > now;
        if (best.engine && std::pair(isBestAvoided, best.costMs) <= std::pair(isAvoided, cost))
            continue;
        best = {.engine = engine, .costMs = cost};
        isBestAvoided = isAvoided;
    }
    return best;
}

std::vector<EngineState *>
EngineChooser::findPreferredEngines(std::span<EngineState *const> candidates,
                                    const RequestSize &work) const
{
    // The last part is specific to the request. The id of the part before it identifies the
    // longest prefix that other requests may have in common.
    if (work.parts.size() < 2)
        return {};
    const std::uint64_t prefix = work.parts[work.parts.size() - 2].id;
    std::vector<std::pair<std::uint64_t, EngineState *>> ranked;
    ranked.reserve(candidates.size());
    for (EngineState *engine : candidates) {
        const std::string &id = engine->entry.id;
        ranked.emplace_back(XXH3_64bits_withSeed(id.data(), id.size(), prefix), engine);
    }
    const std::size_t n = std::min(m_options.preferredEnginesPerPrefix, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end(),
                      std::greater<>());
    std::vector<EngineState *> preferredEngines;
    for (std::size_t i = 0; i < n; ++i)
        preferredEngines.push_back(ranked[i].second);
    return preferredEngines;
}

bool EngineChooser::hasRoom(const EngineState &engine, const RequestSize &work,
                            std::int64_t memoryTokens, Timestamp now) const
{
    const int requests = engine.requests(now);
    if (requests == 0)
        return true;
    const double maxRequests = engine.entry.slots * (1.0 + m_options.queueShare);
    if (requests + 1 > maxRequests)
        return false;
    if (memoryTokens == 0)
        return true;
    const auto heldTokens = static_cast<double>(engine.ownLoad.tokens + engine.peerLoad.tokens
                                                + work.tokens());
    return heldTokens
            <= static_cast<double>(memoryTokens) * m_options.memoryShare * memoryOvercommit;
}

} // namespace sesame
