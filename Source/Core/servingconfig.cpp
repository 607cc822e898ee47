#include "Core/servingconfig.h"

#include <algorithm>
#include <set>

namespace sesame {

std::optional<double> ServiceSpec::rankOf(int priority) const
{
    if (leastUrgent <= mostUrgent)
        return std::nullopt;
    const double rank = static_cast<double>(priority - mostUrgent) / (leastUrgent - mostUrgent);
    return std::clamp(rank, 0.0, 1.0);
}

void ServingConfig::indexRoutes()
{
    m_routesOfHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
        m_routesOfHost[routes[i].host].push_back(i);
    // The longest prefix comes first, so that the first match decides.
    for (auto &[host, indexes] : m_routesOfHost) {
        std::sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return routes[a].pathPrefix.size() > routes[b].pathPrefix.size();
        });
    }
    std::set<std::string> seen;
    for (const ServingRoute &route : routes) {
        for (const WeightedService &part : route.services) {
            const auto found = services.find(part.service);
            if (found == services.end())
                continue;
            ServiceSpec &service = found->second;
            const bool isFirst = seen.insert(part.service).second;
            service.mostUrgent = isFirst ? route.priority
                                         : std::min(service.mostUrgent, route.priority);
            service.leastUrgent = isFirst ? route.priority
                                          : std::max(service.leastUrgent, route.priority);
        }
    }
}

const ServingRoute *ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesOfHost.find(std::string(host));
    if (found == m_routesOfHost.end())
        return nullptr;
    for (const std::size_t i : found->second) {
        if (path.starts_with(routes[i].pathPrefix))
            return &routes[i];
    }
    return nullptr;
}

const ClientAccount *ServingConfig::findAccount(const std::string &key) const
{
    const auto found = accountOfKey.find(key);
    return found == accountOfKey.end() ? nullptr : &accounts[found->second];
}

const ServiceSpec *ServingConfig::findService(const std::string &name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace sesame
