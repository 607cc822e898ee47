#include "prefixcache.h"

namespace sesame {

namespace {
constexpr std::size_t eventLimit = 8192;
constexpr std::uint64_t gapInterval = 17;
} // namespace

std::size_t PrefixCache::use(std::span<const std::uint64_t> blocks, Timestamp now)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && m_positions.contains(blocks[hits]))
        ++hits;
    for (const std::uint64_t block : blocks)
        touch(block, now);
    return hits;
}

std::vector<EngineCacheEvent> PrefixCache::eventsAfter(std::uint64_t after, Timestamp until) const
{
    std::vector<EngineCacheEvent> events;
    for (const EngineCacheEvent &event : m_events) {
        if (event.time > until)
            break;
        if (event.sequence > after && event.sequence % gapInterval != 0)
            events.push_back(event);
    }
    return events;
}

void PrefixCache::touch(std::uint64_t block, Timestamp now)
{
    const auto it = m_positions.find(block);
    if (it != m_positions.end()) {
        m_recent.splice(m_recent.begin(), m_recent, it->second);
        return;
    }
    m_recent.push_front(block);
    m_positions.emplace(block, m_recent.begin());
    record(true, block, now);
    if (m_recent.size() <= m_capacity)
        return;
    const std::uint64_t oldest = m_recent.back();
    m_recent.pop_back();
    m_positions.erase(oldest);
    record(false, oldest, now);
}

void PrefixCache::record(bool added, std::uint64_t block, Timestamp now)
{
    m_events.push_back({.sequence = ++m_sequence, .added = added, .block = block, .time = now});
    if (m_events.size() > eventLimit)
        m_events.pop_front();
}

} // namespace sesame
