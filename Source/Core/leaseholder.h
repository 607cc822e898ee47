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
    std::string name; //!< Name of the lease, stored in the object "leases/NAME".
    std::string holderId; //!< Id that is unique for each start of a process and never empty.
    std::chrono::milliseconds duration {10'000};
    //! Largest drift between the clocks of two processes during one lease duration.
    std::chrono::milliseconds maxClockDrift {500};
};

enum class LeaseStatus { Held, HeldByOther, StoreUnavailable };

/*!
    Acquires, renews and releases one lease in the object service. Not thread-safe.

    Wall clocks are not compared. The holder's lease expires one lease duration after the start of
    its last successful write. A successor writes only after it has observed the same version of
    the lease object for a lease duration plus the clock drift on its own clock, which ends later.
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
        Tries to acquire the lease, or renews it if it is held. Must be called repeatedly, because
        a lease of another holder must first be observed without a change for its duration.
    */
    LeaseStatus acquire()
    {
        if (isHeld(m_clock.now()))
            return renew();
        m_fencingNumber = 0;
        const std::optional<Observation> observed = observe();
        if (!observed)
            return LeaseStatus::StoreUnavailable;
        // A delayed write of this process may have stored its id. It then acquires the lease again
        // with a new fencing number.
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
        Extends the held lease without changing the fencing number. If the store is unavailable,
        the lease stays held until its deadline.
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
        Releases the lease, so that a successor can acquire it without waiting. Must not be called
        while an order is in progress. Returns false if the store does not confirm the release.
    */
    bool release()
    {
        const bool held = isHeld(m_clock.now());
        const std::uint64_t version = m_version;
        endTerm();
        return held && write({}, version) != 0;
    }

    /*!
        Ends the current term without a call to the store, for example after an order was refused
        because of its fencing number.
    */
    void endTerm() { m_fencingNumber = 0; }

    /*!
        Returns whether an order that takes at most \a maxOrderDuration may be sent at \a now. Must
        be called immediately before each order. For backend servers that check fencing numbers,
        \a maxOrderDuration is zero. For others it prevents the orders of two holders from
        overlapping: if the previous holder did not release the lease, the new holder waits until
        the previous holder's orders have ended.
    */
    bool canOrder(Timestamp now, Duration maxOrderDuration) const
    {
        if (!isHeld(now + maxOrderDuration))
            return false;
        const bool mustWait = m_previousTermExpired && maxOrderDuration > Duration::zero();
        return !mustWait || now >= m_acquiredAt + m_options.maxClockDrift + maxOrderDuration;
    }

    /*!
        Returns whether the lease is held at \a now.
    */
    bool isHeld(Timestamp now) const { return m_fencingNumber != 0 && now < m_deadline; }

    /*!
        Returns the fencing number: the version of the lease object with which the current term
        began, or 0 if there is no current term.
    */
    std::uint64_t fencingNumber() const { return m_fencingNumber; }

private:
    struct Observation
    {
        wire::Lease lease;
        std::uint64_t version = 0; //!< Object version, or 0 if there is no lease object.
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
        Returns the written version. On failure returns 0 and sets m_lastStatus.
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

    // A conflict can be caused by an earlier write of this process whose answer was lost.
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
        // The object contains an earlier write of this process. With its version the next renewal
        // can succeed.
        m_version = observed->version;
        return 0;
    }

    Store &m_store;
    const ClockType &m_clock;
    LeaseOptions m_options;
    std::string m_key;
    std::uint64_t m_fencingNumber = 0; //!< Fencing number, or 0 if the lease is not held.
    std::uint64_t m_version = 0;
    std::int64_t m_sequence = 0;
    Timestamp m_deadline;
    Timestamp m_acquiredAt;
    bool m_previousTermExpired = false; //!< Whether the previous holder did not release the lease.
    std::uint64_t m_observedVersion = 0;
    Timestamp m_observedSince;
    LeaseStatus m_lastStatus = LeaseStatus::StoreUnavailable;
};

} // namespace sesame
