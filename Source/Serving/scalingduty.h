#pragma once

#include "Core/engineplanner.h"
#include "Serving/dutycalls.h"
#include "Serving/dutykeeper.h"
#include "Serving/servingstate.h"

namespace sesame {

/*!
    Orders engines for every service that may be scaled, while this node holds the duties.
*/
class ScalingDuty
{
public:
    ScalingDuty(ServingState &state, const DutyKeeper &duties, DutyCalls &calls);

    /*!
        Follows the demand, and sends at most one order at a time while this node holds the
        duties.
    */
    void tick();

private:
    void observe();
    void order();
    void send(EnginePlanner &planner, const EngineOrder &order);
    void continueSoon();

    ServingState &m_state;
    const DutyKeeper &m_duties;
    DutyCalls &m_calls;
    boost::asio::steady_timer m_timer;
    std::map<std::string, EnginePlanner> m_planners; //!< By service.
    std::int64_t m_term = 0; //!< In which the orders that are remembered were sent.
    bool m_busy = false;
};

} // namespace sesame
