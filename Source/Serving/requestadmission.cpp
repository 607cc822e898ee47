#include "Serving/requestadmission.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <xxhash.h>

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned unavailable = 503;
//! Applies to the few requests without a deadline, so that engines always receive one.
constexpr Milliseconds defaultDeadline = 30s;
//! Retry delay for a node that lacks a current configuration.
constexpr Milliseconds defaultRetryAfter = 400ms;
constexpr Milliseconds minRetryAfter = 100ms;

std::uint64_t computeFingerprint(std::string_view path, std::string_view account,
                                 std::string_view body)
{
    const std::uint64_t seed = XXH3_64bits(path.data(), path.size())
            ^ XXH3_64bits(account.data(), account.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

} // namespace

bool RequestAdmission::admit(const RequestInfo &info, std::string_view body,
                             AdmittedRequest &admitted)
{
    if (!m_config)
        return refuse({unavailable, "no configuration is known yet", defaultRetryAfter});
    admitted.route = m_config->findRoute(info.host, info.path);
    if (!admitted.route)
        return refuse({notFound, "no route for this host and path"});
    if (!m_config->accounts.empty() && !admitted.route->anonymous) {
        admitted.account = m_config->findAccount(info.accountKey);
        if (!admitted.account)
            return refuse({unauthorized, "unknown account key"});
        if (!m_state.acceptsKeys())
            return refuse(
                    {unavailable, "the account key may have been revoked", defaultRetryAfter});
    }
    admitted.fingerprint = computeFingerprint(
            info.path, admitted.account ? admitted.account->name : info.host, body);
    if (const auto time = m_state.crashRefusalTime(admitted.fingerprint, info.work.parts))
        return refuse({unavailable, "requests like this one crash engines", *time});
    admitted.timeLimit = timeLimit(info, *admitted.route);
    if (m_state.stop
        && !m_state.stop->mayAccept(admitted.route->kind, admitted.timeLimit, steadyNow()))
        return refuse({unavailable, "this node is shutting down", minRetryAfter});
    return chargeQuota(info, admitted);
}

Milliseconds RequestAdmission::timeLimit(const RequestInfo &info, const ServingRoute &route)
{
    const Milliseconds deadline = info.deadline.value_or(defaultDeadline);
    return route.timeout > Milliseconds::zero() ? std::min(deadline, route.timeout) : deadline;
}

bool RequestAdmission::refuse(const LocalResponse &response)
{
    m_refusal = response;
    return false;
}

bool RequestAdmission::chargeQuota(const RequestInfo &info, AdmittedRequest &admitted)
{
    const ClientAccount *account = admitted.account;
    if (!account || account->ratePerSecond <= 0.0)
        return true;
    const double tokens = info.hasTokenCounts ? static_cast<double>(info.work.tokens())
                                              : account->defaultTokens;
    const double cost = account->countsTokens ? tokens : 1.0;
    QuotaBucket &quota = m_state.refreshQuota(*account);
    if (!quota.tryTake(cost)) {
        logEvent(LogLevel::Info, "request.quota_exceeded",
                 {{"request", info.id},
                  {"account", account->name},
                  {"cost", cost},
                  {"level", quota.level()},
                  {"rate", account->ratePerSecond},
                  {"silent_peers", m_state.quotaShares.silentShare()}});
        const auto wait = std::chrono::duration_cast<Milliseconds>(quota.timeUntilAvailable(cost));
        return refuse(
                {tooManyRequests, "the account's quota is used up", std::max(wait, minRetryAfter)});
    }
    admitted.quotaCost = cost;
    return true;
}

} // namespace sesame
