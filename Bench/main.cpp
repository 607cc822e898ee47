#include "measurement.h"

#include "Adapter/json.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>

ABSL_FLAG(bool, json, false, "Print one JSON document instead of tables.");
ABSL_FLAG(int, seeds, 3, "Runs per scenario, with the fixed seeds 1 to N.");
ABSL_FLAG(int, threads, 4, "Threads that run scenarios.");

namespace {

using namespace bench;

constexpr std::array<const char *, sesame::rankCount> rankNames {"urgent", "standard", "batch"};

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
}

void printScenario(const char *policy, const std::string &name, const Result &result,
                   const Result &normal)
{
    std::printf("%-25s %-11s", name.c_str(), policy);
    for (std::size_t r = 0; r < sesame::rankCount; ++r) {
        const RankResult &rank = result.ranks[r];
        if (rank.offered == 0) {
            std::printf(" | %22s", "-");
            continue;
        }
        std::printf(" | %6.0f %4.0f %4.0f%% %4.0f%%", percentile95(rank.firstTokenMs),
                    percentile95(rank.gapMs), 100.0 * share(rank.completed, rank.offered),
                    100.0 * relativeTokens(result, normal, static_cast<Rank>(r)));
    }
    std::printf(" | %5.1f %4.0f%%\n", result.prefilledTokens / 1e6,
                100.0 * result.repeatedTokens / result.prefilledTokens);
}

void printText(const DeploymentReport &report)
{
    std::printf("\n%s\n", report.name.c_str());
    std::printf("For each rank: p95 first token ms, p95 token gap ms, share completed, tokens "
                "kept in the window\nof the floods. Last: million tokens prefilled, share of them "
                "computed before.\n");
    for (std::size_t i = 0; i < report.rulesResults.size(); ++i) {
        const std::string &name = report.rulesResults[i].first;
        printScenario("rules", name, report.rulesResults[i].second,
                      findResult(report.rulesResults, "normal"));
        printScenario("round robin", name, report.roundRobinResults[i].second,
                      findResult(report.roundRobinResults, "normal"));
    }
    std::printf("\n%-20s %-18s %-22s %12s %12s\n", "rule", "scenario", "figure", "on", "off");
    for (const RuleComparison &figure : report.comparisons) {
        std::printf("%-20s %-18s %-22s %12.2f %12.2f %s\n", figure.rule.c_str(),
                    figure.scenario.c_str(), figure.metric.c_str(), figure.enabledValue,
                    figure.disabledValue, figure.hasGain() ? "" : "no gain");
    }
    const CostResult &cost = report.cost;
    std::printf("\ncost per million tokens: %.3f; on-demand only %.3f; round robin %.3f\n",
                cost.rulesPrice, cost.onDemandPrice, cost.roundRobinPrice);
    std::printf("highest load at the latency target: %.2f; round robin %.2f\n\n",
                cost.highestRulesLoad, cost.highestRoundRobinLoad);
    for (const Target &target : report.targets) {
        std::printf("%-54s %s %5.2f  measured %6.3f  %s\n", target.text.c_str(),
                    target.atMost ? "<=" : ">=", target.limit, target.value,
                    target.isMet() ? "met" : "MISSED");
    }
    const Result &fastResend = findResult(report.rulesResults, "crashing, resent at once");
    std::printf("Limit: a crashing request sent again every 300 ms, before rumours can arrive, "
                "costs %zu engines\nand %zu innocent requests are refused.\n",
                fastResend.enginesCrashed, fastResend.innocentRefused);
}

json_t *toJson(const std::vector<std::pair<std::string, Result>> &results)
{
    json_t *object = json_object();
    for (const auto &[name, result] : results) {
        json_t *scenario = json_object();
        for (std::size_t r = 0; r < sesame::rankCount; ++r) {
            const RankResult &rank = result.ranks[r];
            json_object_set_new(scenario, rankNames[r],
                                json_pack("{s:f,s:f,s:f,s:f,s:f}", "p95_first_token_ms",
                                          percentile95(rank.firstTokenMs), "p95_gap_ms",
                                          percentile95(rank.gapMs), "share_completed",
                                          share(rank.completed, rank.offered), "flood_tokens",
                                          rank.floodTokens, "small_p95_first_token_ms",
                                          percentile95(rank.smallFirstTokenMs)));
        }
        json_object_set_new(scenario, "tokens_prefilled", json_real(result.prefilledTokens));
        json_object_set_new(scenario, "tokens_repeated", json_real(result.repeatedTokens));
        json_object_set_new(scenario, "tokens_recomputed", json_real(result.recomputedTokens));
        json_object_set_new(object, name.c_str(), scenario);
    }
    return object;
}

json_t *toJson(const DeploymentReport &report)
{
    json_t *rules = json_array();
    for (const RuleComparison &figure : report.comparisons) {
        json_array_append_new(rules,
                              json_pack("{s:s,s:s,s:s,s:f,s:f,s:b}", "rule", figure.rule.c_str(),
                                        "scenario", figure.scenario.c_str(), "figure",
                                        figure.metric.c_str(), "on", figure.enabledValue, "off",
                                        figure.disabledValue, "gain", figure.hasGain() ? 1 : 0));
    }
    json_t *targets = json_array();
    for (const Target &target : report.targets) {
        json_array_append_new(targets,
                              json_pack("{s:s,s:f,s:f,s:b}", "target", target.text.c_str(), "limit",
                                        target.limit, "measured", target.value, "met",
                                        target.isMet() ? 1 : 0));
    }
    const CostResult &cost = report.cost;
    return json_pack("{s:s,s:o,s:o,s:o,s:o,s:{s:f,s:f,s:f}}", "deployment", report.name.c_str(),
                     "rules", toJson(report.rulesResults), "round_robin",
                     toJson(report.roundRobinResults), "rules_off", rules, "targets", targets,
                     "cost_per_million_tokens", "rules", cost.rulesPrice, "on_demand_only",
                     cost.onDemandPrice, "round_robin", cost.roundRobinPrice);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Measures the decision code in virtual time.");
    absl::ParseCommandLine(argc, argv);
    json_t *reports = json_array();
    for (const Deployment &deployment : deployments()) {
        const DeploymentReport report = measureDeployment(deployment, absl::GetFlag(FLAGS_seeds),
                                                          absl::GetFlag(FLAGS_threads));
        if (absl::GetFlag(FLAGS_json))
            json_array_append_new(reports, toJson(report));
        else
            printText(report);
    }
    if (absl::GetFlag(FLAGS_json))
        std::printf("%s\n", sesame::dumpJson(reports).c_str());
    json_decref(reports);
    return 0;
}
