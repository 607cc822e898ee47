#include "Core/dutyterm.h"

namespace sesame {

void DutyTerm::observe(const std::optional<DutyRecord> &record, std::uint64_t revision,
                       Timestamp now)
{
    if (!m_everSeen || revision != m_revision) {
        m_everSeen = true;
        m_revision = revision;
        m_seenSince = now;
    }
    m_seen = record;
}

std::optional<DutyRecord> DutyTerm::proposeTakeover(Timestamp now) const
{
    if (!m_everSeen)
        return std::nullopt;
    // An earlier process of this machine has ended, so its term needs no time to lapse.
    const bool isOther = m_seen && !m_seen->holder.empty() && m_seen->holder != m_holder;
    if (isOther && now < m_seenSince + m_options.lease + m_options.margin)
        return std::nullopt;
    const std::int64_t last = m_seen ? m_seen->term : 0;
    return DutyRecord {.holder = m_holder, .incarnation = m_incarnation, .term = last + 1};
}

DutyRecord DutyTerm::currentRecord() const
{
    return {.holder = m_holder, .incarnation = m_incarnation, .term = m_term};
}

void DutyTerm::confirmWrite(const DutyRecord &record, std::uint64_t revision, Timestamp steady,
                            Timestamp boot)
{
    const bool isFirst = m_term == 0;
    // A lapsed term has kept the holders' calls apart already; a released one has not.
    const bool wasReleased = m_seen && m_seen->term > 0 && m_seen->holder.empty();
    m_term = record.term;
    m_revision = revision;
    m_seen = record;
    m_seenSince = steady;
    m_steadyEnd = steady + m_options.lease - m_options.margin;
    m_bootEnd = boot + m_options.lease - m_options.margin;
    if (isFirst)
        m_actFrom = wasReleased ? steady + m_options.lease + m_options.margin : steady;
}

bool DutyTerm::adoptRevision(const std::optional<DutyRecord> &record, std::uint64_t revision)
{
    const bool isOwn = m_term != 0 && record && record->holder == m_holder
            && record->incarnation == m_incarnation && record->term == m_term;
    if (isOwn)
        m_revision = revision;
    return isOwn;
}

void DutyTerm::lose()
{
    m_term = 0;
}

bool DutyTerm::isHeld(Timestamp steady, Timestamp boot) const
{
    return m_term != 0 && steady < m_steadyEnd && boot < m_bootEnd;
}

bool DutyTerm::mayAct(Timestamp steady, Timestamp boot) const
{
    return isHeld(steady, boot) && steady >= m_actFrom;
}

} // namespace sesame
