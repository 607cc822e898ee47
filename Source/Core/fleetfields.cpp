#include "Core/fleetfields.h"

namespace sesame {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double dayMillis = 86'400'000;
constexpr double daySeconds = 86'400;
constexpr double yearHours = 8'760;
constexpr double largestBody = 64.0 * 1024 * 1024;
constexpr double largestCount = 1'000'000;

constexpr std::array<NumberField<FleetDefaults>, 11> defaultTable {{
        {"body_limit_bytes", NumberKind::Integer, 1024, largestBody,
         [](FleetDefaults &to, double n) {
             to.bodyLimitBytes = static_cast<std::size_t>(n);
         }},
        {"entry_ttl_seconds", NumberKind::Integer, 1, daySeconds,
         [](FleetDefaults &to, double n) {
             to.entryTtl = seconds(static_cast<int>(n));
         }},
        {"stream_keep_seconds", NumberKind::Integer, 0, daySeconds,
         [](FleetDefaults &to, double n) {
             to.streamKeep = seconds(static_cast<int>(n));
         }},
        {"claim_retention_hours", NumberKind::Integer, 1, yearHours,
         [](FleetDefaults &to, double n) {
             to.claimRetention = hours(static_cast<int>(n));
         }},
        // Shard keys have three digits, ledger/NNN.
        {"claim_shards", NumberKind::Integer, 1, 1000,
         [](FleetDefaults &to, double n) {
             to.claimShards = static_cast<std::uint32_t>(n);
         }},
        {"cancel_on_disconnect", NumberKind::Boolean, 0, 1,
         [](FleetDefaults &to, double n) {
             to.cancelOnDisconnect = n != 0.0;
         }},
        {"retry_budget", NumberKind::Real, 0, 1,
         [](FleetDefaults &to, double n) {
             to.retryBudget = n;
         }},
        {"recovery_grace_seconds", NumberKind::Integer, 0, daySeconds,
         [](FleetDefaults &to, double n) {
             to.recoveryGrace = seconds(static_cast<int>(n));
         }},
        // Required: a file that leaves it out must not read as a lowered limit.
        {"capacity_limit", NumberKind::Integer, 1, largestCount,
         [](FleetDefaults &to, double n) {
             to.capacityLimit = static_cast<std::uint32_t>(n);
         },
         true},
        {"capacity_control", NumberKind::Boolean, 0, 1,
         [](FleetDefaults &to, double n) {
             to.capacityControl = n != 0.0;
         }},
        {"capacity_interval_seconds", NumberKind::Integer, 1, 3600,
         [](FleetDefaults &to, double n) {
             to.capacityInterval = seconds(static_cast<int>(n));
         }},
}};

constexpr std::array<NumberField<RankPolicy>, 6> rankTable {{
        {"first_token_ms", NumberKind::Integer, 1, dayMillis,
         [](RankPolicy &to, double n) {
             to.firstTokenTarget = milliseconds(static_cast<int>(n));
         }},
        {"token_gap_ms", NumberKind::Integer, 1, dayMillis,
         [](RankPolicy &to, double n) {
             to.tokenGapTarget = milliseconds(static_cast<int>(n));
         }},
        {"queue_limit_ms", NumberKind::Integer, 0, dayMillis,
         [](RankPolicy &to, double n) {
             to.queueLimit = milliseconds(static_cast<int>(n));
         }},
        {"floor_share", NumberKind::Real, 0, 0.99,
         [](RankPolicy &to, double n) {
             to.floorShare = n;
         }},
        {"worth", NumberKind::Real, 0, largestCount,
         [](RankPolicy &to, double n) {
             to.worth = n;
         }},
        {"objective", NumberKind::Real, 0.5, 0.99999,
         [](RankPolicy &to, double n) {
             to.objective = n;
         }},
}};

constexpr std::array<NumberField<Account>, 1> accountTable {{
        {"share", NumberKind::Real, 0.001, largestCount,
         [](Account &to, double n) {
             to.share = n;
         }},
}};

constexpr std::array<NumberField<Route>, 1> routeTable {{
        {"timeout_ms", NumberKind::Integer, 1, dayMillis,
         [](Route &to, double n) {
             to.timeout = milliseconds(static_cast<int>(n));
         }},
}};

constexpr std::array<NumberField<BackendClass>, 2> backendClassTable {{
        {"slots", NumberKind::Integer, 1, 65'536,
         [](BackendClass &to, double n) {
             to.slots = static_cast<std::uint32_t>(n);
         }},
        {"price_per_hour", NumberKind::Real, 0, largestCount,
         [](BackendClass &to, double n) {
             to.pricePerHour = n;
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
