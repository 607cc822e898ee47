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

constexpr double gainThreshold = 0.05; // Smaller differences are within the noise of the seeds.

void runAll(const std::vector<Task> &tasks, int threads)
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
    Adds the result of another seed.
*/
void merge(Result &sum, const Result &other)
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
        sum.floodCost[r] += other.floodCost[r];
    }
    sum.prefilled += other.prefilled;
    sum.repeated += other.repeated;
    sum.moveRecomputed += other.moveRecomputed;
    sum.reclaimPrefilled += other.reclaimPrefilled;
    sum.bothLost += other.bothLost;
    sum.enginesCrashed = std::max(sum.enginesCrashed, other.enginesCrashed);
    sum.innocentRefused += other.innocentRefused;
    sum.attempts += other.attempts;
    sum.startsTried += other.startsTried;
    sum.recoverySeconds = std::max(sum.recoverySeconds, other.recoverySeconds);
}

Rules roundRobinRules()
{
    Rules rules;
    rules.ranks = rules.floors = rules.fairShares = rules.earlyRefusal = rules.headroom = false;
    rules.accountHeadroom = rules.spread = rules.prefixHints = rules.zoneRule = false;
    rules.priceAndRisk = false;
    rules.roundRobin = true;
    return rules;
}

Conditions degraded(Conditions conditions)
{
    conditions.zoneReclaimed = true;
    conditions.reportLag = 2s;
    conditions.eventsLost = 0.1;
    conditions.startsRefused = 0.7;
    return conditions;
}

std::vector<Scenario> scenarios()
{
    const Conditions normal;
    Conditions alone;
    alone.ranks = {true, false, false};
    Conditions batchFlood;
    batchFlood.floodRank = Rank::Batch;
    batchFlood.floodFactor = 10.0;
    Conditions urgentFlood;
    urgentFlood.floodRank = Rank::Urgent;
    urgentFlood.floodFactor = 5.0;
    Conditions withoutLarge;
    withoutLarge.largeFactor = 0.0;
    Conditions large;
    large.largeFactor = 4.0;
    Conditions reclaim;
    reclaim.zoneReclaimed = true;
    std::vector<Scenario> list {{"urgent alone", alone},      {"normal", normal},
                                {"batch flood", batchFlood},  {"urgent flood", urgentFlood},
                                {"small only", withoutLarge}, {"large callers", large},
                                {"zone reclaim", reclaim}};
    for (const std::size_t i : {1U, 2U, 3U, 5U})
        list.push_back({list[i].name + " +faults", degraded(list[i].conditions)});
    Conditions crash;
    crash.crashingRequest = true;
    Conditions hasty = crash;
    hasty.crasherInterval = 300ms;
    Conditions failing;
    failing.attemptsFailing = 0.9;
    list.push_back({"crashing request", crash});
    list.push_back({"crashing, resent at once", hasty});
    list.push_back({"attempts failing", failing});
    return list;
}

double p95(const Result &result, Rank rank)
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
    std::string figure;
    bool lowerIsBetter = true;
    std::function<double(const Result &result, const Result &normal)> value;
};

double urgentP95(const Result &result, const Result &)
{
    return p95(result, Rank::Urgent);
}

double smallP95(const Result &result, const Result &)
{
    return percentile95(result.ranks[1].smallFirstTokenMs);
}

