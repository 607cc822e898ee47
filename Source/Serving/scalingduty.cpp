#include "Serving/scalingduty.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

namespace sesame {

namespace {

//! Interval between two orders, so that a series of orders stays within the platform's rate limit.
constexpr std::chrono::milliseconds orderInterval {30};

OrderResult toOrderResult(DutyCallStatus status)
{
    if (status == DutyCallStatus::Accepted)
        return OrderResult::Accepted;
    return status == DutyCallStatus::Refused ? OrderResult::NoneAvailable : OrderResult::Failed;
}

std::string_view orderFailureReason(OrderResult result)
{
    return result == OrderResult::NoneAvailable ? "none available" : "call failed";
}

} // namespace

ScalingDuty::ScalingDuty(ServingState &state, const DutyCoordinator &duties, DutyClient &dutyClient)
    : m_state(state), m_duties(duties), m_dutyClient(dutyClient), m_timer(state.context)
{
}

void ScalingDuty::tick()
{
    if (!m_state.settings.scalesEngines || !m_state.config)
        return;
    if (!m_duties.isHolder()) {
        observeDemand();
        return;
    }
    // Another node may have sent orders since the previous term of this node.
    if (m_term != m_duties.term()) {
        m_term = m_duties.term();
        for (auto &[name, planner] : m_planners)
            planner.clearOrders();
        for (const auto &[name, engines] : m_state.neededEngines)
            m_planners[name].adoptNeed(engines, steadyNow());
    }
    sendNextOrder();
    for (const auto &[name, planner] : m_planners)
        m_state.neededEngines[name] = planner.plannedEngines();
}

ServiceDemand ScalingDuty::demandOf(const std::string &service, Timestamp now) const
{
    ServiceDemand demand {.refusedPerSecond = m_state.refusals.perSecond(service, now)};
    const std::optional<double> msPerToken = m_state.settings.hasUnevenEngines
            ? m_state.costModel.msPerPromptToken(service)
            : std::nullopt;
    constexpr double msPerSecond = 1000.0;
    if (msPerToken)
        demand.busyEngines = m_state.promptTokens.perSecond(service, now) * *msPerToken
                / msPerSecond;
    return demand;
}

void ScalingDuty::observeDemand()
{
    const Timestamp now = steadyNow();
    for (const auto &[name, service] : m_state.config->services) {
        if (service.scaling)
            m_planners[name].observeDemand(service, m_state.engines.findUsable(name),
                                           demandOf(name, now), now);
    }
}

void ScalingDuty::sendNextOrder()
{
    if (m_orderPending)
        return;
    for (const auto &[name, service] : m_state.config->services) {
        if (!service.scaling)
            continue;
        EnginePlanner &planner = m_planners[name];
        const Timestamp now = steadyNow();
        const std::vector<EngineOrder> orders = planner.plan(
                service, m_state.engines.findUsable(name), demandOf(name, now), now);
        if (orders.empty())
            continue;
        sendOrder(planner, orders.front());
        return;
    }
}

void ScalingDuty::sendOrder(EnginePlanner &planner, const EngineOrder &order)
{
    m_orderPending = true;
    logEvent(LogLevel::Info, "engines.ordered",
             {{"service", order.service},
              {"zone", order.zone},
              {"desired", static_cast<std::int64_t>(order.desired)},
              {"spot", order.spot},
              {"planned", static_cast<std::int64_t>(planner.plannedEngines())},
              {"term", m_term}});
    m_dutyClient.orderEngines(order, m_term, [this, order, term = m_term](DutyCallStatus status) {
        m_orderPending = false;
        if (term != m_term)
            return;
        const OrderResult result = toOrderResult(status);
        if (result != OrderResult::Accepted)
            logEvent(LogLevel::Warning, "engines.order_refused",
                     {{"zone", order.zone},
                      {"spot", order.spot},
                      {"reason", orderFailureReason(result)}});
        m_planners[order.service].recordResult(order, result, steadyNow());
        scheduleNextOrder();
    });
}

/*!
    Continues with the remaining orders of the plan before the next regular tick, because engines
    take seconds to start.
*/
void ScalingDuty::scheduleNextOrder()
{
    m_timer.expires_after(orderInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

} // namespace sesame
