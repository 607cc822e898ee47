#pragma once

#include "Core/fleetconfig.h"
#include "Core/leaseholder.h"
#include "Core/ports.h"
#include "Core/wireformat.h"

#include <lease_types.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesame {

struct Order
{
    std::string target;
    std::string state; //!< Desired state of the target. Repeated orders of a state are idempotent.
    std::string clientToken; //!< Token that is the same for each repetition of the order.
    std::uint64_t fencingNumber = 0;
};

enum class OrderStatus {
    Done,
    FencingRefused, //!< The target has received a higher fencing number (1601).
    Failed //!< The order was refused for another reason or not sent, or its answer was lost.
};

/*!
    A receiver of orders, for example model engines or the cloud API. send() transmits the fencing
    number and the client token. observe() returns the state of the target, or std::nullopt if the
    state cannot be determined.
*/
template <typename T>
concept OrderTarget = requires(T &target, const Order &order, std::string_view name)
{
    {
        target.send(order)
        } -> std::same_as<OrderStatus>;
    {
        target.observe(name)
        } -> std::same_as<std::optional<std::string>>;
};

struct OrderIssuerOptions
{
    std::string name; //!< Name of the desired state, stored in the object "desired/NAME".
    Fencing fencing = Fencing::Ignored;
    //! Longest time until an order takes effect.
    std::chrono::milliseconds maxOrderDuration {2'000};
};

enum class DesiredStateStatus {
    Recorded,
    LeaseLost, //!< This process does not hold the lease (1600).
    StoreUnavailable //!< The state may have been recorded. Recording it again is safe.
};

struct ReconcileResult
{
    std::size_t matching = 0; //!< Targets that already had their desired state.
    std::size_t sent = 0;
    std::size_t failed = 0; //!< Targets whose orders must be repeated in the next period.
    bool leaseLost = false;
    //! Whether orders of the previous holder may still take effect.
    bool waitsForPreviousHolder = false;
    bool storeUnavailable = false;
};

/*!
    Issues the orders of the holder of a lease. A desired state is recorded before it is ordered,
    so that every later holder can read it. reconcile() is called once per period and sends an
    order to each target whose state differs.

    A new holder first writes its fencing number into the desired state, after which writes of the
    previous holder are rejected. It then sends one order to each target regardless of the target's
    state: from then on, a target that checks fencing numbers refuses delayed orders of the
    previous holder. At other targets a delayed order stays in effect until the next reconcile().
*/
template <ObjectStore Store, Clock ClockType, OrderTarget Target>
class OrderIssuer
{
public:
    using Lease = LeaseHolder<Store, ClockType>;

    OrderIssuer(Store &store, const ClockType &clock, Lease &lease, Target &target,
                OrderIssuerOptions options)
        : m_store(store), m_clock(clock), m_lease(lease), m_target(target),
          m_options(std::move(options)), m_key("desired/" + m_options.name)
    {
    }

    /*!
        Records \a state as the desired state of \a target. The next reconcile() sends the order.
    */
    DesiredStateStatus setDesiredState(std::string_view target, std::string_view state)
    {
        if (const DesiredStateStatus status = takeOverState();
            status != DesiredStateStatus::Recorded)
            return status;
        wire::DesiredStates states = m_states;
        updateEntry(states, target, state);
        return writeStates(states);
    }

    /*!
        Removes \a target, which no longer exists, from the desired state.
    */
    DesiredStateStatus removeTarget(std::string_view target)
    {
        if (const DesiredStateStatus status = takeOverState();
            status != DesiredStateStatus::Recorded)
            return status;
        wire::DesiredStates states = m_states;
        std::erase_if(states.entries, [target](const wire::DesiredEntry &entry) {
            return entry.target == target;
        });
        return writeStates(states);
    }

    /*!
        Returns the targets that have a desired state, or std::nullopt if the lease is not held or
        the store is unavailable.
    */
    std::optional<std::set<std::string>> targets()
    {
        if (takeOverState() != DesiredStateStatus::Recorded)
            return std::nullopt;
        std::set<std::string> names;
        for (const wire::DesiredEntry &entry : m_states.entries)
            names.insert(entry.target);
        return names;
    }