std::vector<RuleCase> ruleCases()
{
    const auto batchKept = [](const Result &flood, const Result &normal) {
        return keptShare(flood, normal, Rank::Batch);
    };
    const auto standardP95 = [](const Result &result, const Result &) {
        return p95(result, Rank::Standard);
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
        return result.prefilled;
    };
    const auto both = [](const Result &result, const Result &) {
        return static_cast<double>(result.bothLost);
    };
    const auto crashed = [](const Result &result, const Result &) {
        return static_cast<double>(result.enginesCrashed);
    };
    const auto innocent = [](const Result &result, const Result &) {
        return static_cast<double>(result.innocentRefused);
    };
    const auto starts = [](const Result &result, const Result &) {
        return static_cast<double>(result.startsTried);
    };
    const auto recovery = [](const Result &result, const Result &) {
        return result.recoverySeconds;
    };
    const auto moved = [](const Result &result, const Result &) {
        return result.moveRecomputed;
    };
    return {{"urgent first", &Rules::ranks, "batch flood", "urgent p95 ms", true, urgentP95},
            {"floors", &Rules::floors, "urgent flood", "batch kept", false, batchKept},
            {"fair shares", &Rules::fairShares, "large callers", "small p95 ms", true, smallP95},
            {"account headroom", &Rules::accountHeadroom, "large callers", "small p95 ms", true,
             smallP95},
            {"early refusal", &Rules::earlyRefusal, "urgent flood", "urgent p95 ms", true,
             urgentP95},
            {"rank headroom", &Rules::headroom, "batch flood", "urgent p95 ms", true, urgentP95},
            {"rank headroom", &Rules::headroom, "batch flood", "standard p95 ms", true,
             standardP95},
            {"prefix hints", &Rules::prefixHints, "normal", "tokens prefilled", true, prefilled},
            {"prefix hints", &Rules::prefixHints, "normal", "urgent p95 ms", true, urgentP95},
            {"spread over equals", &Rules::spread, "normal", "urgent p95 ms", true, urgentP95},
            {"spread over equals", &Rules::spread, "normal", "standard p95 ms", true, standardP95},
            {"zone rule", &Rules::zoneRule, "zone reclaim", "node and engine lost", true, both},
            {"price and risk", &Rules::priceAndRisk, "normal", "urgent p95 ms", true, urgentP95},
            {"price and risk", &Rules::priceAndRisk, "zone reclaim", "tokens recomputed", true,
             moved},
            {"shared suspects", &Rules::sharedSuspects, "crashing request", "engines lost", true,
             crashed},
            {"shared suspects", &Rules::sharedSuspects, "crashing request", "innocent refused",
             true, innocent},
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
    Returns the highest load at which \a rules meet all targets, and the tokens per second
    that one engine then serves.
*/
std::pair<double, double> highestLoad(const Deployment &deployment, const Rules &rules)
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
    Returns the price per million tokens of the mix that CapacityPlanner chooses when one
    engine serves \a perEngine tokens per second.
*/
double pricePerMillion(const Deployment &deployment, double perEngine, double demand,
                       bool onDemandOnly)
{
    // 46% of the instances are reclaimable: at most 9 of 20, spread over the zones.
    constexpr std::array<std::uint32_t, zoneCount> quota {3, 2, 2, 2};
    std::vector<CapacityOption> options;
    for (std::size_t z = 0; z < zoneCount; ++z) {
        const ZonePrices &zone = deployment.zones[z];
        CapacityOption option {.zone = zone.name, .backendClass = "engine"};
        option.capacity = perEngine;
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

void measureCost(const Deployment &deployment, CostFigures &cost, double rulesTokens,
                 double roundRobinTokens)
{
    const double demand = rulesTokens * engineCount;
    cost.rulesPrice = pricePerMillion(deployment, rulesTokens, demand, false);
    cost.onDemandPrice = pricePerMillion(deployment, rulesTokens, demand, true);
    cost.roundRobinPrice = pricePerMillion(deployment, roundRobinTokens, demand, false);
}

/*!
    Returns how far \a rank is above its floor in \a flood: its part of the work dispatched
    relative to the floor, and at least 1 if it asked for less than its floor and got it.
*/
double floorKept(const Result &flood, Rank rank, double floor)
{
    double total = 0.0;
    for (const double cost : flood.floodCost)
        total += cost;
    const auto r = static_cast<std::size_t>(rank);
    const double kept = flood.floodCost[r] / total / floor;
    const auto offered = static_cast<double>(flood.ranks[r].offered);
    const bool allServed = static_cast<double>(flood.ranks[r].completed) >= 0.99 * offered;
    return allServed ? std::max(1.0, kept) : kept;
}

void addTargets(DeploymentReport &report)
{
    const auto &rules = report.rules;
    const Result &normal = resultOf(rules, "normal");
    const Result &batchFlood = resultOf(rules, "batch flood");
    const Result &urgentFlood = resultOf(rules, "urgent flood");
    const double kept = std::min({floorKept(batchFlood, Rank::Standard, 0.2),
                                  floorKept(urgentFlood, Rank::Standard, 0.2),
                                  floorKept(urgentFlood, Rank::Batch, 0.1)});
    const Result &reclaim = resultOf(rules, "zone reclaim");
    const CostFigures &cost = report.cost;
    const Result &crash = resultOf(rules, "crashing request");
    report.targets = {
            {"urgent p95 in a batch flood / urgent alone", 1.10,
             p95(batchFlood, Rank::Urgent) / p95(resultOf(rules, "urgent alone"), Rank::Urgent)},
            {"lowest share of a rank in a flood / its floor", 1.0, kept, false},
            {"small callers' p95 beside large ones / without them", 1.2,
             smallP95(resultOf(rules, "large callers"), normal)
                     / smallP95(resultOf(rules, "small only"), normal)},
            {"prefill tokens recomputed in a zone's reclaim", 0.05,
             reclaim.moveRecomputed / reclaim.reclaimPrefilled},
            {"cost / on-demand only", 0.75, cost.rulesPrice / cost.onDemandPrice},
            {"cost / round robin", 1.0, cost.rulesPrice / cost.roundRobinPrice},
            {"engines lost to one crashing request", 2.0,
             static_cast<double>(crash.enginesCrashed)},
            {"innocent requests refused beside it", 0.0,
             static_cast<double>(crash.innocentRefused)}};
}

} // namespace

bool RuleFigure::hasGain() const
{
    const double better = lowerIsBetter ? off - on : on - off;
    return better > gainThreshold * std::max(std::abs(on), std::abs(off));
}

double percentile95(std::vector<double> values)
{
    if (values.empty())
        return 0.0;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

const Result &resultOf(const std::vector<std::pair<std::string, Result>> &results,
                       const std::string &scenario)
{
    for (const auto &[name, result] : results) {
        if (name == scenario)
            return result;
    }
    throw std::out_of_range("no scenario " + scenario);
}

double keptShare(const Result &flood, const Result &normal, Rank rank)
{
    const auto r = static_cast<std::size_t>(rank);
    return flood.ranks[r].floodTokens / normal.ranks[r].floodTokens;
}

DeploymentReport measure(const Deployment &deployment, int seeds, int threads)
{
    DeploymentReport report;
    report.name = deployment.name;
    const auto list = scenarios();
    const auto cases = ruleCases();
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
        rulesLoad = highestLoad(deployment, Rules {});
    });
    tasks.emplace_back([&] {
        roundRobinLoad = highestLoad(deployment, roundRobinRules());
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
    runAll(tasks, threads);
    const auto merged = [](const std::vector<Result> &results) {
        Result sum = results.front();
        for (std::size_t i = 1; i < results.size(); ++i)
            merge(sum, results[i]);
        return sum;
    };
    for (std::size_t i = 0; i < list.size(); ++i) {
        report.rules.emplace_back(list[i].name, merged(rules[i]));
        report.roundRobin.emplace_back(list[i].name, merged(roundRobin[i]));
    }
    const Result &normal = resultOf(report.rules, "normal");
    for (std::size_t i = 0; i < cases.size(); ++i) {
        const RuleCase &rule = cases[i];
        report.figures.push_back({rule.rule, rule.scenario, rule.figure, rule.lowerIsBetter,
                                  rule.value(resultOf(report.rules, rule.scenario), normal),
                                  rule.value(merged(off[i]), normal)});
    }
    report.cost.rulesLoad = rulesLoad.first;
    report.cost.roundRobinLoad = roundRobinLoad.first;
    measureCost(deployment, report.cost, rulesLoad.second, roundRobinLoad.second);
    addTargets(report);
    return report;
}

} // namespace bench
