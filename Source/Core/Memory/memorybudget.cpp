#include "Core/Memory/memorybudget.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! An answer that its client has read a part of within this time is not cut.
constexpr auto minUnreadTime = 1000ms;
//! Added to the time without progress, so that of two holders that have just made progress, the
//! larger one is cut first.
constexpr double baseMillis = 100.0;

} // namespace

void MemoryBudget::count(const Holder &holder)
{
    if (holder.isVictim)
        return;
    m_total += holder.bytes;
    m_large += isLarge(holder) ? holder.bytes : 0;
}

void MemoryBudget::uncount(const Holder &holder)
{
    if (holder.isVictim)
        return;
    m_total -= holder.bytes;
    m_large -= isLarge(holder) ? holder.bytes : 0;
}

void MemoryBudget::charge(HolderId holder, std::size_t bytes, HolderState state, Time progressAt)
{
    Holder &held = m_holders[holder];
    uncount(held);
    held.bytes = bytes;
    held.state = state;
    held.progressAt = progressAt;
    count(held);
}

void MemoryBudget::remove(HolderId holder)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return;
    uncount(found->second);
    m_holders.erase(found);
}

std::vector<MemoryBudget::HolderId> MemoryBudget::takeVictims(Time now)
{
    if (m_limit == 0 || (m_total <= m_limit && m_large <= largeLimit()))
        return {};
    struct Candidate
    {
        HolderId id;
        bool isLarge;
        double score;
    };
    std::vector<Candidate> candidates;
    for (const auto &[id, holder] : m_holders) {
        const auto still = now - holder.progressAt;
        if (holder.isVictim || holder.state == HolderState::Working
            || (holder.state == HolderState::Unread && still < minUnreadTime))
            continue;
        const double millis = std::chrono::duration<double, std::milli>(still).count() + baseMillis;
        candidates.push_back({.id = id,
                              .isLarge = isLarge(holder),
                              .score = static_cast<double>(holder.bytes) * millis});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.isLarge != b.isLarge ? a.isLarge : a.score > b.score;
    });
    std::vector<HolderId> victims;
    for (const Candidate &candidate : candidates) {
        if (m_total <= m_limit && (m_large <= largeLimit() || !candidate.isLarge))
            break;
        Holder &holder = m_holders[candidate.id];
        uncount(holder);
        holder.isVictim = true;
        victims.push_back(candidate.id);
    }
    return victims;
}

bool MemoryBudget::hasRoomFor(HolderId holder) const
{
    const auto found = m_holders.find(holder);
    if (m_limit == 0 || found == m_holders.end())
        return true;
    return !found->second.isVictim && m_total <= m_limit
            && (!isLarge(found->second) || m_large <= largeLimit());
}

} // namespace sesame
