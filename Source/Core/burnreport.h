#pragma once

#include "Core/fleetconfig.h"
#include "Core/ports.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesame {

/*!
    Time window over which burn rates are calculated.
*/
struct BurnWindow
{
    std::string_view name;
    std::chrono::minutes length;
};

//! Short windows show a sudden loss of service; long windows show the remaining error budget.
constexpr std::array<BurnWindow, 4> burnWindows {{
        {"5m", std::chrono::minutes(5)},
        {"1h", std::chrono::hours(1)},
        {"6h", std::chrono::hours(6)},
        {"3d", std::chrono::hours(72)},
}};

struct BurnCount
{
    std::uint64_t good = 0; //!< Requests that met their targets.
    std::uint64_t total = 0; //!< All requests.
};

/*!
    Request counts of one rank and route. \c counts has the order of burnWindows.
*/
struct BurnRow
{
    Rank rank = Rank::Standard;
    std::string route; //!< Model name or route prefix.
    double objective = 0.0; //!< Share of requests that must meet their targets, 0 to 1.
    std::array<BurnCount, burnWindows.size()> counts;
};

struct BurnReport
{
    std::vector<BurnRow> rows; //!< Ordered by rank, then route.
};

/*!
    Returns the burn rate: the error rate of \a count divided by the error rate that \a objective
    allows. At a burn rate of 1, the error budget is used up exactly at the end of the window.
    Returns 0 if there are no requests.
*/
double burnRate(const BurnCount &count, double objective);

/*!
    Returns the remaining share of the error budget of the longest window. The value is negative if
    more requests have missed their targets than the objective allows.
*/
double budgetLeft(const BurnRow &row);

/*!
    Adds the counts of \a other to \a total, row by row.
*/
void mergeBurnReport(BurnReport &total, const BurnReport &other);

/*!
    Returns \a report as a text table with one line for each row and window.
*/
std::string formatBurnReport(const BurnReport &report);

/*!
    Counts good and total requests for each rank and route. Not thread-safe.
*/
class BurnAccumulator
{
public:
    /*!
        Counts a request that ended at \a now. \a good is true if it met its targets.
    */
    void record(Timestamp now, Rank rank, std::string_view route, bool good);

    /*!
        Returns the counts of all windows, which end at \a now, with the objectives of \a ranks.
    */
    BurnReport report(Timestamp now, const std::array<RankPolicy, rankCount> &ranks) const;

private:
    struct Bucket
    {
        std::int64_t minute = 0;
        BurnCount count;
    };
    using Key = std::pair<Rank, std::string>;

    std::map<Key, std::deque<Bucket>> m_buckets;
};

} // namespace sesame
