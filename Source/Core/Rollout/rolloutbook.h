#pragma once

#include "Core/servingconfig.h"

#include <exchange_types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    State of a roll-out. The numbers are part of the exchange between nodes.
*/
enum class RolloutState : std::int32_t {
    Starting = 0, //!< No engine of the target is known yet.
    Canary = 1, //!< The target gets the smallest share.
    Widening = 2, //!< The share grows with the evidence; at the whole, old engines run empty.
    Completed = 3, //!< Only the target gets requests.
    RolledBack = 4 //!< The target gets no requests.
};

constexpr bool isFinal(RolloutState state)
{
    return state == RolloutState::Completed || state == RolloutState::RolledBack;
}

constexpr RolloutState stateOf(const wire::RolloutStep &step)
{
    return static_cast<RolloutState>(step.state);
}

/*!
    Returns the name of \a state for logs.
*/
std::string_view rolloutStateName(RolloutState state);

/*!
    An operator's order to move the requests of a service to engines of another version.
*/
struct RolloutOrder
{
    std::string service;
    std::string target; //!< The version.
    Milliseconds duration {0}; //!< Time within which the requests are to move.
    //! StoreRevision::ordinal() of the object, status included.
    std::int64_t revision = 0;
    //! State that the object's status reports for this target; unset if it reports none.
    std::optional<RolloutState> reported {};
};

/*!
    The orders and steps that a node knows, and the versions that may get requests according to
    them.
*/
class RolloutBook
{
public:
    //! Share that stands for all requests.
    static constexpr int wholeShare = 1000;

    /*!
        Takes over \a step if it replaces the known one of its service and target. Of two steps of
        the same order, a final one wins, completed before rolled back, and then the higher number.
        Returns whether it does.
    */
    bool merge(const wire::RolloutStep &step);

    void setOrder(const RolloutOrder &order) { m_orders[order.service] = order; }
    void removeOrder(const std::string &service) { m_orders.erase(service); }
    const RolloutOrder *findOrder(const std::string &service) const;

    /*!
        Returns the step of the latest order of \a service, or null.
    */
    const wire::RolloutStep *latestStep(const std::string &service) const;

    /*!
        Returns the step that is in force for \a service: that of the latest order, with nothing for
        the target if no step of that order is known. Returns std::nullopt if there is no order.
    */
    std::optional<wire::RolloutStep> stepInForce(const std::string &service) const;

    /*!
        Returns whether engines of \a version may get a request of \a service for which the target
        was chosen or not, as \a prefersTarget says. Steps count as those without a share for the
        target unless the node \a isInTouch with the others.
    */
    bool allows(const std::string &service, const std::string &version, bool prefersTarget,
                bool isInTouch) const;

    /*!
        Returns all known steps.
    */
    std::vector<wire::RolloutStep> steps() const;

    bool isEmpty() const { return m_orders.empty() && m_steps.empty(); }
    const std::map<std::string, RolloutOrder> &orders() const { return m_orders; }

private:
    std::map<std::string, RolloutOrder> m_orders; //!< By service.
    std::map<std::string, std::map<std::string, wire::RolloutStep>>
            m_steps; //!< By service, target.
};

} // namespace sesame
