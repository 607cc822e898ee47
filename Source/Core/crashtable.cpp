#include "Core/crashtable.h"

#include <algorithm>

namespace sesame {

CrashTable::Entry *CrashTable::findOrAdd(std::uint64_t fingerprint, Timestamp now)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end())
        return &found->second;
    if (m_entries.size() >= m_options.maxEntries)
        removeExpired(now);
    if (m_entries.size() >= m_options.maxEntries)
        return nullptr;
    Entry &entry = m_entries[fingerprint];
    entry.lastChange = now;
    return &entry;
}

void CrashTable::recordCrash(std::uint64_t fingerprint, Timestamp now)
{
    if (Entry *entry = findOrAdd(fingerprint, now)) {
        ++entry->own.crashes;
        entry->lastChange = now;
    }
}

void CrashTable::recordSuccess(std::uint64_t fingerprint)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end())
        ++found->second.own.successes;
}

void CrashTable::setPeerCount(std::uint64_t fingerprint, CrashCount count, Timestamp now)
{
    Entry *entry = findOrAdd(fingerprint, now);
    if (!entry)
        return;
    if (entry->peers.crashes != count.crashes)
        entry->lastChange = now;
    entry->peers = count;
}

CrashCount CrashTable::total(std::uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return {};
    const Entry &entry = found->second;
    return {.crashes = entry.own.crashes + entry.peers.crashes,
            .successes = entry.own.successes + entry.peers.successes};
}

bool CrashTable::isRefused(std::uint64_t fingerprint) const
{
    const CrashCount count = total(fingerprint);
    return count.crashes >= m_options.crashLimit && count.successes == 0;
}

std::optional<Duration> CrashTable::refusalTime(std::uint64_t fingerprint, Timestamp now) const
{
    if (!isRefused(fingerprint))
        return std::nullopt;
    return std::max(m_entries.at(fingerprint).lastChange + m_options.retention - now,
                    Duration::zero());
}

void CrashTable::removeExpired(Timestamp now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.lastChange >= m_options.retention;
    });
}

} // namespace sesame
