#pragma once

#include "Core/enginerouter.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bench {

using sesame::Duration;
using sesame::Rank;
using sesame::Timestamp;

constexpr Duration tickDuration = std::chrono::milliseconds(10);
constexpr std::uint32_t blockTokens = 256;
constexpr double prefillTokensPerSecond = 16000.0;
constexpr double prefillSlowdown = 0.5; //!< Fraction of the decoding speed that prefill uses.

/*!
    One request of the workload and its current state.
*/
struct Request
{
    std::size_t account = 0;
    Rank rank = Rank::Standard;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1;
    std::vector<std::uint64_t> blocks;
    std::uint64_t fingerprint = 0;
    bool crashesEngine = false;
    std::size_t node = 0;
    Timestamp acceptedAt {};
    std::uint64_t ticket = 0;
    int submitCount = 0;
    int attemptCount = 0;
    int engine = -1;
    int excludedEngine = -1; //!< Engine of the last failed attempt.
    bool hasTransferredKv = false; //!< The KV cache was transferred, so prefill is not needed.
    bool isMoving = false; //!< Its engine is leaving and another one is needed.
    double remainingPrefillTokens = 0.0;
    double prefilledTokens = 0.0; //!< Tokens prefilled in the current attempt.
    double decodedTokens = 0.0;
    Timestamp failsAt {Timestamp::max()};
    Timestamp firstTokenAt {};
    Timestamp doneAt {};
    bool isRefused = false;
    bool isFailed = false;
};

/*!
    Simulates a model engine with continuous batching: slots, a priority queue, prefill that slows
    down the running streams, and a prefix cache of limited size that evicts the oldest blocks.
*/
class FakeEngine
{
public:
    FakeEngine(std::string id, std::string zone, double price, double reclaimRate,
               Timestamp readyAt);

    void enqueue(std::size_t request, std::uint32_t priority);
    bool remove(std::size_t request);

    /*!
        Runs the engine for one tick and appends completed requests to \a finished.
    */
    void runTick(std::vector<Request> &requests, Timestamp now, std::vector<std::size_t> &finished);

    std::string id;
    std::string zone;
    double pricePerHour = 0.0;
    double reclaimsPerHour = 0.0;
    bool onDemand = false;
    Timestamp readyAt {};
    Timestamp endsAt {Timestamp::max()}; //!< End of the notice period, or of the engine.
    bool isLeaving = false;
    std::uint32_t slots = 8;
    std::vector<std::size_t> running;
    std::vector<std::pair<std::uint32_t, std::size_t>> queue; //!< Priority and request index.
    std::vector<sesame::CacheEvent> cacheEvents; //!< Events since the last collection.
    double tokenMs = 25.0; //!< Current time between two tokens of a stream.
    double prefilledTokens = 0.0;
    double repeatedTokens = 0.0; //!< Prefilled although an engine had done so before.
    std::unordered_set<std::uint64_t> *computedBlocks = nullptr;

private:
    void startRequest(std::vector<Request> &requests, std::size_t index);
    void cacheBlocks(const Request &request);
    void useBlock(std::uint64_t block);

    std::list<std::uint64_t> m_recentBlocks; //!< Cached blocks, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cachedBlocks;
    std::uint64_t m_sequence = 0;
};

} // namespace bench
