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
    const std::vector<EngineState *> preferredEngines = findPreferredEngines(candidates, work,
                                                                             conditions, now);
    if (conditions.nodes > m_options.maxNodesForAllEngines
        && candidates.size() > m_options.comparedEngines) {
        std::vector<EngineState *> compared = sampleEngines(candidates, m_options.comparedEngines,
                                                            conditions.random);
        // Of many engines that cache the prefix, nodes with the same reports would choose the same.
        const std::vector<EngineState *> cached = sampleEngines(
                preferredEngines, m_options.preferredEnginesPerPrefix, conditions.random + 1);
        compared.insert(compared.end(), cached.begin(), cached.end());
        const EngineChoice choice = chooseOf(compared, preferredEngines, work, conditions, tried,
                                             now);
        if (choice.engine && choice.engine->avoidUntil <= now)
            return choice;
    }
    return chooseOf(candidates, preferredEngines, work, conditions, tried, now);
}

/*!
    Returns \a n engines of \a candidates, chosen by \a random.
*/
std::vector<EngineState *> EngineChooser::sampleEngines(std::span<EngineState *const> candidates,
                                                        std::size_t n, std::uint64_t random)
{
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(random));
    std::vector<EngineState *> sample;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample), n, generator);
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
    const EngineCostModel *model = conditions.model;
    const bool isLearned = model && !candidates.empty()
            && model->isUneven(candidates.front()->entry.service);
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(conditions.random + 1));
    std::uniform_real_distribution<double> jitter(
            1.0, conditions.nodes > 1 ? 1.0 + m_options.costJitter : 1.0);
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
        FirstEventPrediction prediction;
        if (model)
            prediction = model->predict(*engine, workAt(*engine, work, isPreferred, now), now);
        if (isLearned)
            cost = jitter(generator) * slowStartFactor(*engine, now)
                    * model->costMs(*engine, prediction);
        cost += commonCostMs(*engine, conditions);
        // An avoided engine is chosen only if all other candidates are avoided too.
        const bool isAvoided = engine->avoidUntil > now;
        if (best.engine && std::pair(isBestAvoided, best.costMs) <= std::pair(isAvoided, cost))
            continue;
        best = {.engine = engine, .costMs = cost, .prediction = prediction};
        isBestAvoided = isAvoided;
    }
    return best;
}

double EngineChooser::slowStartFactor(const EngineState &engine, Timestamp now) const
{
    const Duration age = engine.knownSince == Timestamp {} ? Duration::zero()
                                                           : now - engine.knownSince;
    const double left = 1.0
            - std::chrono::duration<double>(age)
                    / std::chrono::duration<double>(m_options.slowStartTime);
    return 1.0 + m_options.slowStartCost * std::clamp(left, 0.0, 1.0);
}

/*!
    Returns the part of the cost of \a engine that does not depend on the request.
*/
double EngineChooser::commonCostMs(const EngineState &engine,
                                   const ChoiceConditions &conditions) const
{
    const auto warmupMs = std::min<std::int64_t>(engine.entry.warmupMs, maxCountedWarmupMs);
    return (engine.entry.zone == conditions.zone ? 0.0 : m_options.zoneCrossingMs)
            + m_options.failurePenaltyMs * engine.failureRate
            + static_cast<double>(warmupMs) / warmupMsPerCostMs;
}

/*!
    Returns the prompt tokens of other requests that \a engine is expected to read first. Most of
    what other nodes reported has been read when the report arrives, and others have come, so that
    their average tells more, unless much more is waiting than can have been read.
*/
double EngineChooser::unreadTokensAt(const EngineState &engine) const
{
    const auto reported = static_cast<double>(engine.peerLoad.unreadTokens);
    return static_cast<double>(engine.ownLoad.unreadTokens)
            + std::max(engine.usualPeerUnread, reported - m_options.tokensReadPerReport);
}

/*!
    Returns what the time to the first event of \a work at \a engine depends on. A preferred engine
    is expected to cache the shared parts of the prompt.
*/
WorkAtEngine EngineChooser::workAt(const EngineState &engine, const RequestSize &work,
                                   bool isPreferred, Timestamp now) const
{
    const auto least = static_cast<double>(work.unsharedTokens());
    const auto most = static_cast<double>(work.promptTokens);
    return {.readTokens = isPreferred ? least : most,
            .leastTokens = std::min(least, most),
            .mostTokens = most,
            .unreadTokens = unreadTokensAt(engine),
            .requests = static_cast<double>(engine.requests(now)),
            .heldTokens = static_cast<double>(engine.ownLoad.tokens + engine.peerLoad.tokens)};
}

/*!
    Returns the number of engines that are expected to cache the prefix of \a work: enough that its
    prompts keep each of them busy for a limited share of its time.
*/
std::size_t EngineChooser::preferredCount(const std::string &service, const RequestSize &work,
                                          const ChoiceConditions &conditions, Timestamp now) const
{
    const std::size_t least = m_options.preferredEnginesPerPrefix;
    if (!conditions.model || !conditions.model->isUneven(service))
        return least;
    const double busy = conditions.model->busyEngines(service, work.sharedPrefix().value_or(0),
                                                      conditions.nodes, now);
    return std::max(least, static_cast<std::size_t>(busy / m_options.maxPrefixUtilization));
}

std::vector<EngineState *>
EngineChooser::findPreferredEngines(std::span<EngineState *const> candidates,
                                    const RequestSize &work, const ChoiceConditions &conditions,
                                    Timestamp now) const
{
    if (!work.sharedPrefix() || candidates.empty())
        return {};
    const std::uint64_t prefix = *work.sharedPrefix();
    std::vector<std::pair<std::uint64_t, EngineState *>> ranked;
    ranked.reserve(candidates.size());
    for (EngineState *engine : candidates) {
        const std::string &id = engine->entry.id;
        ranked.emplace_back(XXH3_64bits_withSeed(id.data(), id.size(), prefix), engine);
    }
    const std::size_t n = std::min(
            preferredCount(candidates.front()->entry.service, work, conditions, now),
            ranked.size());
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
