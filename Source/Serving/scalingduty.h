#pragma once

#include "Core/engineplanner.h"
#include "Serving/dutycalls.h"
#include "Serving/servingstate.h"

namespace sesame {

/*!
    Orders engines for every service that may be scaled, while this node holds the duties.
*/
class ScalingDuty
{
public:
    ScalingDuty(ServingState &state, DutyCalls &calls) : m_state(state), m_calls(calls) { }

    /*!
        Plans and sends at most one order at a time. \a fencingToken is the present term's; the
        caller has checked that the term is held.
    */
    void tick(std::int64_t fencingToken);

    /*!
        Forgets the plans of an earlier term, because another node may have ordered since.
    */
    void reset();

private:
    void send(EnginePlanner &planner, const EngineOrder &order, std::int64_t fencingToken);

    ServingState &m_state;
    DutyCalls &m_calls;
    std::map<std::string, EnginePlanner> m_planners; //!< By service.
    std::uint64_t m_generation = 0; //!< Of the plans; answers for earlier ones are dropped.
    bool m_busy = false;
};

} // namespace sesame
