#include "Core/fleetfields.h"

namespace sesame {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double millisPerDay = 86'400'000;
constexpr double secondsPerDay = 86'400;
constexpr double hoursPerYear = 8'760;
constexpr double maxBodyBytes = 64.0 * 1024 * 1024;
constexpr double maxCount = 1'000'000;

constexpr std::array<NumberField<FleetDefaults>, 11> defaultTable {{
        {"body_limit_bytes", NumberKind::Integer, 1024, maxBodyBytes,
         [](FleetDefaults &target, double n) {
             target.bodyLimitBytes = static_cast<std::size_t>(n);
         }},
        {"entry_ttl_seconds", NumberKind::Integer, 1, secondsPerDay,
         [](FleetDefaults &target, double n) {
             target.entryTtl = seconds(static_cast<int>(n));
         }},
        {"stream_keep_seconds", NumberKind::Integer, 0, secondsPerDay,
         [](FleetDefaults &target, double n) {
             target.streamRetention = seconds(static_cast<int>(n));
         }},
        {"claim_retention_hours", NumberKind::Integer, 1, hoursPerYear,
         [](FleetDefaults &target, double n) {
             target.claimRetention = hours(static_cast<int>(n));
         }},
        // The numbers in the keys of shards have three digits, ledger/NNN.
        {"claim_shards", NumberKind::Integer, 1, 1000,
         [](FleetDefaults &target, double n) {
             target.claimShards = static_cast<std::uint32_t>(n);
         }},
        {"cancel_on_disconnect", NumberKind::Boolean, 0, 1,
         [](FleetDefaults &target, double n) {
             target.cancelOnDisconnect = n != 0.0;
         }},
        {"retry_budget", NumberKind::Real, 0, 1,
         [](FleetDefaults &target, double n) {
             target.retryBudget = n;
         }},
        {"recovery_grace_seconds", NumberKind::Integer, 0, secondsPerDay,
         [](FleetDefaults &target, double n) {
             target.recoveryGrace = seconds(static_cast<int>(n));
         }},
        // This setting is required, so that omitting it cannot lower the limit.
        {"capacity_limit", NumberKind::Integer, 1, maxCount,
         [](FleetDefaults &target, double n) {
             target.capacityLimit = static_cast<std::uint32_t>(n);
         },
         true},
        {"capacity_control", NumberKind::Boolean, 0, 1,
         [](FleetDefaults &target, double n) {
             target.capacityControl = n != 0.0;
         }},
        {"capacity_interval_seconds", NumberKind::Integer, 1, 3600,
         [](FleetDefaults &target, double n) {
             target.capacityInterval = seconds(static_cast<int>(n));
         }},
}};

constexpr std::array<NumberField<RankPolicy>, 6> rankTable {{
        {"first_token_ms", NumberKind::Integer, 1, millisPerDay,
         [](RankPolicy &target, double n) {
             target.firstTokenTarget = milliseconds(static_cast<int>(n));
         }},
        {"token_gap_ms", NumberKind::Integer, 1, millisPerDay,
         [](RankPolicy &target, double n) {
             target.tokenGapTarget = milliseconds(static_cast<int>(n));
         }},
        {"queue_limit_ms", NumberKind::Integer, 0, millisPerDay,
         [](RankPolicy &target, double n) {
             target.queueLimit = milliseconds(static_cast<int>(n));
         }},
        {"floor_share", NumberKind::Real, 0, 0.99,
         [](RankPolicy &target, double n) {
             target.floorShare = n;
         }},
        {"worth", NumberKind::Real, 0, maxCount,
         [](RankPolicy &target, double n) {
             target.worth = n;
         }},
        {"objective", NumberKind::Real, 0.5, 0.99999,
         [](RankPolicy &target, double n) {
             target.objective = n;
         }},
}};

constexpr std::array<NumberField<Account>, 1> accountTable {{
        {"share", NumberKind::Real, 0.001, maxCount,
         [](Account &target, double n) {
             target.share = n;
         }},
}};

constexpr std::array<NumberField<Route>, 1> routeTable {{
        {"timeout_ms", NumberKind::Integer, 1, millisPerDay,
         [](Route &target, double n) {
             target.timeout = milliseconds(static_cast<int>(n));
         }},
}};

constexpr std::array<NumberField<BackendClass>, 2> backendClassTable {{
        {"slots", NumberKind::Integer, 1, 65'536,
         [](BackendClass &target, double n) {
             target.slots = static_cast<std::uint32_t>(n);
         }},
        {"price_per_hour", NumberKind::Real, 0, maxCount,
         [](BackendClass &target, double n) {
             target.pricePerHour = n;
         }},
}};

constexpr std::array<std::pair<std::string_view, Rank>, rankCount> rankNameTable {{
        {"urgent", Rank::Urgent},
        {"standard", Rank::Standard},
        {"batch", Rank::Batch},
}};

} // namespace

std::span<const NumberField<FleetDefaults>> defaultFields()
{
    return defaultTable;
}

std::span<const NumberField<RankPolicy>> rankFields()
{
    return rankTable;
}

std::span<const NumberField<Account>> accountFields()
{
    return accountTable;
}

std::span<const NumberField<Route>> routeFields()
{
    return routeTable;
}

std::span<const NumberField<BackendClass>> backendClassFields()
{
    return backendClassTable;
}

std::span<const std::pair<std::string_view, Rank>> rankNames()
{
    return rankNameTable;
}

} // namespace sesame
