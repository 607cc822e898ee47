#include "Core/enginerouter.h"

#include "Core/lastreason.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

constexpr Duration oldestReport = std::chrono::seconds(10); // Older ones count like this one.
constexpr double crowdedMs = 1000.0; // Keeps work off an engine that is to leave headroom.
constexpr double prefillContention = 0.5; // Slowdown of prefill on a full engine.
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
    const std::uint32_t nodes = std::max(1U, liveNodes);
    std::uint32_t limit = std::max(1U, engine.slots / nodes);
    // A queue shows that the nodes together hold too much, so nobody keeps more than its part.
    if (engine.queued == 0) {
        const std::uint32_t free = engine.slots - std::min(engine.slots, engine.running);
        limit = std::max(limit, engine.ownReported + (free + nodes - 1) / nodes);
    }
    return engine.ownInFlight < limit;
}

/*!
    Returns the requests at \a engine: those of other nodes by the last report, and this
    node's own as of now.
*/
std::uint32_t EngineRouter::outstanding(const EngineView &engine)
{
    const std::uint32_t reported = engine.queued + engine.running;
    return reported - std::min(reported, engine.ownReported) + engine.ownInFlight;
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
    const std::uint32_t busy = outstanding(engine);
    const double load = static_cast<double>(busy) / std::max(1U, engine.slots);
    double wait = 0.0;
    if (busy >= engine.slots) {
        const double service = engine.tokenMs * query.outputTokens;
        wait = (busy - engine.slots + 1) * service / std::max(1U, engine.slots);
    }
    // The streams of other nodes compete for prefill and decoding in proportion to the load.
    const double contention = load * (prefill * prefillContention + engine.tokenMs);
    const double firstToken = wait + prefill + contention + engine.tokenMs;
    choice.firstToken = Duration(static_cast<std::int64_t>(firstToken * 1000.0));
    choice.cachedTokens = static_cast<std::uint32_t>(cached);
    choice.sameZone = engine.zone == query.entryZone;
    const auto rank = static_cast<std::size_t>(query.rank);
    const bool crowded = busy + 1.0 > engine.slots * (1.0 - m_options.headroom[rank]);
    const double price = averagePrice > 0.0 ? engine.pricePerHour / averagePrice : 0.0;
    return firstToken + price * m_options.priceWeightMs[rank]
            + engine.zoneRisk * m_options.riskWeightMs
            + (crowded && query.rank != Rank::Urgent ? crowdedMs : 0.0)
            // An old report says little; prefer the engine that is known better.
            + milliseconds(std::min(engine.reportAge, oldestReport)) * 0.01;
}

/*!
    Returns the candidates that are not excluded and have room, with their scores.
*/
std::vector<std::pair<double, RouteChoice>>
EngineRouter::scoreAll(const RouteQuery &query, std::span<const EngineView> candidates,
                       Timestamp now) const
{
    double priceSum = 0.0;
    for (const EngineView &engine : candidates)
        priceSum += engine.pricePerHour;
    const double average = priceSum
            / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    std::vector<std::pair<double, RouteChoice>> scored;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EngineView &engine = candidates[i];
        if (isExcluded(query, engine.id) || !hasRoom(engine, query.liveNodes))
            continue;
        RouteChoice choice {.engine = i};
        const double score = scoreMs(query, engine, average, choice, now);
        scored.emplace_back(score, choice);
    }
    return scored;
}

std::optional<RouteChoice> EngineRouter::choose(const RouteQuery &query,
                                                std::span<const EngineView> candidates,
                                                Timestamp now) const
{
    auto scored = scoreAll(query, candidates, now);
    if (scored.empty()) {
        const bool any = std::any_of(candidates.begin(), candidates.end(),
                                     [&](const EngineView &engine) {
                                         return !isExcluded(query, engine.id);
                                     });
        if (any)
            return fail(ResultCode::Overloaded, "no model engine has room");
        return fail(ResultCode::NoBackendServer, "no usable model engine");
    }
    const auto outside = [](const auto &entry) {
        return !entry.second.sameZone;
    };
    if (m_options.useZoneRule && std::any_of(scored.begin(), scored.end(), outside))
        std::erase_if(scored, [&](const auto &entry) {
            return !outside(entry);
        });
    const auto best = std::min_element(scored.begin(), scored.end(),
                                       [](const auto &a, const auto &b) {
                                           return a.first < b.first;
                                       });
    const double highest = best->first + m_options.equalWithinMs;
    std::optional<RouteChoice> chosen;
    std::uint64_t chosenHash = 0;
    for (const auto &[score, choice] : scored) {
        const std::string &id = candidates[choice.engine].id;
        const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), query.tieBreak);
        if (score > highest || (chosen && hash < chosenHash))
            continue;
        chosen = choice;
        chosenHash = hash;
    }
    return chosen;
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
