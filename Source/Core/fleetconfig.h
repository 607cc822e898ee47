#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    Priority class of a request. Requests with a lower value are served first.
*/
enum class Rank : std::uint8_t { Urgent = 0, Standard = 1, Batch = 2 };
constexpr std::size_t rankCount = 3;

struct RankPolicy
{
    std::chrono::milliseconds firstTokenTarget {1200};
    std::chrono::milliseconds tokenGapTarget {57};
    //! Longest accepted waiting time before the first token.
    std::chrono::milliseconds queueLimit {30000};
    //! Share of the capacity guaranteed to this rank under overload, 0 to 1.
    double floorShare = 0.0;
    double worth = 1.0; //!< Value of one completed request for reports and the capacity planner.
    double objective = 0.95; //!< Share of requests that must meet the targets, see the burn report.
};

struct Account
{
    std::string name;
    std::string keySha256; //!< Lower-case hexadecimal SHA-256 of the account key.
    std::vector<Rank> ranks; //!< Ranks that requests of the account may use.
    double share = 1.0; //!< Weight of the account in the fair sharing of a rank's capacity.
};

struct Model
{
    std::string name;
    Rank rank = Rank::Standard; //!< Rank of requests that do not specify one.
    std::vector<std::string> backendClasses;
};

struct Route
{
    std::string prefix; //!< Path prefix, for example "/orders/dispatch".
    std::string service; //!< Service whose backend servers receive the calls.
    Rank rank = Rank::Standard;
    bool idempotent = false;
    //! Path that returns the outcome of a key. It contains "{key}", or is empty if the service has
    //! no status lookup.
    std::string statusLookup;
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
    std::string service; //!< Service name, set only for BackendKind::Service.
    std::uint32_t slots = 8; //!< Number of requests that one server processes concurrently.
    //! On-demand price. The prices of reclaimable instances are read from the cloud API.
    double pricePerHour = 0.0;
};

struct FleetDefaults
{
    std::size_t bodyLimitBytes = 1U << 20U;
    std::chrono::seconds entryTtl {10}; //!< Time for which callers may cache /v1/entries.
    //! Time for which a disconnected stream can be resumed.
    std::chrono::seconds streamRetention {30};
    std::chrono::hours claimRetention {168};
    std::uint32_t claimShards = 64;
    bool cancelOnDisconnect = false;
    double retryBudget = 0.1; //!< Number of retries allowed per successful call.
    //! Time for which a recovered backend server must stay healthy before it gets its full share.
    std::chrono::seconds recoveryGrace {10};
    std::uint32_t capacityLimit = 0; //!< Largest number of model engines. It may only increase.
    bool capacityControl = false; //!< Whether the fleet starts and stops its model engines.
    std::chrono::seconds capacityInterval {10}; //!< Time between two comparisons of plan and fleet.
};

/*!
    An override of a setting for the fleet or for one zone, account, route or model.
*/
struct FleetException
{
    std::string key; //!< Overridden setting, for example "defaults.entry_ttl_seconds".
    std::string scope; //!< "zone:NAME", "account:NAME", "route:PREFIX", "model:NAME" or "fleet".
    std::string value;
    std::string reason; //!< Reason for the exception. It must not be blank.
};

/*!
    The content of a validated fleet file.
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
