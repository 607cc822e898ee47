#pragma once

#include "Core/ports.h"

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
};

struct DutyTermOptions
{
    Duration leaseDuration {std::chrono::seconds(3)};
    //! Tolerance for clock differences. A successor adds it to the lease duration, and the holder
    //! subtracts it.
    Duration clockMargin {std::chrono::milliseconds(300)};
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
*/
class DutyTerm
{
public:
    DutyTerm(DutyTermOptions options, std::string holder, std::int64_t incarnation)
        : m_options(options), m_holder(std::move(holder)), m_incarnation(incarnation)
    {
    }

    /*!
        Processes \a record as read from the store at \a now. std::nullopt means that there is none.
    */
    void observe(const std::optional<DutyRecord> &record, std::uint64_t revision, Timestamp now);

    /*!
        Returns the record with which to take over the duties, or std::nullopt if another node may
        still hold them. The write must be conditional on observedRevision().
    */
    std::optional<DutyRecord> proposeTakeover(Timestamp now) const;

    /*!
        Returns the record that renews the held term.
    */
    DutyRecord currentRecord() const;

    /*!
        Processes a confirmed write of \a record with the new \a revision. \a steady and \a boot are
        the times on the two clocks at which the write was started.
    */
    void confirmWrite(const DutyRecord &record, std::uint64_t revision, Timestamp steady,
                      Timestamp boot);

    /*!
        Stores the revision of the node's own record, read back after a write whose answer was
        lost. The term is not extended. Returns false if \a record does not belong to this term.
    */
    bool adoptRevision(const std::optional<DutyRecord> &record, std::uint64_t revision);

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
    std::uint64_t observedRevision() const { return m_revision; }

private:
    DutyTermOptions m_options;
    std::string m_holder;
    std::int64_t m_incarnation;
    std::int64_t m_term = 0; //!< Current term, or 0 while the duties are not held.
    std::uint64_t m_revision = 0;
    std::optional<DutyRecord> m_observedRecord;
    Timestamp m_observedSince;
    bool m_hasObserved = false;
    Timestamp m_steadyDeadline;
    Timestamp m_bootDeadline;
    Timestamp m_actingAllowedFrom;
};

} // namespace sesame
