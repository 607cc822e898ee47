#include "Core/objectreplica.h"

#include "Core/storerevision.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace sesame {

namespace {

//! Earlier revisions that are remembered of each object. Entries of engines change a few times in
//! the seconds by which a copy is older.
constexpr std::size_t maxEarlierRevisions = 8;

} // namespace

std::vector<ReplicaObject> ObjectReplica::applyListing(std::span<const ReplicaObject> objects,
                                                       std::int64_t revision, Timestamp knownAt,
                                                       std::optional<Timestamp> graceEnd)
{
    const std::int64_t revisionBefore = m_revision;
    std::vector<ReplicaObject> changed;
    std::vector<std::string> listed;
    for (const ReplicaObject &object : objects) {
        if (object.removed)
            continue;
        listed.push_back(object.name);
        if (graceEnd && isOfOlderCopy(object)) {
            Entry &entry = m_entries[object.name];
            keepForGrace(entry, *graceEnd, revisionBefore);
            entry.copiedContent = object.content;
        } else if (store(object, knownAt))
            changed.push_back(object);
        else if (m_entries[object.name].object.revision == object.revision)
            endGrace(m_entries[object.name]);
    }
    removeMissing(listed, revision, knownAt, graceEnd, revisionBefore, changed);
    // Objects that were created and removed since the last state are not in the list. The revision
    // of the list makes the others compare the whole state.
    m_revision = std::max(m_revision, revision);
    m_removalsSince = std::max(m_removalsSince, revision);
    advance(revision, knownAt);
    return changed;
}

std::vector<ReplicaObject> ObjectReplica::applyChanges(std::span<const ReplicaObject> objects,
                                                       std::int64_t revision, Timestamp knownAt,
                                                       std::optional<Timestamp> graceEnd)
{
    // Only the last change of each object counts, because an object may be removed and created
    // again within one call.
    std::unordered_map<std::string_view, const ReplicaObject *> last;
    for (const ReplicaObject &object : objects)
        last[object.name] = &object;
    const std::int64_t revisionBefore = m_revision;
    std::vector<ReplicaObject> changed;
    for (const ReplicaObject &object : objects) {
        if (last[object.name] != &object)
            continue;
        if (object.removed && graceEnd) {
            const auto found = m_entries.find(object.name);
            if (found != m_entries.end() && !found->second.object.removed) {
                if (found->second.object.revision < revision)
                    keepForGrace(found->second, *graceEnd, revisionBefore);
                continue;
            }
        }
        ReplicaObject change = object;
        // The store reports a removal without its own revision.
        if (change.removed)
            change.revision = revision;
        if (store(change, knownAt))
            changed.push_back(change);
    }
    advance(revision, knownAt);
    return changed;
}

std::vector<ReplicaObject> ObjectReplica::applyUpdate(const wire::ReplicaUpdate &update,
                                                      Timestamp now)
{
    const bool isFirst = !hasState();
    // The update may contain later changes, but it is complete only up to its version.
    const std::int64_t revisionBefore = m_revision;
    const std::int64_t stateRevisionBefore = m_stateRevision;
    std::vector<ReplicaObject> changed;
    std::vector<std::string> listed;
    for (const wire::ReplicatedObject &item : update.objects) {
        const ReplicaObject object {.name = item.name,
                                    .revision = item.revision,
                                    .removed = item.removed,
                                    .content = item.content};
        listed.push_back(object.name);
        // The own state contains the objects of that revision, unless they were removed since.
        const bool isOutdated = !object.removed && object.revision <= stateRevisionBefore;
        if (!isOutdated && store(object, now))
            changed.push_back(object);
    }
    if (update.complete)
        removeMissing(listed, update.version.revision, now, std::nullopt, m_revision, changed);
    m_revision = std::max(revisionBefore, update.version.revision);
    if (isFirst || (update.complete && update.version.revision > stateRevisionBefore))
        m_removalsSince = update.version.revision;
    if (update.version.ageMillis >= 0)
        advance(update.version.revision, now - std::chrono::milliseconds(update.version.ageMillis));
    return changed;
}

void ObjectReplica::confirm(const wire::StateVersion &version, Timestamp now)
{
    if (!hasState() || version.ageMillis < 0 || version.revision > revision())
        return;
    m_knownAt = std::max(*m_knownAt, now - std::chrono::milliseconds(version.ageMillis));
}

std::vector<ReplicaObject> ObjectReplica::removeExpired(Timestamp now)
{
    std::vector<ReplicaObject> changed;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        Entry &entry = it->second;
        if (entry.graceEnd && now >= *entry.graceEnd) {
            // The state that lacked the object is the newest one that is known.
            replace(entry,
                    {.name = it->first,
                     .revision = std::max(m_stateRevision, entry.object.revision),
                     .removed = !entry.copiedContent,
                     .content = entry.copiedContent.value_or("")},
                    now);
            endGrace(entry);
            m_revision = std::max(m_revision, entry.object.revision);
            changed.push_back(entry.object);
        }
        if (entry.object.removed && !entry.graceEnd
            && now - entry.removedAt >= m_removalRetention) {
            m_removalsSince = std::max(m_removalsSince, entry.object.revision);
            it = m_entries.erase(it);
        } else {
            ++it;
        }
    }
    return changed;
}

