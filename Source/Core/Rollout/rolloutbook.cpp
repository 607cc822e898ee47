#include "Core/Rollout/rolloutbook.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace sesame {

namespace {

//! Steps of earlier orders that are kept for each service, so that the versions that they rolled
//! back get no requests.
constexpr std::size_t maxStepsPerService = 8;

auto rankOf(const wire::RolloutStep &step)
{
    const RolloutState state = stateOf(step);
    const int finality = state == RolloutState::Completed ? 2 : (state == RolloutState::RolledBack);
    return std::make_tuple(step.order, finality, step.number);
}

} // namespace

std::string_view rolloutStateName(RolloutState state)
{
    constexpr std::array<std::string_view, 5> names {"starting", "canary", "widening", "completed",
                                                     "rolled_back"};
    const auto i = static_cast<std::size_t>(state);
    return i < names.size() ? names[i] : "unknown";
}

bool RolloutBook::merge(const wire::RolloutStep &step)
{
    if (step.serviceName.empty() || step.target.empty())
        return false;
    auto &steps = m_steps[step.serviceName];
    const auto [found, added] = steps.try_emplace(step.target, step);
    if (!added) {
        if (rankOf(step) <= rankOf(found->second))
            return false;
        found->second = step;
    }
    if (steps.size() > maxStepsPerService)
        steps.erase(std::min_element(steps.begin(), steps.end(), [](const auto &a, const auto &b) {
            return a.second.order < b.second.order;
        }));
    return true;
}

const RolloutOrder *RolloutBook::findOrder(const std::string &service) const
{
    const auto found = m_orders.find(service);
    return found == m_orders.end() ? nullptr : &found->second;
}

const wire::RolloutStep *RolloutBook::latestStep(const std::string &service) const
{
    const auto found = m_steps.find(service);
    if (found == m_steps.end())
        return nullptr;
    const auto latest = std::max_element(found->second.begin(), found->second.end(),
                                         [](const auto &a, const auto &b) {
                                             return a.second.order < b.second.order;
                                         });
    return &latest->second;
}

std::optional<wire::RolloutStep> RolloutBook::stepInForce(const std::string &service) const
{
    const wire::RolloutStep *latest = latestStep(service);
    const RolloutOrder *order = findOrder(service);
    // The revision of an order grows with its status, so it doesn't identify the order.
    if (latest && (!order || latest->target == order->target || latest->order >= order->revision))
        return *latest;
    if (!order)
        return std::nullopt;
    wire::RolloutStep step;
    step.serviceName = service;
    step.order = order->revision;
    step.number = 0;
    step.target = order->target;
    step.share = 0;
    step.state = static_cast<std::int32_t>(order->reported && isFinal(*order->reported)
                                                   ? *order->reported
                                                   : RolloutState::Starting);
    return step;
}

bool RolloutBook::allows(const std::string &service, const std::string &version, bool prefersTarget,
                         bool isInTouch) const
{
    const std::optional<wire::RolloutStep> step = stepInForce(service);
    if (!step)
        return true;
    const RolloutState state = stateOf(*step);
    const bool isTarget = version == step->target;
    if (isFinal(state) && isTarget)
        return state == RolloutState::Completed;
    if (state == RolloutState::Completed)
        return false;
    const int share = isFinal(state) || !isInTouch ? 0 : step->share;
    if (isTarget)
        return share >= wholeShare || (share > 0 && prefersTarget);
    if (share >= wholeShare || (share > 0 && prefersTarget))
        return false;
    // A version whose roll-out was rolled back or replaced halfway is no old version.
    const auto steps = m_steps.find(service);
    if (steps == m_steps.end())
        return true;
    const auto earlier = steps->second.find(version);
    return earlier == steps->second.end() || stateOf(earlier->second) == RolloutState::Completed;
}

std::vector<wire::RolloutStep> RolloutBook::steps() const
{
    std::vector<wire::RolloutStep> list;
    for (const auto &[service, steps] : m_steps) {
        for (const auto &[target, step] : steps)
            list.push_back(step);
    }
    return list;
}

} // namespace sesame
