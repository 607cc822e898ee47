#pragma once

#include "Core/fleetconfig.h"
#include "Core/ports.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sesame {

/*!
    What the router needs to know about one usable model engine.
*/
struct EngineView
{
    std::string id;
    std::string zone;
    double pricePerHour = 0.0;
    double reclaimsPerHour = 0.0; //!< Expected reclaims per hour of the instance.
    std::uint32_t slots = 8;
    std::uint32_t queued = 0; //!< From the last load report.
    std::uint32_t running = 0; //!< From the last load report.
    std::uint32_t ownAtReport = 0; //!< This node's requests there when the report was taken.
    std::uint32_t ownInFlight = 0; //!< This node's requests there now.
    std::uint32_t ownPrefillTokens = 0; //!< This node's prompt tokens not prefilled yet.
    Duration reportAge {0};
    double tokenMs = 30.0; //!< Recent time between two tokens of a stream.
    double prefillTokensPerSecond = 8000.0;
};

struct RouteQuery
{
    std::span<const std::uint64_t> blocks {}; //!< hashPromptBlocks() of the prompt.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 100; //!< Expected.
    Rank rank = Rank::Standard;
    std::string_view entryZone {}; //!< Zone of this node.
    std::uint32_t liveNodes = 1;
    //! Spreads requests over engines of nearly equal score; the request fingerprint, say.
    std::uint64_t tieBreak = 0;
    std::span<const std::string> excluded {}; //!< Engine ids that must not be chosen again.
};

struct RouteChoice
{
    std::size_t engine = 0; //!< Index into the candidates.
    Duration firstToken {0}; //!< Expected time to the first token.
    std::uint32_t cachedTokens = 0; //!< Prompt tokens expected in the engine's cache.
    bool sameZone = false; //!< The zone rule was relaxed: the engine is in the entry zone.
};

struct CacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool added = true; //!< False: the engine evicted the block.
};

struct EngineRouterOptions
{
    Duration hintHalfLife {std::chrono::minutes(5)}; //!< Age at which a hint counts half.
    //! Bounds the memory; the oldest hints go first. 20,000 hints take about 1 MB.
    std::size_t hintsPerEngine = 20000;
    //! Milliseconds of first token that a price of one average engine hour is worth, by rank.
    std::array<double, rankCount> priceWeightMs {2.0, 5.0, 20.0};
    //! Milliseconds that one expected reclaim per hour is worth.
    double reclaimWeightMs = 20.0;
    //! Share of each engine's slots that a rank avoids while other engines have room. Keeps
    //! the engine that caches an urgent request's prefix usable in a flood of other work.
    std::array<double, rankCount> rankHeadroom {0.0, 0.1, 0.3};
    //! Engines whose scores differ by less count as equal. The nodes see the same reports;
    //! without this they all choose the same engine until the next one.
    double scoreToleranceMs = 25.0;
    bool usePrefixHints = true; //!< False only in measurements.
    bool useZoneRule = true; //!< False only in measurements.
};

/*!
    Chooses the engine with the least expected time to first token. Remembers which prompt
    blocks each engine probably caches; these hints come from the node's own sends and
    from cache events, which are late and have gaps, so a hint loses weight with its age.
*/
class EngineRouter
{
public:
    explicit EngineRouter(EngineRouterOptions options = {});

    /*!
        Returns the best engine of \a candidates. Engines outside the entry zone go first,
        so that the loss of one zone takes either the entry node or the engine. Fails with
        code 1202 if there is no candidate and with 1200 if none has room.
    */
    std::optional<RouteChoice> choose(const RouteQuery &query,
                                      std::span<const EngineView> candidates, Timestamp now) const;

    /*!
        Returns whether this node may send one more request to \a engine. It may use its
        part of the slots, the slots it had at the last report, and its part of those that
        were free then, because the other nodes see the same free slots.
    */
    static bool hasRoom(const EngineView &engine, std::uint32_t liveNodes);
    static std::uint32_t countOutstanding(const EngineView &engine);

    /*!
        Returns the part of the prompt, 0 to 1, that \a engine probably caches.
    */
    double cachedShare(const std::string &engine, std::span<const std::uint64_t> blocks,
                       Timestamp now) const;

    void recordSend(const std::string &engine, std::span<const std::uint64_t> blocks,
                    Timestamp now);
    void applyCacheEvents(const std::string &engine, std::span<const CacheEvent> events,
                          Timestamp now);
    void forgetEngine(const std::string &engine);

private:
    struct EngineHints
    {
        std::unordered_map<std::uint64_t, Timestamp> learnedAt;
        std::uint64_t lastSequence = 0;
        Timestamp lastGapAt {Timestamp::min()}; //!< Hints from before may miss an eviction.
    };

    double hintWeight(const EngineHints &hints, Timestamp learnedAt, Timestamp now) const;
    void dropOldestHints(EngineHints &hints) const;
    double computeScoreMs(const RouteQuery &query, const EngineView &engine, double averagePrice,
                          RouteChoice &choice, Timestamp now) const;
    std::vector<std::pair<double, RouteChoice>>
    scoreCandidates(const RouteQuery &query, std::span<const EngineView> candidates,
                    Timestamp now) const;

    EngineRouterOptions m_options;
    std::unordered_map<std::string, EngineHints> m_hints;
};

} // namespace sesame
