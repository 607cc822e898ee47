#include "Core/burnreport.h"

#include "Core/fleetfile.h"
#include "Core/printabletext.h"

#include <algorithm>
#include <cstdio>
#include <tuple>

namespace sesame {

namespace {

// Limits the memory if requests name an unlimited number of routes. A row takes up to 105 kB for
// 3 days.
constexpr std::size_t maxRows = 64;
constexpr std::string_view otherRoute = "(other)";

std::int64_t toMinute(Timestamp time)
{
    return std::chrono::floor<std::chrono::minutes>(time.time_since_epoch()).count();
}

void add(BurnCount &to, const BurnCount &from)
{
    to.good += from.good;
    to.total += from.total;
}

std::string formatLine(const BurnRow &row, std::size_t window)
{
    const BurnCount &count = row.counts[window];
    const std::string rank(toString(row.rank));
    const std::string name(burnWindows[window].name);
    const std::string route = escapeControls(row.route);
    char buf[192];
    std::snprintf(buf, sizeof(buf), "%-9s %-24.64s %9.5f %-6s %12llu %12llu %10.2f %11.1f%%\n",
                  rank.c_str(), route.c_str(), row.objective, name.c_str(),
                  static_cast<unsigned long long>(count.good),
                  static_cast<unsigned long long>(count.total), burnRate(count, row.objective),
                  100.0 * budgetLeft(row));
    return buf;
}

} // namespace

double burnRate(const BurnCount &count, double objective)
{
    if (count.total == 0 || objective >= 1.0)
        return 0.0;
    const auto bad = static_cast<double>(count.total - count.good);
    return bad / static_cast<double>(count.total) / (1.0 - objective);
}

double budgetLeft(const BurnRow &row)
{
    return 1.0 - burnRate(row.counts.back(), row.objective);
}

void mergeBurnReport(BurnReport &total, const BurnReport &other)
{
    const auto before = [](const BurnRow &a, const BurnRow &b) {
        return std::tie(a.rank, a.route) < std::tie(b.rank, b.route);
    };
    for (const BurnRow &row : other.rows) {
        const auto it = std::lower_bound(total.rows.begin(), total.rows.end(), row, before);
        if (it == total.rows.end() || before(row, *it)) {
            total.rows.insert(it, row);
            continue;
        }
        for (std::size_t i = 0; i < row.counts.size(); ++i)
            add(it->counts[i], row.counts[i]);
    }
}

std::string formatBurnReport(const BurnReport &report)
{
    char buf[192];
    std::snprintf(buf, sizeof(buf), "%-9s %-24s %9s %-6s %12s %12s %10s %12s\n", "rank", "route",
                  "objective", "window", "good", "total", "burn rate", "budget left");
    std::string text = buf;
    for (const BurnRow &row : report.rows) {
        for (std::size_t i = 0; i < burnWindows.size(); ++i)
            text += formatLine(row, i);
    }
    return text;
}

void BurnAccumulator::record(Timestamp now, Rank rank, std::string_view route, bool good)
{
    Key key {rank, std::string(route)};
    if (m_buckets.size() >= maxRows && !m_buckets.contains(key))
        key.second = otherRoute;
    std::deque<Bucket> &buckets = m_buckets[key];
    const std::int64_t minute = toMinute(now);
    // Threads may report slightly out of order. A late request counts for the newest minute.
    if (buckets.empty() || buckets.back().minute < minute)
        buckets.push_back({.minute = minute, .count = {}});
    add(buckets.back().count, {.good = good ? 1U : 0U, .total = 1});
    while (buckets.front().minute <= minute - burnWindows.back().length.count())
        buckets.pop_front();
}

BurnReport BurnAccumulator::report(Timestamp now,
                                   const std::array<RankPolicy, rankCount> &ranks) const
{
    const std::int64_t minute = toMinute(now);
    BurnReport report;
    for (const auto &[key, buckets] : m_buckets) {
        BurnRow row {.rank = key.first,
                     .route = key.second,
                     .objective = ranks[static_cast<std::size_t>(key.first)].objective,
                     .counts = {}};
        for (const Bucket &bucket : buckets) {
            for (std::size_t i = 0; i < burnWindows.size(); ++i) {
                if (bucket.minute > minute - burnWindows[i].length.count())
                    add(row.counts[i], bucket.count);
            }
        }
        report.rows.push_back(std::move(row));
    }
    return report;
}

} // namespace sesame
