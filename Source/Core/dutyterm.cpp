#include "Core/dutyterm.h"

namespace sesame {

void DutyTerm::observe(const std::optional<DutyRecord> &record, std::uint64_t revision,
                       Timestamp now)
{
    if (!m_hasObserved || revision != m_revision) {
        m_hasObserved = true;
        m_revision = revision;
        m_observedSince = now;
    }
    m_observedRecord = record;
}

std::optional<DutyRecord> DutyTerm::proposeTakeover(Timestamp now) const
{
    if (!m_hasObserved)
        return std::nullopt;
    // An earlier process of this node has ended, so its term need not expire first.
    const bool isOther = m_observedRecord && !m_observedRecord->holder.empty()
            && m_observedRecord->holder != m_holder;
    if (isOther && now < m_observedSince + m_options.leaseDuration + m_options.clockMargin)
        return std::nullopt;
    const std::int64_t last = m_observedRecord ? m_observedRecord->term : 0;
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
    // If the previous term expired, its holder stopped sending calls long enough ago for this node
    // to act immediately. If the term was released, its holder may have sent a call just before the
    // release, so this node has to wait before it acts.
    const bool wasReleased = m_observedRecord && m_observedRecord->term > 0
            && m_observedRecord->holder.empty();
    m_term = record.term;
    m_revision = revision;
    m_observedRecord = record;
    m_observedSince = steady;
    m_steadyDeadline = steady + m_options.leaseDuration - m_options.clockMargin;
    m_bootDeadline = boot + m_options.leaseDuration - m_options.clockMargin;
    if (isFirst)
        m_actingAllowedFrom = wasReleased ? steady + m_options.leaseDuration + m_options.clockMargin
                                          : steady;
}

bool DutyTerm::adoptRevision(const std::optional<DutyRecord> &record, std::uint64_t revision)
{
    const bool isOwn = m_term != 0 && record && record->holder == m_holder
            && record->incarnation == m_incarnation && record->term == m_term;
    if (isOwn)
        m_revision = revision;
    return isOwn;
}

void DutyTerm::endTerm()
{
    m_term = 0;
}

bool DutyTerm::isHeld(Timestamp steady, Timestamp boot) const
{
    return m_term != 0 && steady < m_steadyDeadline && boot < m_bootDeadline;
}

bool DutyTerm::canAct(Timestamp steady, Timestamp boot) const
{
    return isHeld(steady, boot) && steady >= m_actingAllowedFrom;
}

} // namespace sesame
