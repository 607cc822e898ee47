#pragma once

#include "Core/ports.h"
#include "Core/storerevision.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sesame {

/*!
    The object in the store that names the current holder of the duties.
*/
struct DutyRecord
{
    std::string holder; //!< Name of the holder, or an empty string after a release.
    std::int64_t incarnation = 0; //!< Incarnation of the holder's process.
    std::int64_t term = 0; //!< Fencing token, which increases with each change of holder.
    std::uint64_t era = 0; //!< Era of the store for which the holder wrote the record.
    //! The holder may not act yet, because the duties were released shortly before its term.
    bool isWaiting = false;

    bool operator==(const DutyRecord &) const = default;
};

struct DutyTermOptions
{
    Duration leaseDuration {std::chrono::seconds(3)};
    //! Tolerance for clock differences. A successor adds it to the lease duration, and the holder
    //! subtracts it.
    Duration clockMargin {std::chrono::milliseconds(300)};
    //! The whole deployment starts for the first time, so that a missing record was not lost.
    bool isFirstStart = false;
};

/*!
    Decides when this node may take over, keep and perform the duties. Performs no I/O: the caller
    reads and writes the record and reports the results.

    A term expires one lease duration less the clock margin after the start of the last confirmed
    write, both on the steady clock and on the boot clock, which also counts time in suspension. A
    successor takes over after it has observed the same revision for the lease duration plus the
    margin. After a release it takes over immediately, but starts to act only after the lease
    duration plus the margin, so that two nodes that release the duties to each other do not
    alternate within one lease duration.

    The store may be restored from an older copy, which lacks the latest holder. A record of an
    older era, or none, therefore does not tell who holds the duties: a successor observes it for
    the lease duration plus the margin, whatever it says. A holder whose record was lost goes on
    with its term, because nobody else may take over before that expires. Tokens contain the era and
    the revision of the replaced record, so that none is used again if a takeover was lost.
*/
class DutyTerm
{
public:
    DutyTerm(DutyTermOptions options, std::string holder, std::int64_t incarnation)
        : m_options(options), m_holder(std::move(holder)), m_incarnation(incarnation),
          m_isFirstRecord(options.isFirstStart)
    {
    }

    /*!
        Processes \a record as read from the store at \a now. std::nullopt means that there is none.
        Records that were read in an older era than the latest one are ignored.
    */
    void observe(const std::optional<DutyRecord> &record, StoreRevision revision, Timestamp now);

    /*!
        Returns the record with which to take over the duties, or std::nullopt if another node may
        still hold them. The write must be conditional on observedRevision().
    */
    std::optional<DutyRecord> proposeTakeover(Timestamp now) const;

    /*!
        Returns the record that renews the held term at \a steady.
    */
    DutyRecord currentRecord(Timestamp steady) const;

    /*!
        Processes a confirmed write of \a record with the new \a revision. \a steady and \a boot are
        the times on the two clocks at which the write was started.
    */
    void confirmWrite(const DutyRecord &record, StoreRevision revision, Timestamp steady,
                      Timestamp boot);

    /*!
        Stores the revision of the record with which the next write replaces it, read back after a
        write whose answer was lost or that was refused. The term is not extended. Returns false if
        \a record says that another term has begun.
    */
    bool adoptRevision(const std::optional<DutyRecord> &record, StoreRevision revision);

    /*!
        Returns whether the observed record is of an older era, or missing, so that later holders
        may have been lost with it.
    */
    bool isRecordOutdated() const;

    /*!
        Ends the current term, for example after a release or after a conflicting write.
    */
    void endTerm();

    bool isHeld(Timestamp steady, Timestamp boot) const;

    /*!
        Returns whether a call that carries the fencing token may be sent at \a steady and \a boot.
    */
    bool canAct(Timestamp steady, Timestamp boot) const;

    std::int64_t term() const { return m_term; }
    StoreRevision observedRevision() const { return m_revision; }

private:
    bool mustWaitToAct() const;

    DutyTermOptions m_options;
    std::string m_holder;
    std::int64_t m_incarnation;
    std::int64_t m_term = 0; //!< Current term, or 0 while the duties are not held.
    StoreRevision m_revision;
    std::optional<DutyRecord> m_observedRecord;
    Timestamp m_observedSince;
    bool m_hasObserved = false;
    //! The deployment starts for the first time, and neither a record nor a later era was seen.
    bool m_isFirstRecord;
    Timestamp m_steadyDeadline;
    Timestamp m_bootDeadline;
    Timestamp m_actingAllowedFrom;
};

} // namespace sesame
