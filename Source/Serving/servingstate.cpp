#include "Serving/servingstate.h"

#include "Adapter/clientcutlog.h"
#include "Adapter/log.h"
#include "Serving/clocks.h"

namespace sesame {

namespace {

//! Share of a quota's burst that is available after a restart. The node does not know how much its
//! previous incarnation consumed, and the peers account only for an equal share.
constexpr double restartQuotaShare = 0.25;
//! Part of the time after which a revoked key must be refused that covers the transit of messages
//! and the differences between clocks.
constexpr Duration revocationMargin = std::chrono::milliseconds(500);

wire::Member selfMember(const ServingSettings &settings)
{
    wire::Member member;
    member.node = settings.node;
    member.entryAddress = settings.entryAddressText;
    member.capacity = settings.capacityMillicores;
    return member;
}

} // namespace

ServingState::ServingState(asio::io_context &ioContext, const ServingSettings &nodeSettings,
                           const RequestFormat &requestFormat)
    : context(ioContext), settings(nodeSettings), format(requestFormat), incarnation(wallNow()),
      connectionPool(ioContext), resendBudget({.ratio = nodeSettings.resendRatio,
                                               .slack = nodeSettings.resendSlack,
                                               .window = nodeSettings.resendWindow}),
      usage(nodeSettings.zone), trueTime(wallNow(), bootMillis()), suspension(bootNow()),
      peers(selfMember(nodeSettings), nodeSettings.zone), tally(peers),
      clientMemory(std::make_shared<ClientMemory>(
              ioContext, ClientMemory::shareOf(nodeSettings.memoryLimitBytes), logClientCuts))
{
    if (settings.hasUnevenEngines)
        waiting.emplace(*this);
}

void ServingState::adoptConfig(std::shared_ptr<const ServingConfig> newConfig)
{
    if (config && newConfig->version <= config->version)
        return;
    logEvent(LogLevel::Info, "config.adopted",
             {{"version", newConfig->version},
              {"previous", config ? config->version : 0},
              {"routes", static_cast<std::int64_t>(newConfig->routes.size())},
              {"accounts", static_cast<std::int64_t>(newConfig->accounts.size())}});
    config = std::move(newConfig);
    for (const ClientAccount &account : config->accounts) {
        const auto [found, added] = quotas.try_emplace(account.name);
        found->second.setLimit(account.ratePerSecond, account.burst, steadyNow());
        if (added && !settings.isFirstStart)
            found->second.capLevel(restartQuotaShare);
    }
}

QuotaBucket &ServingState::refreshQuota(const ClientAccount &account)
{
    const Timestamp now = steadyNow();
    QuotaBucket &bucket = quotas[account.name];
    bucket.refill(now, quotaShares.silentShare(), peers.silenceLimit());
    return bucket;
}

void ServingState::countUsage(const std::string &account)
{
    usage.count(currentWindow(), reporterName(), account);
}

std::int64_t ServingState::currentWindow() const
{
    return commonMillis() / settings.usageWindow.count();
}

bool ServingState::acceptsKeys() const
{
    if (!settings.revocationLimit)
        return true;
    const std::optional<Duration> age = configReplica.age(bootNow());
    return age && *age + revocationMargin <= *settings.revocationLimit;
}

void ServingState::refreshPeerState()
{
    const Timestamp now = steadyNow();
    engines.setPeerLoads(tally.peerLoads(now), now);
    for (const auto &[fingerprint, count] : tally.peerCrashCounts(now))
        crashes.setPeerCount(fingerprint, count, now);
    const std::size_t refusals = promptCrashes.refusals().size();
    promptCrashes.merge(tally.peerPromptEvidence(now), commonMillis());
    logRefusedParts(refusals);
    quotaShares = tally.quotaShares(now);
}

void ServingState::recordRun()
{
    if (suspension.recordRun(bootNow()))
        logEvent(LogLevel::Warning, "node.paused", {});
}

std::int64_t ServingState::commonMillis() const
{
    return trueTime.now(bootMillis());
}

std::optional<Milliseconds> ServingState::crashRefusalTime(std::uint64_t fingerprint,
                                                           std::span<const PromptPart> parts) const
{
    if (const auto time = crashes.refusalTime(fingerprint, steadyNow()))
        return std::chrono::duration_cast<Milliseconds>(*time);
    return promptCrashes.refusalTime(parts, commonMillis());
}

void ServingState::recordPromptCrash(const wire::PromptCrash &crash)
{
    const std::size_t refusals = promptCrashes.refusals().size();
    promptCrashes.recordCrash(crash, commonMillis());
    logRefusedParts(refusals);
}

/*!
    Logs the groups of parts that have been refused since there were \a known groups.
*/
void ServingState::logRefusedParts(std::size_t known) const
{
    const auto refusals = promptCrashes.refusals();
    for (std::size_t i = known; i < refusals.size(); ++i) {
        logEvent(LogLevel::Warning, "prompt.parts_refused",
                 {{"parts", formatPartIds(refusals[i].parts)},
                  {"decided_ms", refusals[i].decidedMillis}});
    }
}

std::string ServingState::reporterName() const
{
    return settings.node + "#" + std::to_string(incarnation);
}

} // namespace sesame
