#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace sesame {

struct EngineCacheEvent
{
    std::uint64_t sequence = 0;
    bool isAdded = true;
    std::uint64_t block = 0;
    Timestamp time;
};

/*!
    Prompt blocks that the engine stand-in caches, and the events that announce changes. The least
    recently used block is evicted first.
*/
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity) : m_capacity(capacity) { }

    /*!
        Returns how many of the leading \a blocks are cached, then adds all blocks.
    */
    std::size_t useBlocks(std::span<const std::uint64_t> blocks, Timestamp now);

    /*!
        Returns the events with a sequence number above \a after and a time up to \a until. Every
        17th event is omitted, because engines publish events with gaps.
    */
    std::vector<EngineCacheEvent> eventsAfter(std::uint64_t after, Timestamp until) const;

private:
    void touchBlock(std::uint64_t block, Timestamp now);
    void recordEvent(bool added, std::uint64_t block, Timestamp now);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_recentBlocks; //!< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::deque<EngineCacheEvent> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace sesame
