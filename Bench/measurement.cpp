#include "measurement.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <stdexcept>
#include <thread>

namespace bench {

using namespace sesame;
using namespace std::chrono_literals;

namespace {

using Task = std::function<void()>;

constexpr double gainThreshold = 0.05; // Smaller differences can result from the choice of seeds.

void runTasks(const std::vector<Task> &tasks, int threads)
{
    std::atomic<std::size_t> next {0};
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::size_t n = next++; n < tasks.size(); n = next++)
                tasks[n]();
        });
    }
    for (std::thread &worker : workers)
        worker.join();
}

void append(std::vector<double> &to, const std::vector<double> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

/*!
    Adds the result of a run with another seed to \a sum.
*/
void addResult(Result &sum, const Result &other)
{
    for (std::size_t r = 0; r < rankCount; ++r) {
        RankResult &rank = sum.ranks[r];
        rank.offered += other.ranks[r].offered;
        rank.completed += other.ranks[r].completed;
        rank.refused += other.ranks[r].refused;
        rank.tokens += other.ranks[r].tokens;
        rank.floodTokens += other.ranks[r].floodTokens;
        append(rank.firstTokenMs, other.ranks[r].firstTokenMs);
        append(rank.gapMs, other.ranks[r].gapMs);
        append(rank.smallFirstTokenMs, other.ranks[r].smallFirstTokenMs);
        sum.floodEngineSeconds[r] += other.floodEngineSeconds[r];
    }
    sum.prefilledTokens += other.prefilledTokens;
    sum.repeatedTokens += other.repeatedTokens;
    sum.recomputedTokens += other.recomputedTokens;
    sum.prefilledAfterReclaim += other.prefilledAfterReclaim;
    sum.nodeAndEngineLost += other.nodeAndEngineLost;
    sum.enginesCrashed = std::max(sum.enginesCrashed, other.enginesCrashed);
    sum.innocentRefused += other.innocentRefused;
    sum.attempts += other.attempts;
    sum.startsAttempted += other.startsAttempted;
    sum.recoverySeconds = std::max(sum.recoverySeconds, other.recoverySeconds);
}

Rules roundRobinRules()
{
    Rules rules;
    rules.ranks = rules.floors = rules.fairShares = rules.earlyRefusal = rules.rankHeadroom = false;
    rules.accountHeadroom = rules.spreadOverEquals = rules.prefixHints = rules.zoneRule = false;
    rules.priceAndRisk = false;
    rules.roundRobin = true;
    return rules;
}

Conditions addFaults(Conditions conditions)
{
    conditions.reclaimsZone = true;
    conditions.reportLag = 2s;
    conditions.eventLossRate = 0.1;
    conditions.startRefusalRate = 0.7;
    return conditions;
}

std::vector<Scenario> makeScenarios()
{
    const Conditions normal;
    Conditions urgentOnly;
    urgentOnly.ranks = {true, false, false};
    Conditions batchFlood;
    batchFlood.floodRank = Rank::Batch;
    batchFlood.floodFactor = 10.0;
    Conditions urgentFlood;
    urgentFlood.floodRank = Rank::Urgent;
    urgentFlood.floodFactor = 5.0;
    Conditions smallAccountsOnly;
    smallAccountsOnly.largeAccountFactor = 0.0;
    Conditions largeAccounts;
    largeAccounts.largeAccountFactor = 4.0;
    Conditions reclaim;
    reclaim.reclaimsZone = true;
    std::vector<Scenario> list {{"urgent alone", urgentOnly},      {"normal", normal},
                                {"batch flood", batchFlood},       {"urgent flood", urgentFlood},
                                {"small only", smallAccountsOnly}, {"large callers", largeAccounts},
                                {"zone reclaim", reclaim}};
    for (const std::size_t i : {1U, 2U, 3U, 5U})
        list.push_back({list[i].name + " +faults", addFaults(list[i].conditions)});
    Conditions crash;
    crash.sendsCrashingRequest = true;
    Conditions fastResend = crash;
    fastResend.crashingRequestInterval = 300ms;
    Conditions failing;
    failing.attemptFailureRate = 0.9;
    list.push_back({"crashing request", crash});
    list.push_back({"crashing, resent at once", fastResend});
    list.push_back({"attempts failing", failing});
    return list;
}

double firstTokenP95(const Result &result, Rank rank)
{
    return percentile95(result.ranks[static_cast<std::size_t>(rank)].firstTokenMs);
}

double completedShare(const Result &result)
{
    double offered = 0.0;
    double completed = 0.0;
    for (const RankResult &rank : result.ranks) {
        offered += static_cast<double>(rank.offered);
        completed += static_cast<double>(rank.completed);
    }
    return completed / offered;
}

struct RuleCase
{
    std::string rule;
    bool Rules::*flag;
    std::string scenario;
    std::string metric;
    bool lowerIsBetter = true;
    std::function<double(const Result &result, const Result &normal)> value;
};

double urgentP95Ms(const Result &result, const Result &)
{
    return firstTokenP95(result, Rank::Urgent);
}

double smallP95Ms(const Result &result, const Result &)
{
    return percentile95(result.ranks[1].smallFirstTokenMs);
}

std::vector<RuleCase> makeRuleCases()
{
    const auto batchKept = [](const Result &flood, const Result &normal) {
        return relativeTokens(flood, normal, Rank::Batch);
    };
    const auto standardP95 = [](const Result &result, const Result &) {
        return firstTokenP95(result, Rank::Standard);
    };
    const auto attempts = [](const Result &result, const Result &) {
        double offered = 0.0;
        for (const RankResult &rank : result.ranks)
            offered += static_cast<double>(rank.offered);
        return static_cast<double>(result.attempts) / offered;
    };
    const auto completed = [](const Result &result, const Result &) {
        return completedShare(result);
    };
    const auto prefilled = [](const Result &result, const Result &) {
        return result.prefilledTokens;
    };
    const auto pairLost = [](const Result &result, const Result &) {
        return static_cast<double>(result.nodeAndEngineLost);
    };
    const auto crashed = [](const Result &result, const Result &) {
        return static_cast<double>(result.enginesCrashed);
    };
    const auto innocentRefused = [](const Result &result, const Result &) {
        return static_cast<double>(result.innocentRefused);
    };
    const auto starts = [](const Result &result, const Result &) {
        return static_cast<double>(result.startsAttempted);
    };
    const auto recovery = [](const Result &result, const Result &) {
        return result.recoverySeconds;
    };
    const auto recomputed = [](const Result &result, const Result &) {
        return result.recomputedTokens;
    };
    return {{"urgent first", &Rules::ranks, "batch flood", "urgent p95 ms", true, urgentP95Ms},
            {"floors", &Rules::floors, "urgent flood", "batch kept", false, batchKept},
            {"fair shares", &Rules::fairShares, "large callers", "small p95 ms", true, smallP95Ms},
            {"account headroom", &Rules::accountHeadroom, "large callers", "small p95 ms", true,
             smallP95Ms},
            {"early refusal", &Rules::earlyRefusal, "urgent flood", "urgent p95 ms", true,
             urgentP95Ms},
            {"rank headroom", &Rules::rankHeadroom, "batch flood", "urgent p95 ms", true,
             urgentP95Ms},
            {"rank headroom", &Rules::rankHeadroom, "batch flood", "standard p95 ms", true,
             standardP95},
            {"prefix hints", &Rules::prefixHints, "normal", "tokens prefilled", true, prefilled},
            {"prefix hints", &Rules::prefixHints, "normal", "urgent p95 ms", true, urgentP95Ms},
            {"spread over equals", &Rules::spreadOverEquals, "normal", "urgent p95 ms", true,
             urgentP95Ms},
            {"spread over equals", &Rules::spreadOverEquals, "normal", "standard p95 ms", true,
             standardP95},
            {"zone rule", &Rules::zoneRule, "zone reclaim", "node and engine lost", true, pairLost},
            {"price and risk", &Rules::priceAndRisk, "normal", "urgent p95 ms", true, urgentP95Ms},
            {"price and risk", &Rules::priceAndRisk, "zone reclaim", "tokens recomputed", true,
             recomputed},
            {"shared suspects", &Rules::sharedSuspects, "crashing request", "engines lost", true,
             crashed},
            {"shared suspects", &Rules::sharedSuspects, "crashing request", "innocent refused",
             true, innocentRefused},
            {"retry budget", &Rules::retryBudget, "attempts failing", "attempts per request", true,
             attempts},
            {"retry budget", &Rules::retryBudget, "attempts failing", "share completed", false,
             completed},
            {"start backoff", &Rules::refusalBackoff, "normal +faults", "starts tried", true,
             starts},
            {"start backoff", &Rules::refusalBackoff, "normal +faults", "seconds to recover", true,
             recovery}};
}

bool meetsTargets(const Result &result)
{
    constexpr std::array<double, rankCount> firstTokenTargetMs {1200.0, 2500.0, 20000.0};
    constexpr double gapTargetMs = 57.0;
    for (std::size_t r = 0; r < rankCount; ++r) {
        const RankResult &rank = result.ranks[r];
        const bool met = percentile95(rank.firstTokenMs) <= firstTokenTargetMs[r]
                && percentile95(rank.gapMs) <= gapTargetMs
                && static_cast<double>(rank.completed) >= 0.99 * static_cast<double>(rank.offered);
        if (!met)
            return false;
    }
    return true;
}

/*!
    Returns the highest load at which \a rules meet all targets, and the tokens per second that
    one engine serves at this load.
*/
std::pair<double, double> findHighestLoad(const Deployment &deployment, const Rules &rules)
{
    double low = 0.2;
    double high = 2.2;
    double tokens = 0.0;
    for (int i = 0; i < 7; ++i) {
        Conditions conditions;
        conditions.load = (low + high) / 2.0;
        const Result result = Simulation(deployment, rules, conditions).run();
        if (!meetsTargets(result)) {
            high = conditions.load;
            continue;
        }
        low = conditions.load;
        tokens = 0.0;
        for (const RankResult &rank : result.ranks)
            tokens += rank.tokens;
        tokens /= conditions.seconds * engineCount;
    }
    return {low, tokens};
}

/*!
    Returns the price per million tokens of the instances that CapacityPlanner chooses if one
    engine serves \a tokensPerEngine tokens per second.
*/
double pricePerMillionTokens(const Deployment &deployment, double tokensPerEngine, double demand,
                             bool onDemandOnly)
{
    // 46% of the instances are reclaimable: at most 9 of 20, distributed over the zones.
    constexpr std::array<std::uint32_t, zoneCount> quota {3, 2, 2, 2};
    std::vector<CapacityOption> options;
    for (std::size_t z = 0; z < zoneCount; ++z) {
        const ZonePrices &zone = deployment.zones[z];
        CapacityOption option {.zone = zone.name, .backendClass = "engine"};
        option.capacity = tokensPerEngine;
        option.pricePerHour = zone.onDemand;
        options.push_back(option);
        option.market = Market::Reclaimable;
        option.pricePerHour = zone.reclaimable;
        option.reclaimsPerHour = zone.reclaimsPerHour;
        option.maxInstances = quota[z];
        if (!onDemandOnly)
            options.push_back(option);
    }
    CapacityPlanner planner;
    planner.raiseCapacityLimit(10 * engineCount);
    const CapacityPlan plan = planner.plan({.urgent = 0.4 * demand, .total = demand}, options,
                                           Timestamp {});
    return plan.pricePerHour / (demand * 3600.0 / 1e6);
}

void computeCost(const Deployment &deployment, CostResult &cost, double rulesTokens,
                 double roundRobinTokens)
{
    const double demand = rulesTokens * engineCount;
    cost.rulesPrice = pricePerMillionTokens(deployment, rulesTokens, demand, false);
    cost.onDemandPrice = pricePerMillionTokens(deployment, rulesTokens, demand, true);
    cost.roundRobinPrice = pricePerMillionTokens(deployment, roundRobinTokens, demand, false);
}

/*!
    Returns the share of the dispatched work that \a rank had in \a flood, relative to \a floor.
    Returns at least 1 if the rank requested less than its floor and all of it was served.
*/
double shareOfFloor(const Result &flood, Rank rank, double floor)
{
    double total = 0.0;
    for (const double cost : flood.floodEngineSeconds)
        total += cost;
    const auto r = static_cast<std::size_t>(rank);
    const double kept = flood.floodEngineSeconds[r] / total / floor;
    const auto offered = static_cast<double>(flood.ranks[r].offered);
    const bool allServed = static_cast<double>(flood.ranks[r].completed) >= 0.99 * offered;
    return allServed ? std::max(1.0, kept) : kept;
}

void addTargets(DeploymentReport &report)
{
    const auto &rules = report.rulesResults;
    const Result &normal = findResult(rules, "normal");
    const Result &batchFlood = findResult(rules, "batch flood");
    const Result &urgentFlood = findResult(rules, "urgent flood");
    const double kept = std::min({shareOfFloor(batchFlood, Rank::Standard, 0.2),
                                  shareOfFloor(urgentFlood, Rank::Standard, 0.2),
                                  shareOfFloor(urgentFlood, Rank::Batch, 0.1)});
    const Result &reclaim = findResult(rules, "zone reclaim");
    const CostResult &cost = report.cost;
    const Result &crash = findResult(rules, "crashing request");
    report.targets = {{"urgent p95 in a batch flood / urgent alone", 1.10,
                       firstTokenP95(batchFlood, Rank::Urgent)
                               / firstTokenP95(findResult(rules, "urgent alone"), Rank::Urgent)},
                      {"lowest share of a rank in a flood / its floor", 1.0, kept, false},
                      {"small callers' p95 beside large ones / without them", 1.2,
                       smallP95Ms(findResult(rules, "large callers"), normal)
                               / smallP95Ms(findResult(rules, "small only"), normal)},
                      {"prefill tokens recomputed in a zone's reclaim", 0.05,
                       reclaim.recomputedTokens / reclaim.prefilledAfterReclaim},
                      {"cost / on-demand only", 0.75, cost.rulesPrice / cost.onDemandPrice},
                      {"cost / round robin", 1.0, cost.rulesPrice / cost.roundRobinPrice},
                      {"engines lost to one crashing request", 2.0,
                       static_cast<double>(crash.enginesCrashed)},
                      {"innocent requests refused beside it", 0.0,
                       static_cast<double>(crash.innocentRefused)}};
}

} // namespace