wire::ReplicaUpdate ObjectReplica::changesSince(std::int64_t since, Timestamp now) const
{
    wire::ReplicaUpdate update;
    update.version = version(now);
    update.complete = since < m_removalsSince;
    for (const auto &[name, entry] : m_entries) {
        const ReplicaObject &object = entry.object;
        if (update.complete ? object.removed : object.revision <= since)
            continue;
        wire::ReplicatedObject item;
        item.name = object.name;
        item.revision = object.revision;
        item.removed = object.removed;
        item.content = object.content;
        update.objects.push_back(std::move(item));
    }
    return update;
}

wire::StateVersion ObjectReplica::version(Timestamp now) const
{
    wire::StateVersion version;
    version.revision = revision();
    version.ageMillis = -1;
    if (const auto known = age(now))
        version.ageMillis = std::chrono::ceil<std::chrono::milliseconds>(*known).count();
    return version;
}

std::int64_t ObjectReplica::revision() const
{
    return m_missingObjects > 0 ? std::min(m_revision, m_revisionBeforeGrace) : m_revision;
}

/*!
    Keeps the object of \a entry, which is missing or of an older copy, until \a graceEnd.
*/
void ObjectReplica::keepForGrace(Entry &entry, Timestamp graceEnd, std::int64_t revisionBefore)
{
    // What a copy had may be missing by now.
    entry.copiedContent.reset();
    if (entry.graceEnd)
        return;
    entry.graceEnd = graceEnd;
    if (m_missingObjects++ == 0)
        m_revisionBeforeGrace = revisionBefore;
}

void ObjectReplica::endGrace(Entry &entry)
{
    if (!entry.graceEnd)
        return;
    entry.graceEnd.reset();
    entry.copiedContent.reset();
    --m_missingObjects;
}

std::optional<Duration> ObjectReplica::age(Timestamp now) const
{
    if (!m_knownAt)
        return std::nullopt;
    return std::max(now - *m_knownAt, Duration::zero());
}

/*!
    Stores \a object if it is newer than the known version. Returns whether it is.
*/
bool ObjectReplica::store(const ReplicaObject &object, Timestamp now)
{
    const auto [found, added] = m_entries.try_emplace(object.name);
    Entry &entry = found->second;
    if (!added && object.revision <= entry.object.revision)
        return false;
    const bool wasPresent = !added && !entry.object.removed;
    replace(entry, object, now);
    endGrace(entry);
    m_revision = std::max(m_revision, object.revision);
    return wasPresent || !object.removed;
}

void ObjectReplica::replace(Entry &entry, ReplicaObject object, Timestamp now)
{
    entry.earlierRevisions.push_back(entry.object.revision);
    if (entry.earlierRevisions.size() > maxEarlierRevisions)
        entry.earlierRevisions.pop_front();
    entry.object = std::move(object);
    entry.removedAt = now;
}

/*!
    Returns whether \a object is a version from before the known one, which a store that was
    restored has again. What was written since the restoration has another revision than the
    versions before, but for a rare coincidence.
*/
bool ObjectReplica::isOfOlderCopy(const ReplicaObject &object) const
{
    const auto found = m_entries.find(object.name);
    if (found == m_entries.end())
        return false;
    const StoreRevision revision = StoreRevision::fromOrdinal(object.revision);
    const Entry &entry = found->second;
    return StoreRevision::fromOrdinal(entry.object.revision).era < revision.era
            && std::any_of(entry.earlierRevisions.begin(), entry.earlierRevisions.end(),
                           [&](std::int64_t earlier) {
                               return StoreRevision::fromOrdinal(earlier).number == revision.number;
                           });
}

/*!
    Removes the objects that a complete state at \a revision lacks.
*/
void ObjectReplica::removeMissing(std::span<const std::string> listed, std::int64_t revision,
                                  Timestamp now, std::optional<Timestamp> graceEnd,
                                  std::int64_t revisionBefore, std::vector<ReplicaObject> &changed)
{
    std::vector<std::string> present(listed.begin(), listed.end());
    std::sort(present.begin(), present.end());
    for (auto &[name, entry] : m_entries) {
        if (entry.object.revision > revision
            || std::binary_search(present.begin(), present.end(), name))
            continue;
        if (entry.object.removed) {
            endGrace(entry);
            continue;
        }
        if (graceEnd) {
            keepForGrace(entry, *graceEnd, revisionBefore);
            continue;
        }
        if (entry.graceEnd)
            continue;
        const ReplicaObject removal {.name = name, .revision = revision, .removed = true};
        replace(entry, removal, now);
        m_revision = std::max(m_revision, revision);
        changed.push_back(removal);
    }
}

void ObjectReplica::advance(std::int64_t revision, Timestamp knownAt)
{
    m_stateRevision = std::max(m_stateRevision, revision);
    m_knownAt = m_knownAt ? std::max(*m_knownAt, knownAt) : knownAt;
}

} // namespace sesame
