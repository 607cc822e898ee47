#include "Serving/servingstate.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

namespace sesame {

namespace {

//! Part of a quota's burst that a restarted node begins with, because it does not know what its
//! last incarnation spent and the peers account for an equal share only.
constexpr double restartLevel = 0.25;

} // namespace

ServingState::ServingState(asio::io_context &ioContext, const ServingSettings &nodeSettings,
                           const RequestFormat &requestFormat)
    : context(ioContext), settings(nodeSettings), format(requestFormat), incarnation(wallNow()),
      pool(ioContext), resends({.ratio = nodeSettings.resendRatio,
                                .slack = nodeSettings.resendSlack,
                                .window = nodeSettings.resendWindow}),
      trueTime(wallNow(), bootMillis())
{
}

void ServingState::adoptConfig(std::shared_ptr<const ServingConfig> next)
{
    if (config && next->version <= config->version)
        return;
    logEvent(LogLevel::Info, "config.adopted",
             {{"version", next->version},
              {"previous", config ? config->version : 0},
              {"routes", static_cast<std::int64_t>(next->routes.size())},
              {"accounts", static_cast<std::int64_t>(next->accounts.size())}});
    config = std::move(next);
    for (const ClientAccount &account : config->accounts) {
        const auto [found, added] = quotas.try_emplace(account.name);
        found->second.setLimit(account.ratePerSecond, account.burst, steadyNow());
        if (added && !settings.isFirstStart)
            found->second.limitLevel(restartLevel);
    }
}

QuotaBucket &ServingState::quotaOf(const ClientAccount &account)
{
    const Timestamp now = steadyNow();
    QuotaBucket &bucket = quotas[account.name];
    bucket.advance(now, peers.silentQuotaShare(now), peers.silenceLimit());
    return bucket;
}

void ServingState::countUsage(const std::string &account)
{
    usage.count(currentWindow(), reporterName(), account);
}

std::int64_t ServingState::currentWindow() const
{
    return trueTime.now(bootMillis()) / settings.usageWindow.count();
}

std::string ServingState::reporterName() const
{
    return settings.node + "#" + std::to_string(incarnation);
}

} // namespace sesame
