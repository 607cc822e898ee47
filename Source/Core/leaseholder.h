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
    std::string holder; //!< Unique for each start of each process, never empty.
    std::chrono::milliseconds duration {10'000};
    //! Largest difference that two clocks can build up in one lease duration.
    std::chrono::milliseconds clockDrift {500};
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
        m_fencing = 0;
        const std::optional<Observation> seen = observe();
        if (!seen)
            return LeaseStatus::StoreUnavailable;
        // A late write of this process may have made it the holder; it takes a new number.
        const bool own = seen->lease.holder == m_options.holder;
        const bool free = seen->version == 0 || seen->lease.holder.empty();
        if (!own && !free && !hasLapsed(*seen))
            return LeaseStatus::HeldByOther;
        const Timestamp start = m_clock.now();
        const std::uint64_t version = write(m_options.holder, seen->version);
        if (version == 0)
            return m_lastStatus;
        m_fencing = version;
        m_version = version;
        m_deadline = start + m_options.duration;
        m_acquired = m_clock.now();
        m_mustWait = !free;
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
        const std::uint64_t version = write(m_options.holder, m_version);
        if (version != 0) {
            m_version = version;
            m_deadline = start + m_options.duration;
            return LeaseStatus::Held;
        }
        if (m_lastStatus == LeaseStatus::HeldByOther)
            drop();
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
        drop();
        return held && write({}, version) != 0;
    }

    /*!
        Ends the term without a call to the store, for example when an order was refused because
        of its fencing number.
    */
    void drop() { m_fencing = 0; }

    /*!
        Returns whether an order may be sent at \a now that takes at most \a longestOrder.
        Must be asked immediately before each order. For backend servers that check fencing
        numbers \a longestOrder is zero; for others it keeps the orders of two holders apart, and
        a successor waits until the orders of a holder that did not release have ended.
    */
    bool mayOrder(Timestamp now, Duration longestOrder) const
    {
        if (!isHeld(now + longestOrder))
            return false;
        const bool waits = m_mustWait && longestOrder > Duration::zero();
        return !waits || now >= m_acquired + m_options.clockDrift + longestOrder;
    }

    /*!
        Returns whether this process holds the lease at \a now.
    */
    bool isHeld(Timestamp now) const { return m_fencing != 0 && now < m_deadline; }

    /*!
        Returns the version of the lease object that began the current term, or 0.
    */
    std::uint64_t fencingNumber() const { return m_fencing; }

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
        if (found.version != m_seenVersion) {
            m_seenVersion = found.version;
            m_seenSince = m_clock.now();
        }
        return Observation {.lease = *lease, .version = found.version};
    }

    bool hasLapsed(const Observation &seen) const
    {
        const std::chrono::milliseconds duration(seen.lease.durationMillis);
        return m_clock.now() >= m_seenSince + duration + m_options.clockDrift;
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
        const std::optional<Observation> seen = observe();
        if (!seen)
            return 0;
        if (seen->lease.holder == written.holder && seen->lease.sequence == written.sequence)
            return seen->version;
        if (seen->lease.holder != m_options.holder) {
            m_lastStatus = LeaseStatus::HeldByOther;
            return 0;
        }
        // The version of an own earlier write lets the next renewal succeed.
        m_version = seen->version;
        return 0;
    }

    Store &m_store;
    const ClockType &m_clock;
    LeaseOptions m_options;
    std::string m_key;
    std::uint64_t m_fencing = 0; //!< 0 if the lease is not held.
    std::uint64_t m_version = 0;
    std::int64_t m_sequence = 0;
    Timestamp m_deadline;
    Timestamp m_acquired;
    bool m_mustWait = false; //!< The previous holder did not release the lease.
    std::uint64_t m_seenVersion = 0;
    Timestamp m_seenSince;
    LeaseStatus m_lastStatus = LeaseStatus::StoreUnavailable;
};

} // namespace sesame
