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
    State of one usable model engine that the router takes into account.
*/
struct EngineView
{
    std::string id;
    std::string zone;
    double pricePerHour = 0.0;
    double reclaimsPerHour = 0.0; //!< Expected reclaims per hour of the instance.
    std::uint32_t slots = 8;
    std::uint32_t queued = 0; //!< Queued requests in the last load report.
    std::uint32_t running = 0; //!< Running requests in the last load report.
    //! Requests of this node at the engine when the last load report was taken.
    std::uint32_t ownAtReport = 0;
    std::uint32_t ownInFlight = 0; //!< Requests of this node at the engine now.
    std::uint32_t ownPrefillTokens = 0; //!< Prompt tokens of this node that are not prefilled yet.
    Duration reportAge {0}; //!< Age of the last load report.
    double tokenMs = 30.0; //!< Recent time between two tokens of a stream, in milliseconds.
    double prefillTokensPerSecond = 8000.0;
};

/*!
    Request for which an engine is chosen.
*/
struct RouteQuery
{
    std::span<const std::uint64_t> blocks {}; //!< Result of hashPromptBlocks() for the prompt.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 100; //!< Expected number.
    Rank rank = Rank::Standard;
    std::string_view entryZone {}; //!< Zone of this node.
    std::uint32_t liveNodes = 1; //!< Number of entry nodes that are alive, including this one.
    //! Seed that selects one of the engines with nearly equal scores, for example the request
    //! fingerprint.
    std::uint64_t tieBreak = 0;
    std::span<const std::string> excluded {}; //!< Engine ids that must not be chosen again.
};

struct RouteChoice
{
    std::size_t engine = 0; //!< Index into the candidates.
    Duration firstToken {0}; //!< Expected time to the first token.
    std::uint32_t cachedTokens = 0; //!< Prompt tokens expected in the engine's cache.
    bool sameZone = false; //!< True if no engine outside the entry zone had room.
};

/*!
    Change of an engine's prefix cache.
*/
struct CacheEvent
{
    std::uint64_t sequence = 0; //!< Increases by one with each event of the engine.
    std::uint64_t block = 0; //!< Hash as returned by hashPromptBlocks().
    bool added = true; //!< False if the engine evicted the block.
};

struct EngineRouterOptions
{
    Duration hintHalfLife {std::chrono::minutes(5)}; //!< Time in which a hint's weight halves.
    //! Limits the memory; the oldest hints are dropped first. 20,000 hints take about 1 MB.
    std::size_t hintsPerEngine = 20000;
    //! Milliseconds added to the score of an engine of average price, by rank. The value scales
    //! with the engine's price per hour.
    std::array<double, rankCount> priceWeightMs {2.0, 5.0, 20.0};
    //! Milliseconds added to the score for one expected reclaim per hour.
    double reclaimWeightMs = 20.0;
    //! Share of each engine's slots that a rank avoids while other engines have room. This keeps
    //! the engine that caches the prefix of an urgent request available under high load of the
    //! other ranks.
    std::array<double, rankCount> rankHeadroom {0.0, 0.1, 0.3};
    //! Engines whose scores differ by at most this value count as equal. All nodes see the same
    //! load reports, so without the tolerance they would all choose the same engine until the
    //! next report.
    double scoreToleranceMs = 25.0;
    bool usePrefixHints = true; //!< False only in measurements.
    bool useZoneRule = true; //!< Prefer engines outside the entry zone; false only in measurements.
};

/*!
    Chooses the engine with the lowest score, which is the expected time to the first token plus
    penalties for price, reclaim risk and load. Keeps hints on which prompt blocks each engine
    probably caches. The hints come from the node's own sends and from cache events, which arrive
    late and with gaps, so the weight of a hint decreases with its age.
*/
class EngineRouter
{
public:
    explicit EngineRouter(EngineRouterOptions options = {});

    /*!
        Returns the best engine of \a candidates. Engines outside the entry zone are preferred,
        so that the loss of one zone affects either the entry node or the engine but not both.
        Fails with code 1202 if there is no candidate and with code 1200 if none has room.
    */
    std::optional<RouteChoice> choose(const RouteQuery &query,
                                      std::span<const EngineView> candidates, Timestamp now) const;

    /*!
        Returns whether this node may send one more request to \a engine. The limit is this
        node's equal part of the slots or, if larger, the slots that it used at the last report
        plus its equal part of the slots that were free then. The free slots are divided because
        all nodes see the same ones.
    */
    static bool hasRoom(const EngineView &engine, std::uint32_t liveNodes);

    /*!
        Returns the number of requests at \a engine: those of other nodes according to the last
        load report, and those of this node as of now.
    */
    static std::uint32_t countOutstanding(const EngineView &engine);

    /*!
        Returns the share of the prompt \a blocks, 0 to 1, that \a engine probably caches.
    */
    double cachedShare(const std::string &engine, std::span<const std::uint64_t> blocks,
                       Timestamp now) const;

    /*!
        Records that a prompt of \a blocks was sent to \a engine, which then probably caches them.
    */
    void recordSend(const std::string &engine, std::span<const std::uint64_t> blocks,
                    Timestamp now);

    /*!
        Updates the hints for \a engine by its cache \a events. Events that were applied before are
        ignored.
    */
    void applyCacheEvents(const std::string &engine, std::span<const CacheEvent> events,
                          Timestamp now);

    /*!
        Drops all hints for \a engine.
    */
    void forgetEngine(const std::string &engine);

private:
    struct EngineHints
    {
        std::unordered_map<std::uint64_t, Timestamp> learnedAt; //!< The key is the block.
        std::uint64_t lastSequence = 0;
        Timestamp lastGapAt {Timestamp::min()}; //!< Older hints may miss an eviction.
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
