#pragma once

#include "Core/ports.h"

#include <exchange_types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sesame {

/*!
    An object of the store, or the note that it was removed.
*/
struct ReplicaObject
{
    std::string name;
    //! StoreRevision::ordinal() of the last change.
    std::int64_t revision = 0;
    bool removed = false;
    std::string content; //!< JSON; empty if the object was removed.
};

/*!
    Copy of all objects of one kind in the store. It is filled from the store itself or from the
    copy of another node, and tells how old its knowledge is.

    The revisions of the store, as StoreRevision::ordinal() gives them, order all changes, so the
    newer version of each object wins no matter in which order and from where the versions arrive.
    Removed objects are remembered for a time, so that a copy that lags behind cannot bring them
    back.

    A store that was restored from an older copy lists earlier versions of some objects at first,
    until their writers write them again. Until the end of the grace time, the later ones count.

    Times are those of a clock that also advances while the machine is suspended.
*/
class ObjectReplica
{
public:
    /*!
        Time for which removed objects are remembered. A node that lags further behind gets the
        complete state.
    */
    explicit ObjectReplica(Duration removalRetention = std::chrono::seconds(60))
        : m_removalRetention(removalRetention)
    {
    }

    /*!
        Replaces the state by the complete list \a objects, which the store returned at \a revision
        and which was the current one at \a knownAt. Objects that are missing in the list are
        removed, and those of an older copy replaced, or at \a graceEnd if that is set. Returns the
        objects that changed.
    */
    std::vector<ReplicaObject> applyListing(std::span<const ReplicaObject> objects,
                                            std::int64_t revision, Timestamp knownAt,
                                            std::optional<Timestamp> graceEnd);

    /*!
        Applies the changes \a objects in their order, which the store returned up to \a revision.
       The state after them was the current one at \a knownAt. Objects are removed at \a graceEnd if
       that is set. Returns the objects that changed.
    */
    std::vector<ReplicaObject> applyChanges(std::span<const ReplicaObject> objects,
                                            std::int64_t revision, Timestamp knownAt,
                                            std::optional<Timestamp> graceEnd);

    /*!
        Merges \a update of another node, received at \a now. Returns the objects that changed.
    */
    std::vector<ReplicaObject> applyUpdate(const wire::ReplicaUpdate &update, Timestamp now);

    /*!
        Takes over the age of the state of another node if this replica has all of that state.
    */
    void confirm(const wire::StateVersion &version, Timestamp now);

    /*!
        Removes or replaces the objects whose grace time has ended, and forgets old removals.
        Returns the objects that changed.
    */
    std::vector<ReplicaObject> removeExpired(Timestamp now);

    /*!
        Returns the changes after revision \a since, or the complete state if they are not known.
    */
    wire::ReplicaUpdate changesSince(std::int64_t since, Timestamp now) const;

    /*!
        Returns the version and age of the state at \a now.
    */
    wire::StateVersion version(Timestamp now) const;

    /*!
        Returns the time since the state was known to be current, or std::nullopt if there is none.
    */
    std::optional<Duration> age(Timestamp now) const;

    /*!
        Returns the revision of the store that the state reflects.
    */
    std::int64_t stateRevision() const { return m_stateRevision; }

    bool hasState() const { return m_knownAt.has_value(); }
    /*!
        Returns the highest revision at which an object changed, so that the state contains all
        changes up to it. While missing objects are kept for their grace time, this is a revision
        before their removal.
    */
    std::int64_t revision() const;

private:
    struct Entry
    {
        ReplicaObject object;
        //! End of the grace time of an object that is missing or of an older copy.
        std::optional<Timestamp> graceEnd;
        //! Content in the older copy, which replaces the object at the end of the grace time.
        std::optional<std::string> copiedContent;
        Timestamp removedAt {}; //!< Time at which the removal was recorded.
        std::deque<std::int64_t> earlierRevisions; //!< The latest of them.
    };

    bool store(const ReplicaObject &object, Timestamp now);
    static void replace(Entry &entry, ReplicaObject object, Timestamp now);
    bool isOfOlderCopy(const ReplicaObject &object) const;
    void keepForGrace(Entry &entry, Timestamp graceEnd, std::int64_t revisionBefore);
    void endGrace(Entry &entry);
    void removeMissing(std::span<const std::string> listed, std::int64_t revision, Timestamp now,
                       std::optional<Timestamp> graceEnd, std::int64_t revisionBefore,
                       std::vector<ReplicaObject> &changed);
    void advance(std::int64_t revision, Timestamp knownAt);

    Duration m_removalRetention;
    std::map<std::string, Entry> m_entries;
    std::int64_t m_revision = 0; //!< Highest revision at which an object changed.
    int m_missingObjects = 0; //!< Objects in their grace time.
    std::int64_t m_revisionBeforeGrace = 0; //!< Value of m_revision before the first of them.
    std::int64_t m_stateRevision = 0; //!< Revision of the store that the state reflects.
    //! Revision from which on all removals are remembered.
    std::int64_t m_removalsSince = 0;
    std::optional<Timestamp> m_knownAt; //!< Time at which the state was known to be current.
};

} // namespace sesame
