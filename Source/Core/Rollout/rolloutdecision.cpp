#include "Core/Rollout/rolloutdecision.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace sesame {

namespace {

//! Sum of log-likelihood ratios at which the target counts as bad: odds of about 1 : 10,000.
constexpr double badScore = 9.2;
//! Sum at which the share does not grow.
constexpr double suspiciousScore = 3.5;
//! Failures beyond those of the other versions that make a version bad.
constexpr double badFailureExcess = 0.2;
//! Logarithm of the factor by which a bad version is slower.
const double badSlowness = std::log(2.5);
//! Smallest variance of the logarithm of times. Speeds of single engines differ for reasons that
//! have nothing to do with the version, and answers of one engine depend on each other.
constexpr double minLogVariance = 0.35;
//! Largest difference of logarithms that one interval contributes.
constexpr double maxLogDifference = 1.5;
//! Largest number of answers of one interval that count as independent.
constexpr double maxIndependentAnswers = 8.0;
//! Time constants of the comparison with the other versions. The longer one gives steady values,
//! the shorter one follows a burst of failures or of load that hits all versions.
constexpr double recentMillis = 1500.0;
constexpr double currentMillis = 250.0;
//! Answers of the other versions below which nothing is known of the present moment.
constexpr double fewAnswers = 3.0;
//! Share of the target from which on the other versions have too few requests to show a burst.
constexpr int largeShare = 700;
//! Replaces badSlowness if nothing is known of the present moment, because load may have changed.
const double badSlownessAlone = std::log(6.0);
//! Prior of the other versions' failures: as many answers and failures.
constexpr double priorAnswers = 6.0;
constexpr double priorFailures = 0.12;
//! Answers of the other versions that a peak of their failures needs.
constexpr double peakAnswers = 6.0;
//! Fewest bad answers after which a version is rolled back.
constexpr double minBadAnswers = 4.0;
//! Answers of the target that each step needs while requests arrive.
constexpr double answersPerStep = 8.0;
//! The same for a step that has lasted for longPart of the duration, for services with few
//! requests.
constexpr double fewestAnswersPerStep = 2.0;
constexpr double longPart = 0.12;
//! Part of the exposure bound's share and slack that the small share uses.
constexpr double smallSharePart = 0.35;
constexpr double smallSlackPart = 0.25;
constexpr int maxSmallShare = 200;
//! Time for a step to reach all nodes, and for their reports to arrive.
constexpr std::int64_t spreadMillis = 800;

//! Answers of the target on each route that the first larger share needs, so that a version that is
//! bad on one route only is found. Routes with fewer requests than this part do not count.
constexpr double answersPerRoute = 4.0;
constexpr double minRoutePart = 0.05;

// Parts of the duration.
//! After this part, answers on each route are no longer waited for.
constexpr double eachRouteEnd = 0.42;
constexpr double canaryEnd = 0.12;
constexpr double smallShareEnd = 0.36;
constexpr double minStepPart = 0.04;
//! The old engines are given up when this part of the duration is left.
constexpr double lastPart = 0.05;

struct WideningStep
{
    double start; //!< Part of the duration after which the step is due.
    int share;
};

constexpr std::array<WideningStep, 4> wideningSteps {
        {{smallShareEnd, 150}, {0.40, 350}, {0.44, 700}, {0.48, RolloutBook::wholeShare}}};

std::string formatNumber(double number)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3g", number);
    return text.data();
}

double failureRate(const VersionCounts &counts)
{
    return counts.answers > 0.0 ? counts.failures / counts.answers : 0.0;
}

//! Returns the share of failures, which is small if little is known.
double estimateFailures(const VersionCounts &counts)
{
    return (counts.failures + priorFailures) / (counts.answers + priorAnswers);
}

//! Returns the number of answers with a time. Failures have none.
double timedAnswers(const VersionCounts &counts)
{
    return std::max(counts.answers - counts.failures, 0.0);
}

} // namespace

VersionCounts &VersionCounts::operator+=(const VersionCounts &other)
{
    sent += other.sent;
    answers += other.answers;
    failures += other.failures;
    logTimeSum += other.logTimeSum;
    logTimeSquareSum += other.logTimeSquareSum;
    return *this;
}

VersionCounts VersionCounts::growthSince(const VersionCounts &before) const
{
    // After a loss, the sums of times and the number of answers would not belong together.
    if (sent < before.sent || answers < before.answers || failures < before.failures)
        return {};
    return {.sent = sent - before.sent,
            .answers = answers - before.answers,
            .failures = failures - before.failures,
            .logTimeSum = logTimeSum - before.logTimeSum,
            .logTimeSquareSum = logTimeSquareSum - before.logTimeSquareSum};
}

RolloutDecision::RolloutDecision(const RolloutDecisionOptions &options,
                                 const wire::RolloutStep &step, Milliseconds duration,
                                 std::int64_t startMillis, std::int64_t nowMillis)
    : m_options(options), m_duration(duration), m_startMillis(startMillis),
      m_observedSince(nowMillis), m_nowMillis(nowMillis), m_stepMillis(nowMillis),
      m_state(stateOf(step)), m_share(step.share)
{
}

