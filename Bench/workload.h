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
    std::uint32_t sharedTokens = 0; //!< Length of the prefix that requests on one topic share.
    std::uint32_t ownTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t topicCount = 1; //!< Number of different shared prefixes.
    double workFraction = 0.0; //!< Fraction of the engine time at nominal load.
};

struct ZonePrices
{
    std::string name;
    double reclaimable = 0.0; //!< Price per engine hour.
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
    Fraction of the requests that each account sends. The first two accounts are the large ones.
*/
constexpr std::array<double, accountCount> accountShares {0.4, 0.3, 0.1, 0.1, 0.1};
constexpr std::size_t largeAccountCount = 2;
constexpr double largeAccountShare = 0.7;

//! Engine seconds per token. Eight simultaneous streams decode at 35.5 ms per token.
constexpr double promptTokenSeconds = prefillSlowdown / prefillTokensPerSecond;
constexpr double outputTokenSeconds = 0.0355 / 8.0;

/*!
    Returns the expected engine seconds of a request of \a shape without a cached prefix.
*/
double expectedEngineSeconds(const RequestShape &shape);

Request makeRequest(const Deployment &deployment, Rank rank, std::size_t account,
                    std::mt19937_64 &random);

} // namespace bench
