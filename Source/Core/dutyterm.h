#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sesame {

/*!
    The object in the store that names the holder of the duties.
*/
struct DutyRecord
{
    std::string holder; //!< Empty after a release.
    std::int64_t incarnation = 0; //!< Of the holder's process.
    std::int64_t term = 0; //!< Fencing token; grows with each change of holder.
};

struct DutyTermOptions
{
    Duration leaseDuration {std::chrono::seconds(3)};
    //! Added to the lease by a successor and taken from it by the holder, for clocks that differ.
    Duration clockMargin {std::chrono::milliseconds(300)};
};

/*!
    Decides when this node may take, keep and use the duties. Makes no calls: the caller reads and
    writes the record and reports what happened.

    Right ends one lease after the start of the last confirmed write, on the steady clock and on
    the clock that also counts suspension. A successor takes over after it has seen the same
    revision for a lease and a margin. After a release it takes over at once and acts a lease and a
    margin later, so that two holders that release to each other do not alternate within a lease.
*/
class DutyTerm
{
public:
    DutyTerm(DutyTermOptions options, std::string holder, std::int64_t incarnation)
        : m_options(options), m_holder(std::move(holder)), m_incarnation(incarnation)
    {
    }

    /*!
        Takes a read of the record; std::nullopt means that there is none.
    */
    void observe(const std::optional<DutyRecord> &record, std::uint64_t revision, Timestamp now);

    /*!
        Returns the record to write, under the condition of observedRevision(), or std::nullopt if
        another node holds the duties.
    */
    std::optional<DutyRecord> proposeTakeover(Timestamp now) const;

    /*!
        Returns the record that renews the held term.
    */
    DutyRecord currentRecord() const;

    /*!
        Takes a confirmed write of \a record that was started at \a steady and \a boot.
    */
    void confirmWrite(const DutyRecord &record, std::uint64_t revision, Timestamp steady,
                      Timestamp boot);

    /*!
        Takes the revision of the node's own record, as read back after a write whose answer was
        lost. The right is not extended. Returns false if the record is not of the held term.
    */
    bool adoptRevision(const std::optional<DutyRecord> &record, std::uint64_t revision);

    /*!
        Gives up the term: a write was refused because another one came first.
    */
    void endTerm();

    bool isHeld(Timestamp steady, Timestamp boot) const;

    /*!
        Returns whether a call that carries the fencing token may be sent now.
    */
    bool canAct(Timestamp steady, Timestamp boot) const;

    std::int64_t term() const { return m_term; }
    std::uint64_t observedRevision() const { return m_revision; }

private:
    DutyTermOptions m_options;
    std::string m_holder;
    std::int64_t m_incarnation;
    std::int64_t m_term = 0; //!< 0 while the duties are not held.
    std::uint64_t m_revision = 0;
    std::optional<DutyRecord> m_observedRecord;
    Timestamp m_observedSince;
    bool m_hasObserved = false;
    Timestamp m_steadyDeadline;
    Timestamp m_bootDeadline;
    Timestamp m_actingAllowedFrom;
};

} // namespace sesame
