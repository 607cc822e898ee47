#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sesame {

using Milliseconds = std::chrono::milliseconds;

/*!
    Determines whether a request of a route may run more than once.
*/
enum class RouteKind {
    Safe, //!< The request may run more than once.
    Unsafe, //!< The request runs at most once.
    Streaming //!< Answered by an event stream; runs at most once unless the route is resumable.
};

/*!
    Service that receives a share of the requests of a route.
*/
struct WeightedService
{
    std::string service;
    double weight = 1.0; //!< Relative to the other services of the route.
};

struct ServingRoute
{
    std::string name;
    std::string host; //!< In lower case, without a port.
    std::string pathPrefix; //!< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    std::vector<WeightedService> services;
    Milliseconds timeout {0}; //!< 0 means no timeout.
    Milliseconds targetLatency {0};
    Milliseconds targetGap {0}; //!< Longest time between two events that meets the target.
    int priority = 0; //!< 0 is the most urgent.
    int maxAttempts = 1; //!< Maximum number of engines to which one request is sent.
    bool anonymous = false; //!< Requests need no key.
    bool prefixAffinity = false; //!< Requests name the parts of their prompt.
    bool resumable = false; //!< A stream may be continued by another engine.

    /*!
        Returns the service of a request, chosen by the weights of the services and the \a hash of
       the request.
    */
    const std::string &selectService(std::uint64_t hash) const;

    /*!
        Returns whether a request of this route may run more than once.
    */
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }
};

/*!
    Limits on the number of engines of a service, and their prices.
*/
struct ScalingSpec
{
    int min = 0; //!< Smallest number of engines per availability zone.
    int max = 0; //!< Largest number of engines per availability zone.
    Milliseconds startupTime {0}; //!< Time until a started engine is ready.
    //! Price of spot engines as a share of the on-demand price; unset if there are none.
    std::optional<double> spotPrice;
    std::map<std::string, double> zonePrices; //!< Price of an on-demand engine by zone.
};

struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; //!< Limit per engine, for the connections of all nodes together.
    bool isModel = false;
    std::int64_t memoryTokens = 0; //!< Memory of each model engine, in tokens.
    std::optional<ScalingSpec> scaling; //!< Unset if no engines are ordered for the service.
};

/*!
    A client account and its quota.
*/
struct ClientAccount
{
    std::string name;
    std::optional<int> priority; //!< Takes precedence over the priority of the route.
    double ratePerSecond = 0.0; //!< In tokens or requests, see countsTokens; 0 means no quota.
    double burst = 0.0; //!< In the same unit as ratePerSecond.
    bool countsTokens = false; //!< The quota counts tokens instead of requests.
    double defaultTokens = 0.0; //!< Tokens charged for a request that does not state its tokens.
};

struct RequestLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20U;
    Milliseconds headerTimeout {3000};
    Milliseconds idleTimeout {15000};
};

/*!
    One version of the operator's configuration. It is immutable once it is built.
*/
struct ServingConfig
{
    std::int64_t version = 0;
    std::vector<ServingRoute> routes;
    std::unordered_map<std::string, ServiceSpec> services;
    std::vector<ClientAccount> accounts;
    std::unordered_map<std::string, std::size_t> accountByKey; //!< Index into accounts.
    RequestLimits limits;

    /*!
        Builds the index of the routes by host. Must be called once after \c routes is filled.
    */
    void indexRoutes();

    /*!
        Returns the route of \a host with the longest path prefix that matches \a path, or null.
        \a path must not contain a query.
    */
    const ServingRoute *findRoute(std::string_view host, std::string_view path) const;

    /*!
        Returns the account to which \a key belongs, or null.
    */
    const ClientAccount *findAccount(const std::string &key) const;

    const ServiceSpec *findService(const std::string &name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
};

} // namespace sesame
