#include "fakeengine.h"

#include <algorithm>
#include <utility>

namespace bench {

namespace {

constexpr double aloneTokenMs = 25.0;
constexpr double tokenMsPerStream = 1.5; // Each further running stream adds this much.
constexpr std::size_t cacheBlocksMax = 1500; // 384,000 tokens.

} // namespace

FakeEngine::FakeEngine(std::string idIn, std::string zoneIn, double price, double risk,
                       Timestamp ready)
    : id(std::move(idIn)), zone(std::move(zoneIn)), pricePerHour(price), zoneRisk(risk),
      readyAt(ready)
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

void FakeEngine::use(std::uint64_t block)
{
    const auto it = m_cached.find(block);
    if (it != m_cached.end()) {
        m_recent.splice(m_recent.begin(), m_recent, it->second);
        return;
    }
    m_recent.push_front(block);
    m_cached[block] = m_recent.begin();
    events.push_back({.sequence = ++m_sequence, .block = block, .added = true});
    if (m_recent.size() <= cacheBlocksMax)
        return;
    events.push_back({.sequence = ++m_sequence, .block = m_recent.back(), .added = false});
    m_cached.erase(m_recent.back());
    m_recent.pop_back();
}

void FakeEngine::cacheBlocks(const Request &request)
{
    // The first block is used last, because a chain without its start is worth nothing.
    const std::vector<std::uint64_t> lastFirst(request.blocks.rbegin(), request.blocks.rend());
    for (const std::uint64_t block : lastFirst)
        use(block);
}

void FakeEngine::start(std::vector<Request> &requests, std::size_t index)
{
    Request &request = requests[index];
    running.push_back(index);
    request.prefillDone = 0.0;
    request.prefillLeft = 0.0;
    if (std::exchange(request.kvArrived, false))
        return;
    std::uint32_t hits = 0;
    while (hits < request.blocks.size() && m_cached.contains(request.blocks[hits]))
        ++hits;
    request.prefillLeft = request.promptTokens + request.decoded - hits * blockTokens;
    request.prefillLeft = std::max(1.0, request.prefillLeft);
    prefilledTokens += request.prefillLeft;
    for (std::size_t i = hits; i < request.blocks.size(); ++i) {
        if (!everComputed->insert(request.blocks[i]).second)
            repeatedTokens += blockTokens;
    }
}

void FakeEngine::step(std::vector<Request> &requests, Timestamp now, std::vector<std::size_t> &done)
{
    while (running.size() < slots && !queue.empty()) {
        const std::size_t next = queue.front().second;
        queue.erase(queue.begin());
        start(requests, next);
    }
    const double seconds = std::chrono::duration<double>(tick).count();
    double budget = prefillRate * seconds;
    const double whole = budget;
    for (const Rank rank : {Rank::Urgent, Rank::Standard, Rank::Batch}) {
        for (const std::size_t index : running) {
            Request &request = requests[index];
            if (request.rank != rank || request.prefillLeft <= 0.0 || budget <= 0.0)
                continue;
            const double part = std::min(budget, request.prefillLeft);
            request.prefillLeft -= part;
            request.prefillDone += part;
            budget -= part;
            if (request.prefillLeft <= 0.0)
                cacheBlocks(request);
        }
    }
    tokenMs = aloneTokenMs
            + tokenMsPerStream * (std::max<double>(1.0, static_cast<double>(running.size())) - 1.0);
    const double speed = 1.0 - prefillSlowdown * (1.0 - budget / whole);
    for (const std::size_t index : running) {
        Request &request = requests[index];
        if (request.prefillLeft > 0.0)
            continue;
        request.decoded += speed * seconds * 1000.0 / tokenMs;
        if (request.decoded >= 1.0 && request.firstTokenAt == Timestamp {})
            request.firstTokenAt = now;
        if (request.decoded >= request.outputTokens || request.failsAt <= now)
            done.push_back(index);
    }
    for (const std::size_t index : done)
        std::erase(running, index);
}

} // namespace bench