bool RuleComparison::hasGain() const
{
    const double better = lowerIsBetter ? disabledValue - enabledValue
                                        : enabledValue - disabledValue;
    return better > gainThreshold * std::max(std::abs(enabledValue), std::abs(disabledValue));
}

double percentile95(std::vector<double> values)
{
    if (values.empty())
        return 0.0;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

const Result &findResult(const std::vector<std::pair<std::string, Result>> &results,
                         const std::string &scenario)
{
    for (const auto &[name, result] : results) {
        if (name == scenario)
            return result;
    }
    throw std::out_of_range("no scenario " + scenario);
}

double relativeTokens(const Result &flood, const Result &normal, Rank rank)
{
    const auto r = static_cast<std::size_t>(rank);
    return flood.ranks[r].floodTokens / normal.ranks[r].floodTokens;
}

DeploymentReport measureDeployment(const Deployment &deployment, int seeds, int threads)
{
    DeploymentReport report;
    report.name = deployment.name;
    const auto list = makeScenarios();
    const auto cases = makeRuleCases();
    const auto n = static_cast<std::size_t>(seeds);
    std::vector<std::vector<Result>> rules(list.size(), std::vector<Result>(n));
    std::vector<std::vector<Result>> roundRobin(list.size(), std::vector<Result>(n));
    std::vector<std::vector<Result>> off(cases.size(), std::vector<Result>(n));
    std::vector<Task> tasks;
    const auto add = [&](Result &to, const Rules &with, Conditions conditions, std::size_t seed) {
        conditions.seed = seed + 1;
        tasks.emplace_back([&, with, conditions] {
            to = Simulation(deployment, with, conditions).run();
        });
    };
    std::pair<double, double> rulesLoad;
    std::pair<double, double> roundRobinLoad;
    tasks.emplace_back([&] {
        rulesLoad = findHighestLoad(deployment, Rules {});
    });
    tasks.emplace_back([&] {
        roundRobinLoad = findHighestLoad(deployment, roundRobinRules());
    });
    for (std::size_t seed = 0; seed < n; ++seed) {
        for (std::size_t i = 0; i < list.size(); ++i) {
            add(rules[i][seed], Rules {}, list[i].conditions, seed);
            add(roundRobin[i][seed], roundRobinRules(), list[i].conditions, seed);
        }
        for (std::size_t i = 0; i < cases.size(); ++i) {
            const auto scenario = std::find_if(list.begin(), list.end(), [&](const Scenario &s) {
                return s.name == cases[i].scenario;
            });
            Rules without;
            without.*cases[i].flag = false;
            add(off[i][seed], without, scenario->conditions, seed);
        }
    }
    runTasks(tasks, threads);
    const auto merged = [](const std::vector<Result> &results) {
        Result sum = results.front();
        for (std::size_t i = 1; i < results.size(); ++i)
            addResult(sum, results[i]);
        return sum;
    };
    for (std::size_t i = 0; i < list.size(); ++i) {
        report.rulesResults.emplace_back(list[i].name, merged(rules[i]));
        report.roundRobinResults.emplace_back(list[i].name, merged(roundRobin[i]));
    }
    const Result &normal = findResult(report.rulesResults, "normal");
    for (std::size_t i = 0; i < cases.size(); ++i) {
        const RuleCase &rule = cases[i];
        report.comparisons.push_back(
                {rule.rule, rule.scenario, rule.metric, rule.lowerIsBetter,
                 rule.value(findResult(report.rulesResults, rule.scenario), normal),
                 rule.value(merged(off[i]), normal)});
    }
    report.cost.highestRulesLoad = rulesLoad.first;
    report.cost.highestRoundRobinLoad = roundRobinLoad.first;
    computeCost(deployment, report.cost, rulesLoad.second, roundRobinLoad.second);
    addTargets(report);
    return report;
}

} // namespace bench
