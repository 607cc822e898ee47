#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sesame {

/*!
    What the router needs to know about one usable backend server of a plain service.
*/
struct BackendServerView
{
    std::string id;
    std::string zone;
    std::uint32_t slots = 16;
    std::uint32_t reportedRequests = 0; //!< Requests running or queued by the last report.
    std::uint32_t ownSendsSinceReport = 0; //!< This node's dispatches since that report.
    std::uint32_t ownInFlight = 0; //!< This node's requests at the server.
};

struct ServiceQuery
{
    std::string_view entryZone {};
    std::span<const std::string> excluded {}; //!< Server ids that must not be chosen again.
};

struct ServiceRouterOptions
{
    //! Share of the slots by which another zone must be emptier to be worth the way.
    double crossZonePenalty = 0.1;
};

/*!
    Chooses the backend server with the least outstanding work per slot and prefers the
    entry node's zone. Plain calls are short, so the distance counts for more than the
    loss of a zone, and calls without a claim are not resumed anyway.
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
