#pragma once

#include "Core/Rollout/rolloutdecision.h"
#include "Core/Rollout/rolloutexposure.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace sesame::test {

constexpr int tickMillis = 100;
constexpr int durationMillis = 12'000;
//! Age of the evidence and of the steps that nodes know.
constexpr int lagMillis = 500;
constexpr double exposureShare = 0.1;
constexpr double exposureSlack = 50.0;

/*!
    What a simulated version does with a request. Times are in milliseconds since the order, the
    share is that of the target.
*/
struct VersionBehaviour
{
    std::function<double(int time, double share, int route)> failureShare;
    std::function<double(int time, double share, int route)> slowness;
};

struct RunOptions
{
    double requestsPerSecond = 100.0;
    VersionBehaviour target;
    double usualFailures = 0.002; //!< Lost answers of all versions.
    double burstFailures = 0.0; //!< Failures of all versions in every third second.
    double faultyEngines
            = 0.0; //!< Share of the engines, changing each 600 ms, that take 2.5 times.
    double loadFactor = 1.0; //!< Time of all answers in the second half.
};

struct RunResult
{
    bool isCompleted = false;
    bool isRolledBack = false;
    int endMillis = 0;
    double exposure = 0.0; //!< Requests to the target.
    double bound = 0.0;
};

struct SimulatedRequest
{
    int time = 0; //!< Milliseconds since the order.
    double targetShare = 0.0;
    int route = 0;
    bool isTarget = false;
    bool isEngineSlow = false;
};

inline double failureShareOf(const RunOptions &options, const SimulatedRequest &request)
{
    double failures = options.usualFailures;
    if (request.time / 1000 % 3 == 1)
        failures += options.burstFailures;
    if (request.isTarget && options.target.failureShare)
        failures += options.target.failureShare(request.time, request.targetShare, request.route);
    return failures;
}

inline double delayFactorOf(const RunOptions &options, const SimulatedRequest &request)
{
    double factor = request.isEngineSlow ? 2.5 : 1.0;
    if (request.time > durationMillis / 2)
        factor *= options.loadFactor;
    if (request.isTarget && options.target.slowness)
        factor *= options.target.slowness(request.time, request.targetShare, request.route);
    return factor;
}

inline void recordAnswer(VersionCounts &counts, bool isFailure, double ms)
{
    counts.sent += 1.0;
    counts.answers += 1.0;
    if (isFailure) {
        counts.failures += 1.0;
        return;
    }
    counts.logTimeSum += std::log(ms);
    counts.logTimeSquareSum += std::log(ms) * std::log(ms);
}

/*!
    Returns the share that nodes know when it is \a current. It lags in both directions; a larger
    share would not be safe if it grew at once.
*/
inline int lagShare(std::deque<int> &shares, int current)
{
    shares.push_back(current);
    if (shares.size() <= lagMillis / tickMillis)
        return 0;
    const int share = shares.front();
    shares.pop_front();
    return share;
}

inline void applyChange(const RolloutChange &change, int time, wire::RolloutStep &step,
                        RunResult &result)
{
    step.state = static_cast<std::int32_t>(change.state);
    step.share = change.share;
    result.isCompleted = change.state == RolloutState::Completed;
    result.isRolledBack = change.state == RolloutState::RolledBack;
    result.endMillis = time;
}

inline RunResult runRollout(const RunOptions &options, unsigned seed)
{
    constexpr int routes = 3;
    constexpr int targetEngines = 6;
    constexpr int otherEngines = 6;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    std::normal_distribution<double> normal(0.0, 0.45);
    wire::RolloutStep step;
    step.serviceName = "s";
    step.target = "v2";
    RolloutDecision decision({.exposureShare = exposureShare, .exposureSlack = exposureSlack}, step,
                             Milliseconds(durationMillis), 1, 1);
    RolloutExposure exposure(uniform(random));
    RolloutEvidence evidence;
    std::deque<RolloutEvidence> reports;
    std::deque<int> shares;
    RunResult result;
    double total = 0.0;
    std::vector<bool> isSlow(targetEngines + otherEngines);
    for (int time = 0; time < durationMillis; time += tickMillis) {
        if (time % 600 == 0) {
            for (auto &&slow : isSlow)
                slow = uniform(random) < options.faultyEngines;
        }
        const int share = lagShare(shares, step.share);
        const int n = std::poisson_distribution<int>(options.requestsPerSecond * tickMillis
                                                     / 1000.0)(random);
        for (int i = 0; i < n; ++i) {
            const int route = static_cast<int>(random() % routes);
            const bool isTarget = exposure.choose("s", 1, share);
            total += 1.0;
            result.exposure += isTarget ? 1.0 : 0.0;
            const std::size_t engine = isTarget ? random() % targetEngines
                                                : targetEngines + random() % otherEngines;
            const SimulatedRequest request {.time = time,
                                            .targetShare = share / 1000.0,
                                            .route = route,
                                            .isTarget = isTarget,
                                            .isEngineSlow = isSlow[engine]};
            const double ms = 100.0 * (route + 1) * std::exp(normal(random))
                    * delayFactorOf(options, request);
            RouteEvidence &item = evidence["r" + std::to_string(route)];
            recordAnswer(isTarget ? item.target : item.others,
                         uniform(random) < failureShareOf(options, request), ms);
        }
        reports.push_back(evidence);
        if (reports.size() > lagMillis / tickMillis)
            reports.pop_front();
        if (result.isCompleted || result.isRolledBack)
            continue;
        decision.setStep(step, time + 1);
        const auto change = decision.update(
                {.evidence = reports.front(),
                 .hasTarget = time >= 1000,
                 .hasOthers = true,
                 .oldRequests = share >= RolloutBook::wholeShare ? 0 : 5},
                time + 1);
        if (change)
            applyChange(*change, time, step, result);
    }
    result.bound = exposureShare * total + exposureSlack;
    return result;
}

struct Summary
{
    int wrong = 0;
    double worstExposure = 0.0; //!< As a part of the bound.
    int overHalfBound = 0;
    int latestEnd = 0;
};

inline Summary runSeeds(const char *name, const RunOptions &options, bool isGood)
{
    const char *text = std::getenv("SESAMEPROXY_SEEDS");
    const int seeds = text ? std::atoi(text) : 100;
    Summary summary;
    for (int seed = 1; seed <= seeds; ++seed) {
        const RunResult result = runRollout(options, static_cast<unsigned>(seed));
        summary.wrong += (isGood ? result.isCompleted : result.isRolledBack) ? 0 : 1;
        summary.worstExposure = std::max(summary.worstExposure, result.exposure / result.bound);
        summary.overHalfBound += result.exposure > result.bound / 2.0 ? 1 : 0;
        summary.latestEnd = std::max(summary.latestEnd, result.endMillis);
    }
    printf("%-28s %5.0f/s wrong %d of %d, exposure at most %.2f of the bound (%d over half), end "
           "at "
           "most %d ms\n",
           name, options.requestsPerSecond, summary.wrong, seeds, summary.worstExposure,
           summary.overHalfBound, summary.latestEnd);
    return summary;
}

inline VersionBehaviour failing(double share)
{
    return {.failureShare = [share](int, double, int) {
        return share;
    }};
}

inline VersionBehaviour slow(double factor)
{
    return {.slowness = [factor](int, double, int) {
        return factor;
    }};
}

} // namespace sesame::test
