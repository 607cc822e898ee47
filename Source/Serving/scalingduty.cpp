#include "Serving/scalingduty.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

namespace sesame {

namespace {

//! Between two orders, so that a series of them stays inside the platform's rate of calls.
constexpr std::chrono::milliseconds orderPause {30};

OrderResult toResult(DutyCallStatus status)
{
    if (status == DutyCallStatus::Accepted)
        return OrderResult::Accepted;
    return status == DutyCallStatus::Refused ? OrderResult::NoneAvailable : OrderResult::Failed;
}

std::string_view resultName(OrderResult result)
{
    return result == OrderResult::NoneAvailable ? "none available" : "call failed";
}

} // namespace

ScalingDuty::ScalingDuty(ServingState &state, const DutyKeeper &duties, DutyCalls &calls)
    : m_state(state), m_duties(duties), m_calls(calls), m_timer(state.context)
{
}

void ScalingDuty::tick()
{
    if (!m_state.settings.scalesEngines || !m_state.config)
        return;
    if (!m_duties.isHeld()) {
        observe();
        return;
    }
    // Another node may have ordered since the last term of this one.
    if (m_term != m_duties.term()) {
        m_term = m_duties.term();
        for (auto &[name, planner] : m_planners)
            planner.clearOrders();
    }
    order();
}

void ScalingDuty::observe()
{
    const Timestamp now = steadyNow();
    for (const auto &[name, service] : m_state.config->services) {
        if (service.scaling)
            m_planners[name].observeDemand(service, m_state.engines.findUsable(name),
                                           m_state.refusals.refusalsPerSecond(name, now), now);
    }
}

void ScalingDuty::order()
{
    if (m_busy)
        return;
    for (const auto &[name, service] : m_state.config->services) {
        if (!service.scaling)
            continue;
        EnginePlanner &planner = m_planners[name];
        const Timestamp now = steadyNow();
        const std::vector<EngineOrder> orders = planner.plan(
                service, m_state.engines.findUsable(name),
                m_state.refusals.refusalsPerSecond(name, now), now);
        if (orders.empty())
            continue;
        send(planner, orders.front());
        return;
    }
}

void ScalingDuty::send(EnginePlanner &planner, const EngineOrder &order)
{
    m_busy = true;
    logEvent(LogLevel::Info, "engines.ordered",
             {{"service", order.service},
              {"zone", order.zone},
              {"desired", static_cast<std::int64_t>(order.desired)},
              {"spot", order.spot},
              {"planned", static_cast<std::int64_t>(planner.plannedEngines())},
              {"term", m_term}});
    m_calls.orderEngines(order, m_term, [this, order, term = m_term](DutyCallStatus status) {
        m_busy = false;
        if (term != m_term)
            return;
        const OrderResult result = toResult(status);
        if (result != OrderResult::Accepted)
            logEvent(LogLevel::Warning, "engines.order_refused",
                     {{"zone", order.zone}, {"spot", order.spot}, {"reason", resultName(result)}});
        m_planners[order.service].recordResult(order, result, steadyNow());
        continueSoon();
    });
}

/*!
    Sends what is left of the plan before the next tick, because engines take seconds to start.
*/
void ScalingDuty::continueSoon()
{
    m_timer.expires_after(orderPause);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

} // namespace sesame
