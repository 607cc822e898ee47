#pragma once

#include "Core/engineplanner.h"
#include "Serving/dutyclient.h"
#include "Serving/dutycoordinator.h"
#include "Serving/servingstate.h"

namespace sesame {

/*!
    Orders engines for every service that may be scaled, while this node holds the duties.
*/
class ScalingDuty
{
public:
    ScalingDuty(ServingState &state, const DutyCoordinator &duties, DutyClient &dutyClient);

    /*!
        Follows the demand, and sends at most one order at a time while this node holds the
        duties.
    */
    void tick();

private:
    void observeDemand();
    void sendNextOrder();
    void sendOrder(EnginePlanner &planner, const EngineOrder &order);
    void scheduleNextOrder();

    ServingState &m_state;
    const DutyCoordinator &m_duties;
    DutyClient &m_dutyClient;
    boost::asio::steady_timer m_timer;
    std::map<std::string, EnginePlanner> m_planners; //!< By service.
    std::int64_t m_term = 0; //!< In which the orders that are remembered were sent.
    bool m_orderPending = false;
};

} // namespace sesame
