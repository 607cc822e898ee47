#include "Core/fleetexceptions.h"

#include "Core/fleetfields.h"

#include <algorithm>
#include <charconv>

namespace sesame {

namespace {

constexpr std::string_view zoneScopePrefix = "zone:";
constexpr std::string_view allowedKeys
        = "defaults.KEY, ranks.RANK.KEY, account.share, route.timeout_ms, route.rank, model.rank";

// These settings must be equal on all nodes: claims are removed by age, and the capacity limit and
// control must not depend on which node holds the lease.
constexpr std::array<std::string_view, 4> fleetScopeOnlyKeys {
        "defaults.capacity_limit", "defaults.capacity_control",
        "defaults.capacity_interval_seconds", "defaults.claim_retention_hours"};
// Shards are selected by hash. With another number of shards an existing claim would not be found,
// and its call would be executed a second time.
constexpr std::string_view immutableKey = "defaults.claim_shards";

std::optional<double> parseNumber(std::string_view text, NumberKind kind)
{
    if (kind == NumberKind::Boolean) {
        if (text != "true" && text != "false")
            return std::nullopt;
        return text == "true" ? 1.0 : 0.0;
    }
    double value = 0.0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    if (kind == NumberKind::Integer && value != static_cast<double>(static_cast<long>(value)))
        return std::nullopt;
    return value;
}

template <typename T>
std::optional<ExceptionFault> setNumber(std::span<const NumberField<T>> fields,
                                        std::string_view key, std::string_view value, T &target)
{
    std::string names;
    for (const NumberField<T> &field : fields) {
        names += (names.empty() ? "" : ", ") + std::string(field.key);
        if (field.key != key)
            continue;
        const std::optional<double> n = parseNumber(value, field.kind);
        if (!n || !(*n >= field.minimum && *n <= field.maximum)) {
            std::string allowed = describeRange(field.kind, field.minimum, field.maximum);
            return ExceptionFault {.member = "value", .allowed = std::move(allowed)};
        }
        field.set(target, *n);
        return std::nullopt;
    }
    return ExceptionFault {.member = "key", .allowed = "one of " + names};
}

std::optional<ExceptionFault> setRank(std::string_view value, Rank &target)
{
    for (const auto &[name, rank] : rankNames()) {
        if (name == value) {
            target = rank;
            return std::nullopt;
        }
    }
    return ExceptionFault {.member = "value", .allowed = "urgent, standard or batch"};
}

/*!
    Returns the entry of \a entries that \a scope refers to, or nullptr if there is none. A scope
    consists of \a prefix and the value of the member \a name of the entry.
*/
template <typename T>
T *findScopedEntry(std::vector<T> &entries, std::string T::*name, std::string_view scope,
                   std::string_view prefix)
{
    if (!scope.starts_with(prefix))
        return nullptr;
    const std::string_view wanted = scope.substr(prefix.size());
    const auto it = std::find_if(entries.begin(), entries.end(), [&](const T &entry) {
        return entry.*name == wanted;
    });
    return it == entries.end() ? nullptr : &*it;
}

std::optional<ExceptionFault> checkFleetOrZoneScope(const FleetConfig &config,
                                                    const FleetException &exception)
{
    if (exception.key == immutableKey)
        return ExceptionFault {.member = "key", .allowed = "any other key; it must never change"};
    if (exception.scope == "fleet")
        return std::nullopt;
    if (std::find(fleetScopeOnlyKeys.begin(), fleetScopeOnlyKeys.end(), exception.key)
        != fleetScopeOnlyKeys.end())
        return ExceptionFault {.member = "scope", .allowed = "\"fleet\" for this key"};
    for (const std::string &zone : config.zones) {
        if (exception.scope == std::string(zoneScopePrefix) + zone)
            return std::nullopt;
    }
    return ExceptionFault {.member = "scope", .allowed = "\"fleet\" or \"zone:NAME\" of a zone"};
}

std::optional<ExceptionFault> applyFleetOrZoneException(FleetConfig &config,
                                                        const FleetException &exception)
{
    constexpr std::string_view defaultsPrefix = "defaults.";
    if (auto fault = checkFleetOrZoneScope(config, exception))
        return fault;
    std::string_view key = exception.key;
    if (key.starts_with(defaultsPrefix))
        return setNumber(defaultFields(), key.substr(defaultsPrefix.size()), exception.value,
                         config.defaults);
    for (const auto &[name, rank] : rankNames()) {
        const std::string prefix = "ranks." + std::string(name) + ".";
        if (key.starts_with(prefix))
            return setNumber(rankFields(), key.substr(prefix.size()), exception.value,
                             config.ranks[static_cast<std::size_t>(rank)]);
    }
    return ExceptionFault {.member = "key", .allowed = std::string(allowedKeys)};
}

} // namespace

std::optional<ExceptionFault> applyException(FleetConfig &config, const FleetException &exception)
{
    const std::string_view key = exception.key;
    if (key == "account.share") {
        auto *account = findScopedEntry(config.accounts, &Account::name, exception.scope,
                                        "account:");
        if (!account)
            return ExceptionFault {.member = "scope", .allowed = "\"account:NAME\" of an account"};
        return setNumber(accountFields(), "share", exception.value, *account);
    }
    if (key == "route.timeout_ms" || key == "route.rank") {
        auto *route = findScopedEntry(config.routes, &Route::prefix, exception.scope, "route:");
        if (!route)
            return ExceptionFault {.member = "scope", .allowed = "\"route:PREFIX\" of a route"};
        if (key == "route.rank")
            return setRank(exception.value, route->rank);
        return setNumber(routeFields(), "timeout_ms", exception.value, *route);
    }
    if (key == "model.rank") {
        auto *model = findScopedEntry(config.models, &Model::name, exception.scope, "model:");
        if (!model)
            return ExceptionFault {.member = "scope", .allowed = "\"model:NAME\" of a model"};
        return setRank(exception.value, model->rank);
    }
    return applyFleetOrZoneException(config, exception);
}

FleetConfig applyExceptions(FleetConfig config, std::string_view zone)
{
    const std::vector<FleetException> exceptions = config.exceptions;
    for (const FleetException &exception : exceptions) {
        const std::string_view scope = exception.scope;
        if (!scope.starts_with(zoneScopePrefix) || scope.substr(zoneScopePrefix.size()) == zone)
            applyException(config, exception);
    }
    return config;
}

std::uint32_t effectiveCapacityLimit(const FleetConfig &config)
{
    return applyExceptions(config, {}).defaults.capacityLimit;
}

double sumFloorShares(const FleetConfig &config)
{
    double sum = 0.0;
    for (const RankPolicy &policy : config.ranks)
        sum += policy.floorShare;
    return sum;
}

} // namespace sesame
