#include "Core/suspecttable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sesame {

namespace {

constexpr std::size_t crashesToQuarantine = 2;
constexpr Duration rumourPeriod = std::chrono::milliseconds(100);
constexpr Duration crashMemory = std::chrono::minutes(1);

} // namespace

SuspectTable::SuspectTable(std::string node, SuspectOptions options)
    : m_node(std::move(node)), m_options(options)
{
}

std::size_t SuspectTable::openCrashes(const Record &record)
{
    return static_cast<std::size_t>(std::count_if(record.crashedOn.begin(), record.crashedOn.end(),
                                                  [&](const std::string &engine) {
                                                      return !record.cleared.contains(engine);
                                                  }));
}

SuspectTable::Record &SuspectTable::touch(Fingerprint fingerprint, Timestamp now)
{
    Record &record = m_records[fingerprint];
    record.changed = true;
    record.touchedAt = now;
    return record;
}

/*!
    Sets this node's announcement for \a record; an empty \a engine withdraws it.
*/
void SuspectTable::announce(Record &record, std::string_view engine, Timestamp now)
{
    Announcement &own = record.announcements[m_node];
    own.engine = engine;
    own.since = now;
    own.running = false;
    record.changed = true;
}

void SuspectTable::recordCrash(std::string_view engine, std::string_view zone,
                               std::span<const Fingerprint> running, Timestamp now)
{
    m_crashes.push_back(
            Crash {.engine = std::string(engine), .zone = std::string(zone), .at = now});
    while (m_crashes.front().at + crashMemory < now)
        m_crashes.pop_front();
    for (const Fingerprint fingerprint : running) {
        Record &record = touch(fingerprint, now);
        record.crashedOn.emplace(engine);
        announce(record, {}, now);
        if (openCrashes(record) >= crashesToQuarantine && !record.quarantined)
            record.verdictAt = std::min(record.verdictAt, now + m_options.zoneWindow);
    }
}

/*!
    Returns whether another engine of the zone died at about the time of \a crash without
    running the request of \a record: a single request does not explain both.
*/
bool SuspectTable::zoneFailed(const Crash &crash, const Record &record) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash &other) {
        const Duration apart = std::max(other.at - crash.at, crash.at - other.at);
        return other.engine != crash.engine && other.zone == crash.zone
                && apart <= m_options.zoneWindow && !record.crashedOn.contains(other.engine);
    });
}

void SuspectTable::clearZoneCrashes(Record &record)
{
    for (const Crash &crash : m_crashes) {
        if (record.crashedOn.contains(crash.engine) && zoneFailed(crash, record))
            record.cleared.insert(crash.engine);
    }
}

void SuspectTable::decideDue(Timestamp now)
{
    for (auto &[fingerprint, record] : m_records) {
        if (record.verdictAt > now)
            continue;
        record.verdictAt = Timestamp::max();
        clearZoneCrashes(record);
        record.quarantined = record.quarantined || openCrashes(record) >= crashesToQuarantine;
        record.changed = true;
        record.touchedAt = now;
    }
}

/*!
    Returns whether another announcement stands in the way of running \a fingerprint on
    \a engine: one of another node for the same suspect, or any for the same engine. With
    \a onlyStronger, only those that win against this node's own announcement count.
*/
bool SuspectTable::isTakenByOther(Fingerprint fingerprint, const Record &record,
                                  std::string_view engine, bool onlyStronger) const
{
    for (const auto &[node, other] : record.announcements) {
        if (node != m_node && !other.engine.empty() && (!onlyStronger || node < m_node))
            return true;
    }
    for (const auto &[otherFingerprint, otherRecord] : m_records) {
        if (otherFingerprint == fingerprint)
            continue;
        for (const auto &[node, other] : otherRecord.announcements) {
            const bool stronger = std::tie(node, otherFingerprint) < std::tie(m_node, fingerprint);
            if (other.engine == engine && (!onlyStronger || stronger || other.running))
                return true;
        }
    }
    return false;
}