void RolloutDecision::setStep(const wire::RolloutStep &step, std::int64_t nowMillis)
{
    if (stateOf(step) == m_state && step.share == m_share)
        return;
    m_state = stateOf(step);
    m_share = step.share;
    m_stepMillis = nowMillis;
    m_targetAtStep = m_target.answers;
    m_sentAtStep = m_target.sent + m_others.sent;
    m_emptySince = 0;
}

std::optional<RolloutChange> RolloutDecision::update(const RolloutInputs &inputs,
                                                     std::int64_t nowMillis)
{
    m_intervalMillis = static_cast<double>(nowMillis - m_nowMillis);
    m_nowMillis = nowMillis;
    if (isFinal(m_state))
        return std::nullopt;
    RouteEvidence sum;
    for (const auto &[name, evidence] : inputs.evidence) {
        sum.target += evidence.target;
        sum.others += evidence.others;
        judge(m_routes[name], evidence, Tests::FailuresAndTimes);
    }
    m_target += sum.target.growthSince(m_allRoutes.last.target);
    m_others += sum.others.growthSince(m_allRoutes.last.others);
    judge(m_allRoutes, sum, Tests::Failures);
    for (const auto &[name, evidence] : inputs.evidence) {
        const Route &route = m_routes[name];
        if (std::max(route.failureScore, route.timeScore) < badScore)
            continue;
        m_badRoute = name;
        return RolloutChange {.state = RolloutState::RolledBack,
                              .share = 0,
                              .reason = route.failureScore >= badScore ? "failures" : "slower",
                              .isVerdict = true};
    }
    if (m_allRoutes.failureScore >= badScore)
        return RolloutChange {.state = RolloutState::RolledBack,
                              .share = 0,
                              .reason = "failures",
                              .isVerdict = true};
    const double elapsed = static_cast<double>(nowMillis - m_startMillis)
            / static_cast<double>(std::max<std::int64_t>(m_duration.count(), 1));
    if (m_state == RolloutState::Starting) {
        if (inputs.hasTarget && !inputs.hasOthers)
            return RolloutChange {.state = RolloutState::Widening,
                                  .share = RolloutBook::wholeShare,
                                  .reason = "no other version"};
        if (inputs.hasTarget)
            return RolloutChange {.state = RolloutState::Canary,
                                  .share = std::max(smallShare() / 2, 1),
                                  .reason = "target ready"};
        if (elapsed >= 1.0)
            return RolloutChange {.state = RolloutState::RolledBack,
                                  .share = 0,
                                  .reason = "no engine of the target"};
        return std::nullopt;
    }
    return widen(elapsed, inputs, nowMillis);
}

void RolloutDecision::judge(Route &route, const RouteEvidence &evidence, Tests tests)
{
    const VersionCounts target = evidence.target.growthSince(route.last.target);
    const VersionCounts others = evidence.others.growthSince(route.last.others);
    route.last = evidence;
    age(route.recent, std::exp(-m_intervalMillis / recentMillis));
    age(route.current, std::exp(-m_intervalMillis / currentMillis));
    route.recent += others;
    route.current += others;
    if (route.current.answers >= peakAnswers)
        route.peakFailures = std::max(route.peakFailures, failureRate(route.current));
    if (target.answers <= 0.0)
        return;
    judgeFailures(route, target);
    if (tests == Tests::FailuresAndTimes)
        judgeTimes(route, target);
}

void RolloutDecision::age(VersionCounts &counts, double weight)
{
    counts.sent *= weight;
    counts.answers *= weight;
    counts.failures *= weight;
    counts.logTimeSum *= weight;
    counts.logTimeSquareSum *= weight;
}

void RolloutDecision::judgeFailures(Route &route, const VersionCounts &target) const
{
    double usual = std::max(estimateFailures(route.recent), estimateFailures(route.current));
    // The other versions do not show what goes wrong at this moment.
    if (m_share >= largeShare || route.current.answers < fewAnswers)
        usual = std::max(usual, route.peakFailures);
    usual = std::min(usual, 0.9);
    const double bad = std::min(0.97, usual + badFailureExcess);
    const double successes = target.answers - target.failures;
    route.failureScore = std::max(0.0,
                                  route.failureScore + target.failures * std::log(bad / usual)
                                          + successes * std::log((1.0 - bad) / (1.0 - usual)));
    // A few failures in a row are no proof as long as little is known of the other versions.
    if (route.last.target.failures < minBadAnswers)
        route.failureScore = std::min(route.failureScore, badScore - 1.0);
}

