#include "Core/enginerouter.h"

#include "Core/lastreason.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

// Older reports are treated like a report of this age.
constexpr Duration maxCountedReportAge = std::chrono::seconds(10);
// Score added per millisecond of report age, because an old report is less reliable.
constexpr double reportAgeWeight = 0.01;
// Score added to an engine if the request would use the headroom of its rank.
constexpr double headroomPenaltyMs = 1000.0;
// Relative slowdown of prefill on an engine whose slots are all in use.
constexpr double prefillContention = 0.5;
// Factor for hints that are older than a gap in the events, which may hide an eviction.
constexpr double weightBeforeGap = 0.5;

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
    // A queue at the engine shows that the nodes together send too many requests, so each node is
    // limited to its equal part of the slots.
    if (engine.queued == 0) {
        const std::uint32_t free = engine.slots - std::min(engine.slots, engine.running);
        limit = std::max(limit, engine.ownAtReport + (free + nodes - 1) / nodes);
    }
    return engine.ownInFlight < limit;
}

std::uint32_t EngineRouter::countOutstanding(const EngineView &engine)
{
    const std::uint32_t reported = engine.queued + engine.running;
    return reported - std::min(reported, engine.ownAtReport) + engine.ownInFlight;
}

double EngineRouter::hintWeight(const EngineHints &hints, Timestamp learnedAt, Timestamp now) const
{
    const double age = static_cast<double>((now - learnedAt).count());
    const double weight = std::exp2(-age / static_cast<double>(m_options.hintHalfLife.count()));
    return learnedAt < hints.lastGapAt ? weight * weightBeforeGap : weight;
}

double EngineRouter::cachedShare(const std::string &engine, std::span<const std::uint64_t> blocks,
                                 Timestamp now) const
{
    const auto hints = m_hints.find(engine);
    if (!m_options.usePrefixHints || blocks.empty() || hints == m_hints.end())
        return 0.0;
    double weight = 1.0;
    double sum = 0.0;
    // A cached block can be used only if all blocks before it are cached too.
    for (const std::uint64_t block : blocks) {
        const auto it = hints->second.learnedAt.find(block);
        if (it == hints->second.learnedAt.end())
            break;
        weight = std::min(weight, hintWeight(hints->second, it->second, now));
        sum += weight;
    }
    return sum / static_cast<double>(blocks.size());
}

double EngineRouter::computeScoreMs(const RouteQuery &query, const EngineView &engine,
                                    double averagePrice, RouteChoice &choice, Timestamp now) const
{
    const double cachedTokens = cachedShare(engine.id, query.blocks, now) * query.promptTokens;
    const double rate = std::max(1.0, engine.prefillTokensPerSecond);
    const double prefillMs = (query.promptTokens - cachedTokens + engine.ownPrefillTokens) / rate
            * 1000.0;
    const std::uint32_t outstandingRequests = countOutstanding(engine);
    const double load = static_cast<double>(outstandingRequests) / std::max(1U, engine.slots);
    double queueWaitMs = 0.0;
    if (outstandingRequests >= engine.slots) {
        const double serviceMs = engine.tokenMs * query.outputTokens;
        queueWaitMs = (outstandingRequests - engine.slots + 1) * serviceMs
                / std::max(1U, engine.slots);
    }
    // The streams of other nodes compete for prefill and decoding in proportion to the load.
    const double contentionMs = load * (prefillMs * prefillContention + engine.tokenMs);
    const double firstTokenMs = queueWaitMs + prefillMs + contentionMs + engine.tokenMs;
    choice.firstToken = Duration(static_cast<std::int64_t>(firstTokenMs * 1000.0));
    choice.cachedTokens = static_cast<std::uint32_t>(cachedTokens);
    choice.sameZone = engine.zone == query.entryZone;
    const auto rank = static_cast<std::size_t>(query.rank);
    const bool exceedsHeadroom = outstandingRequests + 1.0
            > engine.slots * (1.0 - m_options.rankHeadroom[rank]);
    const double relativePrice = averagePrice > 0.0 ? engine.pricePerHour / averagePrice : 0.0;
    return firstTokenMs + relativePrice * m_options.priceWeightMs[rank]
            + engine.reclaimsPerHour * m_options.reclaimWeightMs
            + (exceedsHeadroom && query.rank != Rank::Urgent ? headroomPenaltyMs : 0.0)
            + milliseconds(std::min(engine.reportAge, maxCountedReportAge)) * reportAgeWeight;
}