bool SuspectTable::mayRunOn(Fingerprint fingerprint, std::string_view engine, Timestamp now)
{
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return true;
    decideDue(now);
    Record &record = it->second;
    if (record.quarantined || record.verdictAt != Timestamp::max())
        return false;
    if (openCrashes(record) == 0)
        return true;
    const auto own = record.announcements.find(m_node);
    const bool announced = own != record.announcements.end() && !own->second.engine.empty();
    if (!announced) {
        if (!isTakenByOther(fingerprint, record, engine, false))
            announce(touch(fingerprint, now), engine, now);
        return false;
    }
    if (own->second.running || own->second.engine != engine)
        return false;
    if (isTakenByOther(fingerprint, record, engine, true)) {
        announce(touch(fingerprint, now), {}, now);
        return false;
    }
    if (now - own->second.since <= 2 * m_options.rumourDelay)
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

bool SuspectTable::waitsForPeer(Fingerprint fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || it->second.quarantined)
        return false;
    const auto &announcements = it->second.announcements;
    return std::any_of(announcements.begin(), announcements.end(), [&](const auto &entry) {
        return entry.first != m_node && !entry.second.engine.empty();
    });
}

void SuspectTable::release(Fingerprint fingerprint, Timestamp now)
{
    if (!announcedEngine(fingerprint).empty())
        announce(touch(fingerprint, now), {}, now);
}

void SuspectTable::recordCompletion(Fingerprint fingerprint, Timestamp now)
{
    if (!m_records.contains(fingerprint))
        return;
    Record &record = touch(fingerprint, now);
    record.cleared = record.crashedOn;
    record.verdictAt = Timestamp::max();
    announce(record, {}, now);
}

bool SuspectTable::isSuspect(Fingerprint fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    return it != m_records.end() && (it->second.quarantined || openCrashes(it->second) > 0);
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
    Record &record = touch(fingerprint, now);
    record.quarantined = true;
    announce(record, {}, now);
}

std::vector<Fingerprint> SuspectTable::quarantined() const
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

SuspectRumour SuspectTable::rumourOf(Fingerprint fingerprint, const Record &record) const
{
    return SuspectRumour {.fingerprint = fingerprint,
                          .holder = m_node,
                          .sequence = m_sequence,
                          .crashedOn = {record.crashedOn.begin(), record.crashedOn.end()},
                          .cleared = {record.cleared.begin(), record.cleared.end()},
                          .engine = announcedEngine(fingerprint),
                          .quarantined = record.quarantined};
}

std::vector<SuspectRumour> SuspectTable::allRumours()
{
    ++m_sequence;
    std::vector<SuspectRumour> rumours;
    rumours.reserve(m_records.size());
    for (const auto &[fingerprint, record] : m_records)
        rumours.push_back(rumourOf(fingerprint, record));
    return rumours;
}

std::vector<SuspectRumour> SuspectTable::rumoursToSend(Timestamp now)
{
    decideDue(now);
    expire(now);
    std::vector<SuspectRumour> rumours;
    for (auto &[fingerprint, record] : m_records) {
        if (!record.changed)
            continue;
        ++m_sequence;
        rumours.push_back(rumourOf(fingerprint, record));
        record.changed = false;
    }
    return rumours;
}

void SuspectTable::receive(std::span<const SuspectRumour> rumours, Timestamp now)
{
    for (const SuspectRumour &rumour : rumours) {
        if (rumour.holder == m_node)
            continue;
        Record &record = m_records[rumour.fingerprint];
        record.touchedAt = now;
        record.crashedOn.insert(rumour.crashedOn.begin(), rumour.crashedOn.end());
        record.cleared.insert(rumour.cleared.begin(), rumour.cleared.end());
        Announcement &peer = record.announcements[rumour.holder];
        if (rumour.sequence > peer.sequence) {
            peer.sequence = rumour.sequence;
            peer.engine = rumour.engine;
            peer.since = now;
        }
        if (rumour.quarantined)
            quarantine(rumour.fingerprint, now);
        // Two nodes may each have seen one of the crashes.
        else if (openCrashes(record) >= crashesToQuarantine && !record.quarantined)
            record.verdictAt = std::min(record.verdictAt, now + peerVerdictDelay());
    }
}

/*!
    Returns how long this node leaves the verdict to the node that saw the crash, which may
    have seen that the whole zone failed.
*/
Duration SuspectTable::peerVerdictDelay() const
{
    return m_options.zoneWindow + m_options.rumourDelay + rumourPeriod * 2;
}

void SuspectTable::expire(Timestamp now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const Record &record = entry.second;
        const Duration lifetime = record.quarantined ? m_options.quarantineLifetime
                                                     : m_options.recordLifetime;
        const bool announced = std::any_of(record.announcements.begin(), record.announcements.end(),
                                           [](const auto &announcement) {
                                               return !announcement.second.engine.empty();
                                           });
        return !announced && now - record.touchedAt > lifetime;
    });
}

} // namespace sesame
