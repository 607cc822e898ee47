#pragma once

#include "simulation.h"

#include <functional>
#include <string>
#include <vector>

namespace bench {

struct Scenario
{
    std::string name;
    Conditions conditions;
};

/*!
    One metric measured with all rules and with only this rule disabled.
*/
struct RuleComparison
{
    std::string rule;
    std::string scenario;
    std::string metric;
    bool lowerIsBetter = true;
    double enabledValue = 0.0;
    double disabledValue = 0.0;
    bool hasGain() const;
};

struct CostResult
{
    double highestRulesLoad = 0.0; //!< Highest load at which all ranks meet their targets.
    double highestRoundRobinLoad = 0.0;
    double rulesPrice = 0.0; //!< Price per million tokens.
    double onDemandPrice = 0.0;
    double roundRobinPrice = 0.0;
};

/*!
    A required target. The limits are requirements and are not adapted to the results.
*/
struct Target
{
    std::string text;
    double limit = 0.0;
    double value = 0.0;
    bool atMost = true;
    bool isMet() const { return atMost ? value <= limit : value >= limit; }
};

struct DeploymentReport
{
    std::string name;
    std::vector<std::pair<std::string, Result>> rulesResults; //!< Results by scenario.
    std::vector<std::pair<std::string, Result>> roundRobinResults;
    std::vector<RuleComparison> comparisons;
    CostResult cost;
    std::vector<Target> targets;
};

double percentile95(std::vector<double> values);
const Result &findResult(const std::vector<std::pair<std::string, Result>> &results,
                         const std::string &scenario);

/*!
    Returns the tokens of \a rank that were completed during a flood relative to the usual ones.
*/
double relativeTokens(const Result &flood, const Result &normal, Rank rank);

/*!
    Runs each scenario of \a deployment with \a seeds seeds, on \a threads threads.
*/
DeploymentReport measureDeployment(const Deployment &deployment, int seeds, int threads);

} // namespace bench
