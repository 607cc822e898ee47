#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sesame {

/*!
    State of one usable backend server of a plain service that the router takes into account.
*/
struct BackendServerView
{
    std::string id;
    std::string zone;
    std::uint32_t slots = 16;
    std::uint32_t reportedRequests = 0; //!< Requests running or queued in the last load report.
    std::uint32_t ownSendsSinceReport = 0; //!< Requests of this node sent since that report.
    std::uint32_t ownInFlight = 0; //!< Requests of this node at the server now.
};

struct ServiceQuery
{
    std::string_view entryZone {}; //!< Zone of this node.
    std::span<const std::string> excluded {}; //!< Server ids that must not be chosen again.
};

struct ServiceRouterOptions
{
    //! Added to the load per slot of servers in other zones. A server in another zone is chosen
    //! only if its load is lower by more than this share of the slots.
    double crossZonePenalty = 0.1;
};

/*!
    Chooses the backend server with the fewest outstanding requests per slot and prefers the zone
    of the entry node. Calls to plain services are short, so the latency between zones matters more
    than the risk of losing a zone, and calls without a claim are not resumed after a loss anyway.
*/
class ServiceRouter
{
public:
    explicit ServiceRouter(ServiceRouterOptions options = {});

    /*!
        Returns the index of the chosen candidate. Fails with code 1202 if there is none.
    */
    std::optional<std::size_t> choose(const ServiceQuery &query,
                                      std::span<const BackendServerView> candidates) const;

private:
    ServiceRouterOptions m_options;
};

} // namespace sesame
