#include "Core/servingconfig.h"

#include <algorithm>

namespace sesame {

const std::string &ServingRoute::selectService(std::uint64_t hash) const
{
    double totalWeight = 0.0;
    for (const WeightedService &split : services)
        totalWeight += split.weight;
    constexpr std::uint64_t steps = 1U << 20U;
    double remainingWeight = totalWeight * static_cast<double>(hash % steps)
            / static_cast<double>(steps);
    for (const WeightedService &split : services) {
        remainingWeight -= split.weight;
        if (remainingWeight < 0.0)
            return split.service;
    }
    return services.back().service;
}

void ServingConfig::indexRoutes()
{
    m_routesByHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
        m_routesByHost[routes[i].host].push_back(i);
    // The longest prefix comes first, so that findRoute() can return the first match.
    for (auto &[host, indexes] : m_routesByHost) {
        std::sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].pathPrefix.size() > routes[b].pathPrefix.size();
        });
    }
}

const ServingRoute *ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const std::size_t i : found->second) {
        if (path.starts_with(routes[i].pathPrefix))
            return &routes[i];
    }
    return nullptr;
}

const ClientAccount *ServingConfig::findAccount(const std::string &key) const
{
    const auto found = accountByKey.find(key);
    return found == accountByKey.end() ? nullptr : &accounts[found->second];
}

const ServiceSpec *ServingConfig::findService(const std::string &name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace sesame
