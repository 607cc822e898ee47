#include "prefixcache.h"

namespace sesame {

namespace {
constexpr std::size_t maxEvents = 8192;
constexpr std::uint64_t omittedEventInterval = 17;
} // namespace

std::size_t PrefixCache::useBlocks(std::span<const std::uint64_t> blocks, Timestamp now)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && m_positions.contains(blocks[hits]))
        ++hits;
    for (const std::uint64_t block : blocks)
        touchBlock(block, now);
    return hits;
}

std::vector<EngineCacheEvent> PrefixCache::eventsAfter(std::uint64_t after, Timestamp until) const
{
    std::vector<EngineCacheEvent> events;
    for (const EngineCacheEvent &event : m_events) {
        if (event.time > until)
            break;
        if (event.sequence > after && event.sequence % omittedEventInterval != 0)
            events.push_back(event);
    }
    return events;
}

void PrefixCache::touchBlock(std::uint64_t block, Timestamp now)
{
    const auto it = m_positions.find(block);
    if (it != m_positions.end()) {
        m_recentBlocks.splice(m_recentBlocks.begin(), m_recentBlocks, it->second);
        return;
    }
    m_recentBlocks.push_front(block);
    m_positions.emplace(block, m_recentBlocks.begin());
    recordEvent(true, block, now);
    if (m_recentBlocks.size() <= m_capacity)
        return;
    const std::uint64_t oldest = m_recentBlocks.back();
    m_recentBlocks.pop_back();
    m_positions.erase(oldest);
    recordEvent(false, oldest, now);
}

void PrefixCache::recordEvent(bool added, std::uint64_t block, Timestamp now)
{
    m_events.push_back({.sequence = ++m_sequence, .isAdded = added, .block = block, .time = now});
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

} // namespace sesame
