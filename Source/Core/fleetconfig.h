#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    Order of urgency of a request. Lower values are served first.
*/
enum class Rank : std::uint8_t { Urgent = 0, Standard = 1, Batch = 2 };
constexpr std::size_t rankCount = 3;

struct RankPolicy
{
    std::chrono::milliseconds firstTokenTarget {1200};
    std::chrono::milliseconds tokenGapTarget {57};
    std::chrono::milliseconds queueLimit {30000}; //!< Longest accepted wait before the first token.
    double floorShare = 0.0; //!< Share of capacity that this rank keeps in any flood, 0 to 1.
    double worth = 1.0; //!< Value of one completed request, for reports and the capacity planner.
    double objective = 0.95; //!< Share of requests that must meet the targets (burn report).
};

struct Account
{
    std::string name;
    std::string keySha256; //!< Lower-case hexadecimal SHA-256 of the account key.
    std::vector<Rank> ranks; //!< Ranks the account may claim.
    double share = 1.0; //!< Weight in the fair sharing of a rank.
};

struct Model
{
    std::string name;
    Rank rank = Rank::Standard; //!< Rank of requests that do not claim one.
    std::vector<std::string> backendClasses;
};

struct Route
{
    std::string prefix; //!< Path prefix, for example "/orders/dispatch".
    std::string service; //!< Backend servers of this service receive the call.
    Rank rank = Rank::Standard;
    bool idempotent = false;
    std::string
            statusLookup; //!< Path that tells the outcome of a key; contains "{key}"; may be empty.
    std::chrono::milliseconds timeout {5000};
};

enum class Fencing : std::uint8_t {
    Checked, //!< Backend servers refuse an order with an old fencing number.
    Ignored
};

enum class BackendKind : std::uint8_t { ModelEngine, Service };

struct BackendClass
{
    std::string name;
    BackendKind kind = BackendKind::ModelEngine;
    Fencing fencing = Fencing::Ignored;
    std::string service; //!< Service name; only for BackendKind::Service.
    std::uint32_t slots = 8; //!< Requests that one server runs at once.
    double pricePerHour = 0.0; //!< On-demand price; reclaimable prices come from the cloud API.
};

struct FleetDefaults
{
    std::size_t bodyLimitBytes = 1U << 20U;
    std::chrono::seconds entryTtl {10}; //!< How long callers keep the answer of /v1/entries.
    std::chrono::seconds streamKeep {30}; //!< How long an abandoned stream stays resumable.
    std::chrono::hours claimRetention {168};
    std::uint32_t claimShards = 64;
    bool cancelOnDisconnect = false;
    double retryBudget = 0.1; //!< Retries per successful call.
    std::chrono::seconds recoveryGrace {10}; //!< Good health needed before full share again.
    std::uint32_t capacityLimit = 0; //!< Largest number of model engines. May only grow.
    bool capacityControl = false; //!< Whether the fleet starts and stops its model engines.
    std::chrono::seconds capacityInterval {10}; //!< Between two comparisons of plan and fleet.
};

/*!
    A deviation from the defaults, for one zone, account, route or model.
*/
struct FleetException
{
    std::string key; //!< Setting that changes, for example "defaults.entry_ttl_seconds".
    std::string scope; //!< "zone:NAME", "account:NAME", "route:PREFIX", "model:NAME" or "fleet".
    std::string value;
    std::string reason; //!< Required, never empty.
};

/*!
    The content of a checked fleet file.
*/
struct FleetConfig
{
    std::string name;
    std::vector<std::string> zones;
    FleetDefaults defaults;
    std::array<RankPolicy, rankCount> ranks;
    std::vector<Account> accounts;
    std::vector<Model> models;
    std::vector<Route> routes;
    std::vector<BackendClass> backendClasses;
    std::vector<FleetException> exceptions;
};

} // namespace sesame
