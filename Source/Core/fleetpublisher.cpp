#include "Core/fleetpublisher.h"

#include "Core/fleetexceptions.h"
#include "Core/fleetfile.h"
#include "Core/linedifference.h"

#include <algorithm>

namespace sesame {

namespace {

std::string joinErrors(const std::vector<SettingsError> &errors)
{
    std::string text;
    for (const SettingsError &error : errors)
        text += (text.empty() ? "" : "\n") + error.format();
    return text;
}

ApplyResult makeRefusal(ResultCode code, std::string reason, std::uint64_t version)
{
    return {.status = ApplyStatus::Refused,
            .code = code,
            .version = version,
            .reason = std::move(reason)};
}

/*!
    Returns a refusal if \a config must not replace \a current.
*/
std::optional<ApplyResult> checkReplacement(const FleetConfig &config, const FleetDocument &current)
{
    const std::uint32_t limit = effectiveCapacityLimit(config);
    if (limit < current.capacityLimit)
        return makeRefusal(ResultCode::CapacityLimitLowered,
                           "defaults.capacity_limit: found " + std::to_string(limit)
                                   + ", allowed: at least " + std::to_string(current.capacityLimit),
                           current.version);
    std::vector<SettingsError> errors;
    const auto before = parseFleetFile(current.fleetFile, fleetObjectKey, errors);
    // With another number of shards, nodes would look up existing claims in the wrong shard.
    if (before && before->defaults.claimShards != config.defaults.claimShards)
        return makeRefusal(ResultCode::InvalidSettings,
                           "defaults.claim_shards: found "
                                   + std::to_string(config.defaults.claimShards)
                                   + ", allowed: the published value "
                                   + std::to_string(before->defaults.claimShards),
                           current.version);
    return std::nullopt;
}

} // namespace

ApplyResult makeConflict(const ApplyRequest &request, const FleetDocument &current, ResultCode code)
{
    return {.status = ApplyStatus::Conflict,
            .code = code,
            .version = current.version,
            .reason = "the object service holds version " + std::to_string(current.version)
                    + ", written by apply " + current.applyId,
            .difference = lineDifference(current.fleetFile, request.fleetFile)};
}

bool containsApply(const FleetDocument &document, const ApplyRequest &request)
{
    if (document.applyId == request.applyId)
        return document.fleetFile == request.fleetFile;
    const auto &ids = document.earlierApplyIds;
    return std::find(ids.begin(), ids.end(), request.applyId) != ids.end();
}

std::pair<std::optional<FleetDocument>, ApplyResult>
prepareFleetDocument(const ApplyRequest &request, const FleetDocument &current)
{
    std::vector<SettingsError> errors;
    const std::optional<FleetConfig> config = parseFleetFile(request.fleetFile, request.fileName,
                                                             errors);
    if (!config)
        return {std::nullopt,
                makeRefusal(errors.front().code, joinErrors(errors), current.version)};
    if (request.highestNodeVersion > current.version) {
        ApplyResult result = makeRefusal(
                ResultCode::ConfigurationOutdated,
                "the object service holds version " + std::to_string(current.version)
                        + " and a node has " + std::to_string(request.highestNodeVersion)
                        + "; wait until the nodes have written it back",
                current.version);
        result.status = ApplyStatus::Unavailable;
        return {std::nullopt, std::move(result)};
    }
    if (request.baseVersion && *request.baseVersion != current.version)
        return {std::nullopt, makeConflict(request, current, ResultCode::ConfigurationOutdated)};
    if (current.version > 0 && current.fleetFile == request.fleetFile)
        return {std::nullopt,
                ApplyResult {.status = ApplyStatus::AlreadyInForce, .version = current.version}};
    if (auto refusal = checkReplacement(*config, current))
        return {std::nullopt, *refusal};
    FleetDocument document {
            .version = current.version + 1,
            .capacityLimit = std::max(current.capacityLimit, effectiveCapacityLimit(*config)),
            .applyId = request.applyId,
            .fleetFile = request.fleetFile};
    if (!current.applyId.empty())
        document.earlierApplyIds.push_back(current.applyId);
    for (const std::string &id : current.earlierApplyIds) {
        if (document.earlierApplyIds.size() < maxEarlierApplyIds)
            document.earlierApplyIds.push_back(id);
    }
    ApplyResult accepted {.status = ApplyStatus::Accepted, .version = document.version};
    return {std::move(document), std::move(accepted)};
}

} // namespace sesame
