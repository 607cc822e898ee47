#include "Serving/scalingduty.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

namespace sesame {

void ScalingDuty::tick(std::int64_t fencingToken)
{
    if (!m_state.settings.scalesEngines || !m_state.config || m_busy)
        return;
    for (const auto &[name, service] : m_state.config->services) {
        if (!service.scaling)
            continue;
        EnginePlanner &planner = m_planners[name];
        const Timestamp now = steadyNow();
        const std::vector<EngineOrder> orders = planner.plan(
                service, m_state.engines.usable(name), m_state.refusals.perSecond(name, now), now);
        if (orders.empty())
            continue;
        send(planner, orders.front(), fencingToken);
        return;
    }
}

void ScalingDuty::reset()
{
    m_planners.clear();
    ++m_generation;
}

void ScalingDuty::send(EnginePlanner &planner, const EngineOrder &order, std::int64_t fencingToken)
{
    m_busy = true;
    logEvent(LogLevel::Info, "engines.ordered",
             {{"service", order.service},
              {"zone", order.zone},
              {"desired", static_cast<std::int64_t>(order.desired)},
              {"spot", order.spot},
              {"planned", static_cast<std::int64_t>(planner.planned())},
              {"term", fencingToken}});
    m_calls.orderEngines(order, fencingToken,
                         [this, order, generation = m_generation](DutyCallStatus status) {
                             m_busy = false;
                             if (generation != m_generation)
                                 return;
                             const bool accepted = status == DutyCallStatus::Accepted;
                             if (!accepted)
                                 logEvent(LogLevel::Warning, "engines.order_refused",
                                          {{"zone", order.zone}, {"spot", order.spot}});
                             m_planners[order.service].recordResult(order, accepted, steadyNow());
                         });
}

} // namespace sesame
