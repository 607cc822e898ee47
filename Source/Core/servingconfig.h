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
    What may be repeated on a route.
*/
enum class RouteKind {
    Safe, //!< May run more than once.
    Unsafe, //!< Runs at most once.
    Streaming //!< Answered by events; runs at most once unless it may be resumed.
};

struct WeightedService
{
    std::string service;
    double weight = 1.0;
};

struct ServingRoute
{
    std::string name;
    std::string host; //!< Lower case, without a port.
    std::string pathPrefix; //!< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    std::vector<WeightedService> services;
    Milliseconds timeout {0}; //!< 0: none.
    Milliseconds targetLatency {0};
    Milliseconds targetGap {0}; //!< Longest pause between two events that still counts as on time.
    int priority = 0; //!< 0 is the most urgent.
    int maxAttempts = 1; //!< Engines to which one request may be sent.
    bool anonymous = false; //!< Needs no key.
    bool prefixAffinity = false; //!< Requests name the parts of their prompt.
    bool resumable = false; //!< A stream may go on at another engine.

    /*!
        Returns whether a request of this route may run more than once.
    */
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }
};

/*!
    How many engines of a service may be ordered, and what they cost.
*/
struct ScalingSpec
{
    int min = 0; //!< Per availability zone.
    int max = 0; //!< Per availability zone.
    Milliseconds startupTime {0};
    std::optional<double> spotPrice; //!< Share of the normal price; unset: no spot engines.
    std::map<std::string, double> zonePrices;
};

struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; //!< Of each engine, from all nodes together.
    bool isModel = false;
    std::int64_t memoryTokens = 0; //!< Of each model engine.
    std::optional<ScalingSpec> scaling;
};

/*!
    A client account and its quota.
*/
struct ClientAccount
{
    std::string name;
    std::optional<int> priority; //!< Takes precedence over the route's.
    double ratePerSecond = 0.0; //!< 0: no quota.
    double burst = 0.0;
    bool countsTokens = false; //!< The quota counts tokens instead of requests.
    double defaultTokens = 0.0; //!< Tokens of a request that states none.
};

struct RequestLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20U;
    Milliseconds headerTimeout {3000};
    Milliseconds idleTimeout {15000};
};

/*!
    One whole version of the operator's configuration; never changed after it is built.
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
        Builds the index of routes; called once after \c routes is filled.
    */
    void indexRoutes();

    /*!
        Returns the route of \a host whose prefix is the longest that begins \a path, or null.
        \a path carries no query.
    */
    const ServingRoute *findRoute(std::string_view host, std::string_view path) const;

    /*!
        Returns the account that holds \a key, or null.
    */
    const ClientAccount *findAccount(const std::string &key) const;

    const ServiceSpec *findService(const std::string &name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
};

} // namespace sesame
