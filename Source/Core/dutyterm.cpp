#include "Core/dutyterm.h"

#include <algorithm>

namespace sesame {

void DutyTerm::observe(const std::optional<DutyRecord> &record, StoreRevision revision,
                       Timestamp now)
{
    if (revision.era < m_revision.era)
        return;
    m_isFirstRecord = m_isFirstRecord && (!m_hasObserved || revision.era == m_revision.era);
    // After a restoration, a stale answer may have another record with the same revision.
    if (!m_hasObserved || revision != m_revision || record != m_observedRecord) {
        m_hasObserved = true;
        m_revision = revision;
        m_observedSince = now;
    }
    m_observedRecord = record;
    m_isFirstRecord = m_isFirstRecord && !record;
}

std::optional<DutyRecord> DutyTerm::proposeTakeover(Timestamp now) const
{
    if (!m_hasObserved || m_revision.era > StoreRevision::maxEra)
        return std::nullopt;
    // An earlier process of this node has ended, so its term need not expire first.
    const bool isOther = m_observedRecord && !m_observedRecord->holder.empty()
            && m_observedRecord->holder != m_holder;
    if ((isOther || isRecordOutdated())
        && now < m_observedSince + m_options.leaseDuration + m_options.clockMargin)
        return std::nullopt;
    std::int64_t last = m_observedRecord ? m_observedRecord->term : 0;
    if (m_revision.era != 0)
        last = std::max(last, m_revision.ordinal());
    return DutyRecord {.holder = m_holder,
                       .incarnation = m_incarnation,
                       .term = last + 1,
                       .era = m_revision.era,
                       .isWaiting = mustWaitToAct()};
}

/*!
    Returns whether a term that begins now may act only later. If the previous term expired, its
    holder stopped sending calls long enough ago. If it was released, its holder may have sent one
    just before, also if this node has been restarted since it took over.
*/
bool DutyTerm::mustWaitToAct() const
{
    if (!m_observedRecord || m_observedRecord->term == 0 || isRecordOutdated())
        return false;
    return m_observedRecord->holder.empty()
            || (m_observedRecord->holder == m_holder && m_observedRecord->isWaiting);
}

bool DutyTerm::isRecordOutdated() const
{
    if (m_observedRecord)
        return m_observedRecord->era != m_revision.era;
    return m_revision.era != 0 && !m_isFirstRecord;
}

DutyRecord DutyTerm::currentRecord(Timestamp steady) const
{
    return {.holder = m_holder,
            .incarnation = m_incarnation,
            .term = m_term,
            .era = m_revision.era,
            .isWaiting = steady < m_actingAllowedFrom};
}

void DutyTerm::confirmWrite(const DutyRecord &record, StoreRevision revision, Timestamp steady,
                            Timestamp boot)
{
    const bool isFirst = m_term == 0;
    const bool mustWait = mustWaitToAct();
    m_term = record.term;
    m_revision = revision;
    m_observedRecord = record;
    m_observedSince = steady;
    m_steadyDeadline = steady + m_options.leaseDuration - m_options.clockMargin;
    m_bootDeadline = boot + m_options.leaseDuration - m_options.clockMargin;
    if (isFirst)
        m_actingAllowedFrom = mustWait ? steady + m_options.leaseDuration + m_options.clockMargin
                                       : steady;
}

bool DutyTerm::adoptRevision(const std::optional<DutyRecord> &record, StoreRevision revision)
{
    const bool isOwn = record && record->holder == m_holder && record->incarnation == m_incarnation
            && record->term == m_term;
    const bool isLost = record ? record->era < revision.era : revision.era > m_revision.era;
    if (m_term == 0 || revision.era < m_revision.era || !(isOwn || isLost))
        return false;
    m_revision = revision;
    return true;
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
