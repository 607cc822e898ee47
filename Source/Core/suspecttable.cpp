#include "Core/suspecttable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sesame {

namespace {

constexpr std::size_t crashesToQuarantine = 2;
constexpr Duration gossipPeriod = std::chrono::milliseconds(100);
constexpr Duration crashRetention = std::chrono::minutes(1);

} // namespace

SuspectTable::SuspectTable(std::string node, SuspectOptions options)
    : m_node(std::move(node)), m_options(options)
{
}

/*!
    Returns the number of crashes that still count against \a record.
*/
std::size_t SuspectTable::countUnclearedCrashes(const Record &record)
{
    return static_cast<std::size_t>(std::count_if(record.crashedOn.begin(), record.crashedOn.end(),
                                                  [&](const std::string &engine) {
                                                      return !record.cleared.contains(engine);
                                                  }));
}

SuspectTable::Record &SuspectTable::markChanged(Fingerprint fingerprint, Timestamp now)
{
    Record &record = m_records[fingerprint];
    record.sequence = ++m_sequence;
    record.lastChangedAt = now;
    return record;
}

/*!
    Sets this node's announcement for \a record; an empty \a engine withdraws it.
*/
void SuspectTable::announce(Record &record, std::string_view engine, Timestamp now)
{
    Announcement &own = record.announcements[m_node];
    own.engine = engine;
    own.announcedAt = now;
    own.running = false;
    record.sequence = ++m_sequence;
}

void SuspectTable::recordCrash(std::string_view engine, std::string_view zone,
                               std::span<const Fingerprint> running, Timestamp now)
{
    m_crashes.push_back(
            Crash {.engine = std::string(engine), .zone = std::string(zone), .detectedAt = now});
    while (m_crashes.front().detectedAt + crashRetention < now)
        m_crashes.pop_front();
    for (const Fingerprint fingerprint : running) {
        Record &record = markChanged(fingerprint, now);
        record.crashedOn.emplace(engine);
        announce(record, {}, now);
        if (countUnclearedCrashes(record) >= crashesToQuarantine && !record.quarantined)
            record.decisionDueAt = std::min(record.decisionDueAt, now + m_options.zoneWindow);
    }
}

/*!
    Returns whether another engine of the zone crashed at about the time of \a crash although it
    did not run the request of \a record. The request cannot have caused both crashes.
*/
bool SuspectTable::hasZoneFailed(const Crash &crash, const Record &record) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash &other) {
        const Duration interval = std::max(other.detectedAt - crash.detectedAt,
                                           crash.detectedAt - other.detectedAt);
        return other.engine != crash.engine && other.zone == crash.zone
                && interval <= m_options.zoneWindow && !record.crashedOn.contains(other.engine);
    });
}

void SuspectTable::clearZoneCrashes(Record &record)
{
    for (const Crash &crash : m_crashes) {
        if (record.crashedOn.contains(crash.engine) && hasZoneFailed(crash, record))
            record.cleared.insert(crash.engine);
    }
}

void SuspectTable::decideDueSuspects(Timestamp now)
{
    for (auto &[fingerprint, record] : m_records) {
        if (record.decisionDueAt > now)
            continue;
        record.decisionDueAt = Timestamp::max();
        clearZoneCrashes(record);
        record.quarantined = record.quarantined
                || countUnclearedCrashes(record) >= crashesToQuarantine;
        record.sequence = ++m_sequence;
        record.lastChangedAt = now;
    }
}

/*!
    Returns whether another announcement prevents this node from running \a fingerprint on
    \a engine: one of another node for the same suspect, or one of any node for another suspect on
    the same engine. With \a onlyWinning, only announcements that take precedence over the one of
    this node count.
*/
bool SuspectTable::hasConflict(Fingerprint fingerprint, const Record &record,
                               std::string_view engine, bool onlyWinning) const
{
    for (const auto &[node, other] : record.announcements) {
        if (node != m_node && !other.engine.empty() && (!onlyWinning || node < m_node))
            return true;
    }
    for (const auto &[otherFingerprint, otherRecord] : m_records) {
        if (otherFingerprint == fingerprint)
            continue;
        for (const auto &[node, other] : otherRecord.announcements) {
            const bool wins = std::tie(node, otherFingerprint) < std::tie(m_node, fingerprint);
            if (other.engine == engine && (!onlyWinning || wins || other.running))
                return true;
        }
    }
    return false;
}

bool SuspectTable::tryRunOn(Fingerprint fingerprint, std::string_view engine, Timestamp now)
{
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return true;
    decideDueSuspects(now);
    Record &record = it->second;
    if (record.quarantined || record.decisionDueAt != Timestamp::max())
        return false;
    if (countUnclearedCrashes(record) == 0)
        return true;
    const auto own = record.announcements.find(m_node);
    const bool announced = own != record.announcements.end() && !own->second.engine.empty();
    if (!announced) {
        if (!hasConflict(fingerprint, record, engine, false))
            announce(markChanged(fingerprint, now), engine, now);
        return false;
    }
    if (own->second.running || own->second.engine != engine)
        return false;
    if (hasConflict(fingerprint, record, engine, true)) {
        announce(markChanged(fingerprint, now), {}, now);
        return false;
    }
    if (now - own->second.announcedAt <= 2 * m_options.maxGossipDelay)
        return false;
    own->second.running = true;
    return true;
}

std::string SuspectTable::announcedEngine(Fingerprint fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return {};
    const auto own = it->second.announcements.find(m_node);
    return own == it->second.announcements.end() ? std::string() : own->second.engine;
}

