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
//! A node without a configuration, or a request that is refused for its crashes, is not worth an
//! earlier question.
constexpr Milliseconds longRetry = 400ms;
constexpr Milliseconds shortestRetry = 100ms;

std::uint64_t computeFingerprint(std::string_view path, std::string_view account,
                                 std::string_view body)
{
    const std::uint64_t seed = XXH3_64bits(path.data(), path.size())
            ^ XXH3_64bits(account.data(), account.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

} // namespace

bool RequestAdmission::admit(const RequestFacts &facts, std::string_view body,
                             AdmittedRequest &admitted)
{
    if (!m_config)
        return refuse({unavailable, "no configuration is known yet", longRetry});
    admitted.route = m_config->findRoute(facts.host, facts.path);
    if (!admitted.route)
        return refuse({notFound, "no route for this host and path"});
    if (!m_config->accounts.empty() && !admitted.route->anonymous) {
        admitted.account = m_config->findAccount(facts.key);
        if (!admitted.account)
            return refuse({unauthorized, "unknown account key"});
    }
    admitted.fingerprint = computeFingerprint(
            facts.path, admitted.account ? admitted.account->name : facts.host, body);
    if (m_state.crashes.isRefused(admitted.fingerprint))
        return refuse({unavailable, "this request has brought engines down", longRetry});
    return takeQuota(facts, admitted);
}

bool RequestAdmission::refuse(const OwnAnswer &answer)
{
    m_refusal = answer;
    return false;
}

bool RequestAdmission::takeQuota(const RequestFacts &facts, AdmittedRequest &admitted)
{
    const ClientAccount *account = admitted.account;
    if (!account || account->ratePerSecond <= 0.0)
        return true;
    const double tokens = facts.statesTokens ? static_cast<double>(facts.work.tokens())
                                             : account->plainTokens;
    const double cost = account->countsTokens ? tokens : 1.0;
    QuotaBucket &quota = m_state.quotaOf(*account);
    if (!quota.tryTake(cost)) {
        logEvent(LogLevel::Info, "request.quota_exceeded",
                 {{"request", facts.id},
                  {"account", account->name},
                  {"cost", cost},
                  {"level", quota.level()},
                  {"rate", account->ratePerSecond},
                  {"silent_peers", m_state.peers.silentQuotaShare(steadyNow())}});
        const auto wait = std::chrono::duration_cast<Milliseconds>(quota.timeUntil(cost));
        return refuse(
                {tooManyRequests, "the account's quota is used up", std::max(wait, shortestRetry)});
    }
    admitted.quotaCost = cost;
    return true;
}

} // namespace sesame
