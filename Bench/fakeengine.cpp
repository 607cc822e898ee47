#include "fakeengine.h"

#include <algorithm>
#include <utility>

namespace bench {

namespace {

constexpr double singleStreamTokenMs = 25.0;
constexpr double addedTokenMsPerStream = 1.5; // Added by each further running stream.
constexpr std::size_t maxCachedBlocks = 1500; // Blocks that hold 384,000 tokens.

} // namespace

FakeEngine::FakeEngine(std::string idIn, std::string zoneIn, double hourlyPrice, double reclaimRate,
                       Timestamp ready)
    : id(std::move(idIn)), zone(std::move(zoneIn)), pricePerHour(hourlyPrice),
      reclaimsPerHour(reclaimRate), readyAt(ready)
{
}

void FakeEngine::enqueue(std::size_t request, std::uint32_t priority)
{
    const auto at = std::upper_bound(queue.begin(), queue.end(), priority,
                                     [](std::uint32_t value, const auto &entry) {
                                         return value < entry.first;
                                     });
    queue.insert(at, {priority, request});
}

bool FakeEngine::remove(std::size_t request)
{
    std::erase_if(queue, [&](const auto &entry) {
        return entry.second == request;
    });
    return std::erase(running, request) > 0;
}

void FakeEngine::useBlock(std::uint64_t block)
{
    const auto it = m_cachedBlocks.find(block);
    if (it != m_cachedBlocks.end()) {
        m_recentBlocks.splice(m_recentBlocks.begin(), m_recentBlocks, it->second);
        return;
    }
    m_recentBlocks.push_front(block);
    m_cachedBlocks[block] = m_recentBlocks.begin();
    cacheEvents.push_back({.sequence = ++m_sequence, .block = block, .added = true});
    if (m_recentBlocks.size() <= maxCachedBlocks)
        return;
    cacheEvents.push_back(
            {.sequence = ++m_sequence, .block = m_recentBlocks.back(), .added = false});
    m_cachedBlocks.erase(m_recentBlocks.back());
    m_recentBlocks.pop_back();
}

void FakeEngine::cacheBlocks(const Request &request)
{
    // The first block is used last, because a chain of blocks without its start cannot be reused.
    const std::vector<std::uint64_t> lastFirst(request.blocks.rbegin(), request.blocks.rend());
    for (const std::uint64_t block : lastFirst)
        useBlock(block);
}

void FakeEngine::startRequest(std::vector<Request> &requests, std::size_t index)
{
    Request &request = requests[index];
    running.push_back(index);
    request.prefilledTokens = 0.0;
    request.remainingPrefillTokens = 0.0;
    if (std::exchange(request.hasTransferredKv, false))
        return;
    std::uint32_t hits = 0;
    while (hits < request.blocks.size() && m_cachedBlocks.contains(request.blocks[hits]))
        ++hits;
    request.remainingPrefillTokens = request.promptTokens + request.decodedTokens
            - hits * blockTokens;
    request.remainingPrefillTokens = std::max(1.0, request.remainingPrefillTokens);
    prefilledTokens += request.remainingPrefillTokens;
    for (std::size_t i = hits; i < request.blocks.size(); ++i) {
        if (!computedBlocks->insert(request.blocks[i]).second)
            repeatedTokens += blockTokens;
    }
}

void FakeEngine::runTick(std::vector<Request> &requests, Timestamp now,
                         std::vector<std::size_t> &finished)
{
    while (running.size() < slots && !queue.empty()) {
        const std::size_t next = queue.front().second;
        queue.erase(queue.begin());
        startRequest(requests, next);
    }
    const double seconds = std::chrono::duration<double>(tickDuration).count();
    double budget = prefillTokensPerSecond * seconds;
    const double tickBudget = budget;
    for (const Rank rank : {Rank::Urgent, Rank::Standard, Rank::Batch}) {
        for (const std::size_t index : running) {
            Request &request = requests[index];
            if (request.rank != rank || request.remainingPrefillTokens <= 0.0 || budget <= 0.0)
                continue;
            const double tokens = std::min(budget, request.remainingPrefillTokens);
            request.remainingPrefillTokens -= tokens;
            request.prefilledTokens += tokens;
            budget -= tokens;
            if (request.remainingPrefillTokens <= 0.0)
                cacheBlocks(request);
        }
    }
    tokenMs = singleStreamTokenMs
            + addedTokenMsPerStream
                    * (std::max<double>(1.0, static_cast<double>(running.size())) - 1.0);
    const double speed = 1.0 - prefillSlowdown * (1.0 - budget / tickBudget);
    for (const std::size_t index : running) {
        Request &request = requests[index];
        if (request.remainingPrefillTokens > 0.0)
            continue;
        request.decodedTokens += speed * seconds * 1000.0 / tokenMs;
        if (request.decodedTokens >= 1.0 && request.firstTokenAt == Timestamp {})
            request.firstTokenAt = now;
        if (request.decodedTokens >= request.outputTokens || request.failsAt <= now)
            finished.push_back(index);
    }
    for (const std::size_t index : finished)
        std::erase(running, index);
}

} // namespace bench
