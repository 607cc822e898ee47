#pragma once

#include "fakeengine.h"

#include <array>
#include <random>
#include <string>
#include <vector>

namespace bench {

constexpr std::size_t accountCount = 5;
constexpr std::size_t zoneCount = 4;
constexpr std::size_t nodeCount = 7;
constexpr std::size_t engineCount = 20;

/*!
    Shape of the requests of one rank.
*/
struct RequestShape
{
    std::uint32_t sharedTokens = 0; //!< Prefix that requests about the same matter share.
    std::uint32_t ownTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t topicCount = 1; //!< Different shared prefixes.
    double workFraction = 0.0; //!< Part of the engine time at nominal load.
};

struct ZonePrices
{
    std::string name;
    double reclaimable = 0.0; //!< Per engine hour.
    double onDemand = 0.0;
    double reclaimsPerHour = 0.0;
};

struct Deployment
{
    std::string name;
    std::array<ZonePrices, zoneCount> zones;
    std::array<RequestShape, sesame::rankCount> shapes;
};

const std::vector<Deployment> &deployments();

/*!
    Part of the requests that each account sends; the first two are the large ones.
*/
constexpr std::array<double, accountCount> accountShares {0.4, 0.3, 0.1, 0.1, 0.1};
constexpr std::size_t largeAccountCount = 2;
constexpr double largeAccountShare = 0.7;

//! Engine seconds of a token; eight streams decode at 35.5 ms per token.
constexpr double promptTokenSeconds = prefillSlowdown / prefillTokensPerSecond;
constexpr double outputTokenSeconds = 0.0355 / 8.0;

/*!
    Returns the expected engine seconds of a request of \a shape without a cached prefix.
*/
double expectedEngineSeconds(const RequestShape &shape);

Request makeRequest(const Deployment &deployment, Rank rank, std::size_t account,
                    std::mt19937_64 &random);

} // namespace bench