std::vector<std::string> SuspectTable::enginesOfOtherSuspects(Fingerprint fingerprint) const
{
    std::vector<std::string> engines;
    for (const auto &[other, record] : m_records) {
        for (const auto &[node, announcement] : record.announcements) {
            if (other != fingerprint && !announcement.engine.empty())
                engines.push_back(announcement.engine);
        }
    }
    return engines;
}

bool SuspectTable::isHeldByPeer(Fingerprint fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || it->second.quarantined)
        return false;
    const auto &announcements = it->second.announcements;
    return std::any_of(announcements.begin(), announcements.end(), [&](const auto &entry) {
        return entry.first != m_node && !entry.second.engine.empty();
    });
}

void SuspectTable::withdraw(Fingerprint fingerprint, Timestamp now)
{
    if (!announcedEngine(fingerprint).empty())
        announce(markChanged(fingerprint, now), {}, now);
}

void SuspectTable::recordCompletion(Fingerprint fingerprint, Timestamp now)
{
    if (!m_records.contains(fingerprint))
        return;
    Record &record = markChanged(fingerprint, now);
    record.cleared = record.crashedOn;
    record.decisionDueAt = Timestamp::max();
    announce(record, {}, now);
}

bool SuspectTable::isSuspect(Fingerprint fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    return it != m_records.end()
            && (it->second.quarantined || countUnclearedCrashes(it->second) > 0);
}

bool SuspectTable::isQuarantined(Fingerprint fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    return it != m_records.end() && it->second.quarantined;
}

void SuspectTable::quarantine(Fingerprint fingerprint, Timestamp now)
{
    if (isQuarantined(fingerprint))
        return;
    Record &record = markChanged(fingerprint, now);
    record.quarantined = true;
    announce(record, {}, now);
}

std::vector<Fingerprint> SuspectTable::quarantinedFingerprints() const
{
    std::vector<Fingerprint> list;
    for (const auto &[fingerprint, record] : m_records) {
        if (record.quarantined)
            list.push_back(fingerprint);
    }
    return list;
}

void SuspectTable::forgetNode(std::string_view node)
{
    for (auto &[fingerprint, record] : m_records) {
        const auto it = record.announcements.find(std::string(node));
        if (it != record.announcements.end())
            it->second.engine.clear();
    }
}

void SuspectTable::forgetHolders(std::string_view prefix, std::string_view kept)
{
    for (auto &[fingerprint, record] : m_records) {
        for (auto &[holder, announcement] : record.announcements) {
            if (holder.starts_with(prefix) && holder != kept)
                announcement.engine.clear();
        }
    }
}

SuspectUpdate SuspectTable::makeUpdate(Fingerprint fingerprint, const Record &record) const
{
    return SuspectUpdate {.fingerprint = fingerprint,
                          .holder = m_node,
                          .sequence = record.sequence,
                          .crashedOn = {record.crashedOn.begin(), record.crashedOn.end()},
                          .cleared = {record.cleared.begin(), record.cleared.end()},
                          .engine = announcedEngine(fingerprint),
                          .quarantined = record.quarantined};
}

std::vector<SuspectUpdate> SuspectTable::makeAllUpdates() const
{
    std::vector<SuspectUpdate> updates;
    updates.reserve(m_records.size());
    for (const auto &[fingerprint, record] : m_records)
        updates.push_back(makeUpdate(fingerprint, record));
    return updates;
}

void SuspectTable::update(Timestamp now)
{
    decideDueSuspects(now);
    removeExpired(now);
}

std::vector<SuspectUpdate> SuspectTable::updatesSince(std::uint64_t sequence) const
{
    std::vector<SuspectUpdate> updates;
    for (const auto &[fingerprint, record] : m_records) {
        if (record.sequence > sequence)
            updates.push_back(makeUpdate(fingerprint, record));
    }
    return updates;
}

void SuspectTable::applyUpdates(std::span<const SuspectUpdate> updates, Timestamp now)
{
    for (const SuspectUpdate &update : updates) {
        if (update.holder == m_node)
            continue;
        Record &record = m_records[update.fingerprint];
        record.lastChangedAt = now;
        record.crashedOn.insert(update.crashedOn.begin(), update.crashedOn.end());
        record.cleared.insert(update.cleared.begin(), update.cleared.end());
        Announcement &peer = record.announcements[update.holder];
        if (update.sequence > peer.sequence) {
            peer.sequence = update.sequence;
            peer.engine = update.engine;
            peer.announcedAt = now;
        }
        if (update.quarantined)
            quarantine(update.fingerprint, now);
        // Two nodes may each have detected one of the crashes.
        else if (countUnclearedCrashes(record) >= crashesToQuarantine && !record.quarantined)
            record.decisionDueAt = std::min(record.decisionDueAt, now + peerDecisionDelay());
    }
}

/*!
    Returns how long this node waits for the decision of the node that detected the crash, which
    may have detected that the whole zone failed.
*/
Duration SuspectTable::peerDecisionDelay() const
{
    return m_options.zoneWindow + m_options.maxGossipDelay + gossipPeriod * 2;
}

void SuspectTable::removeExpired(Timestamp now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const Record &record = entry.second;
        const Duration lifetime = record.quarantined ? m_options.quarantineLifetime
                                                     : m_options.recordLifetime;
        const bool announced = std::any_of(record.announcements.begin(), record.announcements.end(),
                                           [](const auto &announcement) {
                                               return !announcement.second.engine.empty();
                                           });
        return !announced && now - record.lastChangedAt > lifetime;
    });
}

} // namespace sesame