void RolloutDecision::judgeTimes(Route &route, const VersionCounts &target) const
{
    const double answers = timedAnswers(target);
    const double usualAnswers = timedAnswers(route.recent);
    if (answers <= 0.0 || usualAnswers < fewAnswers)
        return;
    const double mean = route.recent.logTimeSum / usualAnswers;
    const double currentAnswers = timedAnswers(route.current);
    const bool knowsPresent = m_share < largeShare && currentAnswers >= fewAnswers;
    const double usual = knowsPresent ? std::max(mean, route.current.logTimeSum / currentAnswers)
                                      : mean;
    const double slowness = knowsPresent ? badSlowness : badSlownessAlone;
    const double variance = std::max(minLogVariance,
                                     route.recent.logTimeSquareSum / usualAnswers - mean * mean);
    const double difference = std::clamp(target.logTimeSum / answers - usual, -maxLogDifference,
                                         maxLogDifference);
    const double independent = std::min(answers, maxIndependentAnswers);
    route.timeScore = std::max(
            0.0,
            route.timeScore + independent * slowness / variance * (difference - slowness / 2.0));
    if (timedAnswers(route.last.target) < minBadAnswers)
        route.timeScore = std::min(route.timeScore, badScore - 1.0);
}

/*!
    Returns whether the target has answered requests on each route that has a part of the requests.
*/
bool RolloutDecision::hasEachRoute() const
{
    return std::all_of(m_routes.begin(), m_routes.end(), [this](const auto &item) {
        const RouteEvidence &evidence = item.second.last;
        return evidence.others.sent < minRoutePart * m_others.sent
                || evidence.target.answers >= answersPerRoute;
    });
}

/*!
    Returns the share with which the target may run until the share grows.
*/
int RolloutDecision::smallShare() const
{
    // Requests that the service gets in the first part, at the rate seen so far.
    const double seconds = std::max(1.0, static_cast<double>(m_nowMillis - m_observedSince) / 1e3);
    const double rate = (m_target.sent + m_others.sent) / seconds;
    const double expected = std::max(rate * static_cast<double>(m_duration.count()) / 1e3, 1.0);
    const double share = smallSharePart * m_options.exposureShare
            + smallSlackPart * m_options.exposureSlack / (expected * smallShareEnd);
    return std::clamp(static_cast<int>(share * RolloutBook::wholeShare), 1, maxSmallShare);
}

double RolloutDecision::stepAge(std::int64_t nowMillis) const
{
    return static_cast<double>(nowMillis - m_stepMillis)
            / static_cast<double>(std::max<std::int64_t>(m_duration.count(), 1));
}

std::optional<RolloutChange> RolloutDecision::widen(double elapsed, const RolloutInputs &inputs,
                                                    std::int64_t nowMillis)
{
    if (m_share >= RolloutBook::wholeShare) {
        if (inputs.oldRequests > 0)
            m_emptySince = 0;
        else if (m_emptySince == 0)
            m_emptySince = nowMillis;
        const bool isEmpty = m_emptySince != 0 && nowMillis - m_emptySince >= spreadMillis / 2;
        const bool isKnown = nowMillis - m_stepMillis >= spreadMillis;
        if (isKnown && (isEmpty || elapsed >= 1.0 - lastPart))
            return RolloutChange {.state = RolloutState::Completed,
                                  .share = RolloutBook::wholeShare,
                                  .reason = isEmpty ? "old engines empty" : "deadline"};
        return std::nullopt;
    }
    const bool isSuspicious = m_allRoutes.failureScore >= suspiciousScore
            || std::any_of(m_routes.begin(), m_routes.end(), [](const auto &item) {
                                  return std::max(item.second.failureScore, item.second.timeScore)
                                          >= suspiciousScore;
                              });
    const double answers = m_target.answers - m_targetAtStep;
    const double sent = m_target.sent + m_others.sent - m_sentAtStep;
    const bool hasRequests = sent > 0.0;
    // Without requests, there will be no evidence.
    const bool isProven = answers >= answersPerStep
            || (answers >= fewestAnswersPerStep && stepAge(nowMillis) >= longPart)
            || (!hasRequests && stepAge(nowMillis) >= 2.0 * minStepPart);
    if (isSuspicious || !isProven || !inputs.hasTarget
        || nowMillis - m_stepMillis < spreadMillis / 2 || stepAge(nowMillis) < minStepPart)
        return std::nullopt;
    if (m_state == RolloutState::Canary) {
        if (elapsed < canaryEnd)
            return std::nullopt;
        return RolloutChange {
                .state = RolloutState::Widening, .share = smallShare(), .reason = "evidence"};
    }
    if (elapsed < eachRouteEnd && !hasEachRoute())
        return std::nullopt;
    for (const WideningStep &step : wideningSteps) {
        if (step.share <= m_share)
            continue;
        if (elapsed < step.start)
            return std::nullopt;
        return RolloutChange {
                .state = RolloutState::Widening, .share = step.share, .reason = "evidence"};
    }
    return std::nullopt;
}

std::string RolloutDecision::describe() const
{
    std::string text = "target " + formatNumber(m_target.answers) + " answers, "
            + formatNumber(failureRate(m_target)) + " failed; others "
            + formatNumber(m_others.answers) + ", " + formatNumber(failureRate(m_others));
    text += "; all routes: failures " + formatNumber(m_allRoutes.failureScore);
    for (const auto &[name, route] : m_routes) {
        if (name == m_badRoute || std::max(route.failureScore, route.timeScore) >= 1.0)
            text += "; " + name + ": failures " + formatNumber(route.failureScore) + ", times "
                    + formatNumber(route.timeScore);
    }
    return text;
}

} // namespace sesame