    /*!
        Compares each target with its desired state and sends orders to those that differ.
    */
    ReconcileResult reconcile()
    {
        ReconcileResult result;
        const DesiredStateStatus takeover = takeOverState();
        result.leaseLost = takeover == DesiredStateStatus::LeaseLost;
        result.storeUnavailable = takeover == DesiredStateStatus::StoreUnavailable;
        if (takeover != DesiredStateStatus::Recorded)
            return result;
        // The states are copied, because an order may take long and m_states may change meanwhile.
        const wire::DesiredStates states = m_states;
        for (const wire::DesiredEntry &entry : states.entries) {
            if (!reconcileTarget(entry, result))
                break;
        }
        return result;
    }

private:
    Duration maxOrderDuration() const
    {
        return m_options.fencing == Fencing::Checked ? Duration::zero()
                                                     : m_options.maxOrderDuration;
    }

    // Reads the desired state at the start of a term and writes the fencing number into it.
    DesiredStateStatus takeOverState()
    {
        if (!m_lease.isHeld(m_clock.now()))
            return DesiredStateStatus::LeaseLost;
        if (m_term == m_lease.fencingNumber())
            return DesiredStateStatus::Recorded;
        const StoreResult found = m_store.read(m_key);
        std::optional<wire::DesiredStates> states;
        if (found.status == StoreStatus::NotFound)
            states.emplace();
        else if (found.status == StoreStatus::Ok)
            states = decodeWire<wire::DesiredStates>(found.value);
        if (!states)
            return DesiredStateStatus::StoreUnavailable;
        const std::uint64_t term = m_lease.fencingNumber();
        if (static_cast<std::uint64_t>(states->fencing) > term)
            return endTerm();
        states->fencing = static_cast<std::int64_t>(term);
        m_version = found.version;
        const DesiredStateStatus status = writeStates(*states);
        if (status != DesiredStateStatus::Recorded)
            return status;
        m_term = term;
        if (m_orderedTerm != term)
            m_orderedTargets.clear();
        m_orderedTerm = term;
        return status;
    }

    DesiredStateStatus writeStates(const wire::DesiredStates &states)
    {
        // A later holder's first write makes this write conflict, but it may not have happened yet.
        if (!m_lease.isHeld(m_clock.now()))
            return DesiredStateStatus::LeaseLost;
        const StoreResult written = m_store.writeIf(m_key, encodeWire(states), m_version);
        if (written.status == StoreStatus::Ok) {
            m_version = written.version;
            m_states = states;
            return DesiredStateStatus::Recorded;
        }
        // This write may have taken effect, or a later holder may have written. The next call reads
        // the object again.
        m_term = 0;
        return DesiredStateStatus::StoreUnavailable;
    }

    DesiredStateStatus endTerm()
    {
        m_lease.endTerm();
        m_term = 0;
        return DesiredStateStatus::LeaseLost;
    }

    void updateEntry(wire::DesiredStates &states, std::string_view target, std::string_view state)
    {
        const std::string token = m_options.name + "-" + std::to_string(++states.tokens);
        for (wire::DesiredEntry &entry : states.entries) {
            if (entry.target != target)
                continue;
            if (entry.state != state) {
                entry.state = state;
                entry.clientToken = token;
            }
            return;
        }
        wire::DesiredEntry entry;
        entry.target = target;
        entry.state = state;
        entry.clientToken = token;
        states.entries.push_back(entry);
    }

    /*!
        Returns false if no further order may be sent.
    */
    bool reconcileTarget(const wire::DesiredEntry &entry, ReconcileResult &result)
    {
        if (m_orderedTargets.contains(entry.target)
            && m_target.observe(entry.target) == entry.state) {
            ++result.matching;
            return true;
        }
        const Timestamp now = m_clock.now();
        if (!m_lease.canOrder(now, maxOrderDuration())) {
            result.leaseLost = !m_lease.isHeld(now);
            result.waitsForPreviousHolder = !result.leaseLost;
            return false;
        }
        switch (m_target.send({.target = entry.target,
                               .state = entry.state,
                               .clientToken = entry.clientToken,
                               .fencingNumber = m_lease.fencingNumber()})) {
        case OrderStatus::Done:
            m_orderedTargets.insert(entry.target);
            ++result.sent;
            return true;
        case OrderStatus::Failed:
            ++result.failed;
            return true;
        case OrderStatus::FencingRefused:
            result.leaseLost = true;
            endTerm();
            return false;
        }
        return false;
    }

    Store &m_store;
    const ClockType &m_clock;
    Lease &m_lease;
    Target &m_target;
    OrderIssuerOptions m_options;
    std::string m_key;
    std::uint64_t m_term = 0; //!< Fencing number with which m_states was taken over.
    std::uint64_t m_version = 0; //!< Version of the object "desired/NAME".
    wire::DesiredStates m_states;
    std::uint64_t m_orderedTerm = 0;
    //! Targets that have received the fencing number m_orderedTerm.
    std::set<std::string> m_orderedTargets;
};

} // namespace sesame