/*!
    Returns the candidates that are not excluded and have room, with their scores.
*/
std::vector<std::pair<double, RouteChoice>>
EngineRouter::scoreCandidates(const RouteQuery &query, std::span<const EngineView> candidates,
                              Timestamp now) const
{
    double priceSum = 0.0;
    for (const EngineView &engine : candidates)
        priceSum += engine.pricePerHour;
    const double averagePrice = priceSum
            / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    std::vector<std::pair<double, RouteChoice>> scored;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EngineView &engine = candidates[i];
        if (isExcluded(query, engine.id) || !hasRoom(engine, query.liveNodes))
            continue;
        RouteChoice choice {.engine = i};
        const double score = computeScoreMs(query, engine, averagePrice, choice, now);
        scored.emplace_back(score, choice);
    }
    return scored;
}

std::optional<RouteChoice> EngineRouter::choose(const RouteQuery &query,
                                                std::span<const EngineView> candidates,
                                                Timestamp now) const
{
    auto scored = scoreCandidates(query, candidates, now);
    if (scored.empty()) {
        const bool hasCandidate = std::any_of(candidates.begin(), candidates.end(),
                                              [&](const EngineView &engine) {
                                                  return !isExcluded(query, engine.id);
                                              });
        if (hasCandidate)
            return fail(ResultCode::Overloaded, "no model engine has room");
        return fail(ResultCode::NoBackendServer, "no usable model engine");
    }
    const auto isOutsideEntryZone = [](const auto &entry) {
        return !entry.second.sameZone;
    };
    if (m_options.useZoneRule && std::any_of(scored.begin(), scored.end(), isOutsideEntryZone))
        std::erase_if(scored, [&](const auto &entry) {
            return !isOutsideEntryZone(entry);
        });
    const auto best = std::min_element(scored.begin(), scored.end(),
                                       [](const auto &a, const auto &b) {
                                           return a.first < b.first;
                                       });
    const double maxScore = best->first + m_options.scoreToleranceMs;
    std::optional<RouteChoice> chosen;
    std::uint64_t chosenHash = 0;
    for (const auto &[score, choice] : scored) {
        const std::string &id = candidates[choice.engine].id;
        const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), query.tieBreak);
        if (score > maxScore || (chosen && hash < chosenHash))
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
        hints.learnedAt[block] = now;
    dropOldestHints(hints);
}

void EngineRouter::applyCacheEvents(const std::string &engine, std::span<const CacheEvent> events,
                                    Timestamp now)
{
    EngineHints &hints = m_hints[engine];
    for (const CacheEvent &event : events) {
        if (event.sequence <= hints.lastSequence)
            continue;
        if (hints.lastSequence != 0 && event.sequence != hints.lastSequence + 1)
            hints.lastGapAt = now;
        hints.lastSequence = event.sequence;
        if (event.added)
            hints.learnedAt[event.block] = now;
        else
            hints.learnedAt.erase(event.block);
    }
    dropOldestHints(hints);
}

/*!
    Drops the oldest quarter of the hints if there are too many. Dropping a quarter at a time keeps
    the amortized cost per added hint constant.
*/
void EngineRouter::dropOldestHints(EngineHints &hints) const
{
    if (hints.learnedAt.size() <= m_options.hintsPerEngine)
        return;
    std::vector<Timestamp> learnTimes;
    learnTimes.reserve(hints.learnedAt.size());
    for (const auto &[block, learnedAt] : hints.learnedAt)
        learnTimes.push_back(learnedAt);
    const auto quarter = learnTimes.begin() + static_cast<std::ptrdiff_t>(learnTimes.size() / 4);
    std::nth_element(learnTimes.begin(), quarter, learnTimes.end());
    const Timestamp threshold = *quarter;
    std::erase_if(hints.learnedAt, [&](const auto &hint) {
        return hint.second <= threshold;
    });
}

void EngineRouter::forgetEngine(const std::string &engine)
{
    m_hints.erase(engine);
}

} // namespace sesame
