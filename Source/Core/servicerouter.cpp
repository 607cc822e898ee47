#include "Core/servicerouter.h"

#include "Core/lastreason.h"

#include <algorithm>

namespace sesame {

ServiceRouter::ServiceRouter(ServiceRouterOptions options) : m_options(options) { }

std::optional<std::size_t>
ServiceRouter::choose(const ServiceQuery &query,
                      std::span<const BackendServerView> candidates) const
{
    std::optional<std::size_t> best;
    double bestLoad = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const BackendServerView &server = candidates[i];
        const auto &excluded = query.excluded;
        if (std::find(excluded.begin(), excluded.end(), server.id) != excluded.end())
            continue;
        const std::uint32_t work = std::max(server.ownInFlight,
                                            server.reportedRequests + server.ownSendsSinceReport);
        double load = static_cast<double>(work) / std::max(1U, server.slots);
        if (server.zone != query.entryZone)
            load += m_options.crossZonePenalty;
        if (!best || load < bestLoad) {
            best = i;
            bestLoad = load;
        }
    }
    if (!best)
        return fail(ResultCode::NoBackendServer, "no usable backend server");
    return best;
}

} // namespace sesame
