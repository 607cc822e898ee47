#include "Adapter/burnjson.h"
#include "Adapter/metrics.h"
#include "Core/sesamecore.h"
#include "support/fleetfiles.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace sesame;
using namespace std::chrono_literals;

namespace {

std::array<RankPolicy, rankCount> makePolicies()
{
    std::array<RankPolicy, rankCount> policies;
    policies[0].objective = 0.95;
    policies[1].objective = 0.9;
    policies[2].objective = 0.9;
    return policies;
}

void record(BurnAccumulator &burn, Duration at, Rank rank, std::string_view route, int good,
            int bad)
{
    for (int i = 0; i < good + bad; ++i)
        burn.record(Timestamp(at), rank, route, i < good);
}

BurnReport makeReport()
{
    BurnAccumulator burn;
    record(burn, 1h, Rank::Urgent, "loft-assessment", 0, 50); // Older than 3 days at the end.
    record(burn, 2h, Rank::Urgent, "loft-assessment", 900, 100);
    record(burn, 70h, Rank::Urgent, "loft-assessment", 180, 20);
    record(burn, 73h, Rank::Urgent, "loft-assessment", 99, 1);
    record(burn, 73h + 28min, Rank::Urgent, "loft-assessment", 1, 9);
    record(burn, 73h + 28min, Rank::Batch, "quick-question", 10, 0);
    record(burn, 73h + 29min, Rank::Standard, "/orders/stock", 8, 2);
    return burn.report(Timestamp(73h + 30min), makePolicies());
}

/*!
    Compares \a text with the golden file \a name. With SESAME_WRITE_GOLDEN=1 in the environment,
    the file is written first.
*/
void compareGolden(const std::string &name, const std::string &text)
{
    const std::string path = "Tests/golden/" + name;
    if (std::getenv("SESAME_WRITE_GOLDEN"))
        std::ofstream(std::string(PROJECT_DIRECTORY "/") + path) << text;
    const std::string golden = readRepositoryFile(path);
    cr_expect_str_eq(text.c_str(), golden.c_str());
}

} // namespace

// Guards against unintended changes of the report that operators read.
Test(burnreport, textAndJsonMatchGoldenFiles)
{
    compareGolden("burnreport.txt", formatBurnReport(makeReport()));
    compareGolden("burnreport.json", dumpBurnReport(makeReport()) + "\n");
}

// Guards against windows that include too many or too few requests.
Test(burnreport, windowsEndAtTheReport)
{
    const BurnReport report = makeReport();
    cr_assert_eq(report.rows.size(), 3);
    const BurnRow &row = report.rows[0];
    cr_expect_eq(row.counts[0].total, 10);
    cr_expect_eq(row.counts[1].total, 110);
    cr_expect_eq(row.counts[2].total, 310);
    cr_expect_eq(row.counts[3].total, 1310);
    cr_expect_float_eq(burnRate(row.counts[0], row.objective), 18.0, 1e-9);
    cr_expect_float_eq(burnRate({}, 0.95), 0.0, 1e-9);
    cr_expect_lt(budgetLeft(row), 0.0);
}

// Guards against a fleet report that omits the counts of a node or includes them twice.
Test(burnreport, reportsOfNodesAreSummed)
{
    const auto parsed = parseBurnReport(dumpBurnReport(makeReport()));
    cr_assert(parsed.has_value());
    BurnReport total;
    mergeBurnReport(total, *parsed);
    mergeBurnReport(total, makeReport());
    cr_assert_eq(total.rows.size(), 3);
    cr_expect_eq(total.rows[0].counts[3].total, 2620);
    cr_expect_eq(total.rows[1].counts[0].good, 16);
    for (const char *json : {"", "{}", "{\"rows\":[{}]}", "{\"rows\":[{\"rank\":\"urgent\"}]}"})
        cr_expect_not(parseBurnReport(json).has_value(), "%s", json);
}

// Guards against unbounded memory use if requests name an unlimited number of routes.
Test(burnreport, routesAreBounded)
{
    BurnAccumulator burn;
    for (int i = 0; i < 1000; ++i)
        burn.record(Timestamp(1h), Rank::Batch, "route-" + std::to_string(i), true);
    const BurnReport report = burn.report(Timestamp(1h), makePolicies());
    cr_expect_leq(report.rows.size(), 65);
    std::uint64_t total = 0;
    for (const BurnRow &row : report.rows)
        total += row.counts[0].total;
    cr_expect_eq(total, 1000);
}

// Guards against wrong quantiles, mixed ranks, and counts lost between threads.
Test(metrics, rendersCountersAndQuantiles)
{
    Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&metrics] {
            for (int i = 1; i <= 1000; ++i) {
                metrics.recordFirstToken(Rank::Urgent, std::chrono::milliseconds((i * 7) % 1000));
                metrics.count("retries");
                metrics.recordResult(Rank::Batch, ResultCode::Overloaded);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const std::string text = metrics.render();
    const auto read = [&text](const std::string &name) {
        const std::size_t at = text.find("\n" + name + " ");
        cr_assert(at != std::string::npos, "no %s in:\n%s", name.c_str(), text.c_str());
        return std::stod(text.substr(at + name.size() + 2));
    };
    cr_expect(text.starts_with("retries 4000\n"));
    cr_expect_eq(read("requests{rank=\"batch\",result=\"overloaded\"}"), 4000);
    cr_expect_eq(read("first_token_ms_count{rank=\"urgent\"}"), 4000);
    cr_expect_eq(read("first_token_ms_count{rank=\"batch\"}"), 0);
    cr_expect_float_eq(read("first_token_ms{rank=\"urgent\",quantile=\"0.500\"}"), 500, 25);
    cr_expect_float_eq(read("first_token_ms{rank=\"urgent\",quantile=\"0.950\"}"), 950, 20);
    cr_expect_float_eq(read("first_token_ms{rank=\"urgent\",quantile=\"0.990\"}"), 990, 10);
}
