#pragma once

#include "Core/ports.h"
#include "Core/wireformat.h"

#include <lease_types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace sesame {

struct LeaseOptions
{
    std::string name; //!< The lease object is "leases/NAME".
    std::string holderId; //!< Unique for each start of each process, never empty.
    std::chrono::milliseconds duration {10'000};
    //! Largest difference that two clocks can build up in one lease duration.
    std::chrono::milliseconds maxClockDrift {500};
};

enum class LeaseStatus { Held, HeldByOther, StoreUnavailable };

/*!
    One candidate for a lease in the object service. Not thread-safe.

    No wall clock is compared. The holder's right ends one lease duration after it started the
    last successful write. A successor writes only after it has seen the same version of the
    lease object for a lease duration and the clock drift on its own clock, which is later.
*/
template <ObjectStore Store, Clock ClockType>
class LeaseHolder
{
public:
    LeaseHolder(Store &store, const ClockType &clock, LeaseOptions options)
        : m_store(store), m_clock(clock), m_options(std::move(options)),
          m_key("leases/" + m_options.name)
    {
    }

    /*!
        Tries to become the holder; must be called repeatedly, because a candidate first watches
        the object for the lease duration. Renews the lease if it is held.
    */
    LeaseStatus acquire()
    {
        if (isHeld(m_clock.now()))
            return renew();
        m_fencingNumber = 0;
        const std::optional<Observation> observed = observe();
        if (!observed)
            return LeaseStatus::StoreUnavailable;
        // A late write of this process may have made it the holder; it takes a new number.
        const bool isOwn = observed->lease.holder == m_options.holderId;
        const bool isFree = observed->version == 0 || observed->lease.holder.empty();
        if (!isOwn && !isFree && !hasExpired(*observed))
            return LeaseStatus::HeldByOther;
        const Timestamp start = m_clock.now();
        const std::uint64_t version = write(m_options.holderId, observed->version);
        if (version == 0)
            return m_lastStatus;
        m_fencingNumber = version;
        m_version = version;
        m_deadline = start + m_options.duration;
        m_acquiredAt = m_clock.now();
        m_previousTermExpired = !isFree;
        return LeaseStatus::Held;
    }

    /*!
        Extends the held lease; the fencing number stays the same. A lease that cannot be renewed
        because the store is unavailable stays held until its deadline.
    */
    LeaseStatus renew()
    {
        const Timestamp start = m_clock.now();
        if (!isHeld(start))
            return LeaseStatus::HeldByOther;
        const std::uint64_t version = write(m_options.holderId, m_version);
        if (version != 0) {
            m_version = version;
            m_deadline = start + m_options.duration;
            return LeaseStatus::Held;
        }
        if (m_lastStatus == LeaseStatus::HeldByOther)
            endTerm();
        return m_lastStatus;
    }

    /*!
        Gives the lease up, so that a successor need not wait. Must not be called while an order
        is on its way. Returns false if the store does not confirm it.
    */
    bool release()
    {
        const bool held = isHeld(m_clock.now());
        const std::uint64_t version = m_version;
        endTerm();
        return held && write({}, version) != 0;
    }

    /*!
        Ends the term without a call to the store, for example when an order was refused because
        of its fencing number.
    */
    void endTerm() { m_fencingNumber = 0; }

    /*!
        Returns whether an order may be sent at \a now that takes at most \a longestOrder.
        Must be asked immediately before each order. For backend servers that check fencing
        numbers \a longestOrder is zero; for others it keeps the orders of two holders apart, and
        a successor waits until the orders of a holder that did not release have ended.
    */
    bool canOrder(Timestamp now, Duration maxOrderDuration) const
    {
        if (!isHeld(now + maxOrderDuration))
            return false;
        const bool mustWait = m_previousTermExpired && maxOrderDuration > Duration::zero();
        return !mustWait || now >= m_acquiredAt + m_options.maxClockDrift + maxOrderDuration;
    }

    /*!
        Returns whether this process holds the lease at \a now.
    */
    bool isHeld(Timestamp now) const { return m_fencingNumber != 0 && now < m_deadline; }

    /*!
        Returns the version of the lease object that began the current term, or 0.
    */
    std::uint64_t fencingNumber() const { return m_fencingNumber; }

private:
    struct Observation
    {
        wire::Lease lease;
        std::uint64_t version = 0; //!< 0 if there is no lease object.
    };

    std::optional<Observation> observe()
    {
        const StoreResult found = m_store.read(m_key);
        if (found.status == StoreStatus::NotFound)
            return Observation {};
        if (found.status != StoreStatus::Ok)
            return std::nullopt;
        const auto lease = decodeWire<wire::Lease>(found.value);
        if (!lease)
            return std::nullopt;
        if (found.version != m_observedVersion) {
            m_observedVersion = found.version;
            m_observedSince = m_clock.now();
        }
        return Observation {.lease = *lease, .version = found.version};
    }

    bool hasExpired(const Observation &observed) const
    {
        const std::chrono::milliseconds duration(observed.lease.durationMillis);
        return m_clock.now() >= m_observedSince + duration + m_options.maxClockDrift;
    }

    /*!
        Returns the version written, or 0 and sets m_lastStatus.
    */
    std::uint64_t write(const std::string &holder, std::uint64_t expected)
    {
        wire::Lease lease;
        lease.holder = holder;
        lease.sequence = ++m_sequence;
        lease.durationMillis = m_options.duration.count();
        const StoreResult written = m_store.writeIf(m_key, encodeWire(lease), expected);
        m_lastStatus = LeaseStatus::StoreUnavailable;
        if (written.status == StoreStatus::Ok)
            return written.version;
        if (written.status == StoreStatus::Conflict || written.status == StoreStatus::AnswerLost)
            return readBack(lease);
        return 0;
    }

    // A conflict can come from this process's own earlier write whose answer was lost.
    std::uint64_t readBack(const wire::Lease &written)
    {
        const std::optional<Observation> observed = observe();
        if (!observed)
            return 0;
        if (observed->lease.holder == written.holder
            && observed->lease.sequence == written.sequence)
            return observed->version;
        if (observed->lease.holder != m_options.holderId) {
            m_lastStatus = LeaseStatus::HeldByOther;
            return 0;
        }
        // The version of an own earlier write lets the next renewal succeed.
        m_version = observed->version;
        return 0;
    }

    Store &m_store;
    const ClockType &m_clock;
    LeaseOptions m_options;
    std::string m_key;
    std::uint64_t m_fencingNumber = 0; //!< 0 if the lease is not held.
    std::uint64_t m_version = 0;
    std::int64_t m_sequence = 0;
    Timestamp m_deadline;
    Timestamp m_acquiredAt;
    bool m_previousTermExpired = false; //!< The previous holder did not release the lease.
    std::uint64_t m_observedVersion = 0;
    Timestamp m_observedSince;
    LeaseStatus m_lastStatus = LeaseStatus::StoreUnavailable;
};

} // namespace sesame
