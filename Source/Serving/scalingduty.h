#pragma once

#include "Core/Capacity/engineplanner.h"
#include "Serving/dutyclient.h"
#include "Serving/dutycoordinator.h"
#include "Serving/servingstate.h"

namespace sesame {

/*!
    Orders engines from the platform for every service with scaling settings, while this node holds
    the duties.
*/
class ScalingDuty
{
public:
    ScalingDuty(ServingState &state, const DutyCoordinator &duties, DutyClient &dutyClient);

    /*!
        Updates the demand of each service. While this node holds the duties, also sends the next
        order, if there is one and no other order is pending.
    */
    void tick();

private:
    ServiceDemand demandOf(const std::string &service, Timestamp now) const;
    void observeDemand();
    void sendNextOrder();
    void sendOrder(EnginePlanner &planner, const EngineOrder &order);
    void scheduleNextOrder();

    ServingState &m_state;
    const DutyCoordinator &m_duties;
    DutyClient &m_dutyClient;
    boost::asio::steady_timer m_timer;
    std::map<std::string, EnginePlanner> m_planners; //!< The key is the service.
    std::int64_t m_term = 0; //!< Term in which the recorded orders were sent.
    bool m_orderPending = false; //!< An order has been sent and has no result yet.
};

} // namespace sesame
