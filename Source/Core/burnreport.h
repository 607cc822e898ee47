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

struct BurnWindow
{
    std::string_view name;
    std::chrono::minutes length;
};

//! Short windows show a sudden loss of service, long ones what is left of the error budget.
constexpr std::array<BurnWindow, 4> burnWindows {{
        {"5m", std::chrono::minutes(5)},
        {"1h", std::chrono::hours(1)},
        {"6h", std::chrono::hours(6)},
        {"3d", std::chrono::hours(72)},
}};

struct BurnCount
{
    std::uint64_t good = 0;
    std::uint64_t total = 0;
};

/*!
    The requests of one rank and route. \c counts follow the order of burnWindows.
*/
struct BurnRow
{
    Rank rank = Rank::Standard;
    std::string route; //!< Model name or route prefix.
    double objective = 0.0;
    std::array<BurnCount, burnWindows.size()> counts;
};

struct BurnReport
{
    std::vector<BurnRow> rows; //!< Ordered by rank, then route.
};

/*!
    Returns the error rate of \a count divided by the error rate that \a objective allows:
    1 uses up the error budget exactly within the window. 0 without requests.
*/
double burnRate(const BurnCount &count, double objective);

/*!
    Returns the share of the error budget of the longest window that is left. Negative once more
    requests have missed their target than the objective allows.
*/
double budgetLeft(const BurnRow &row);

/*!
    Adds the counts of \a other to \a total.
*/
void mergeBurnReport(BurnReport &total, const BurnReport &other);

/*!
    Returns \a report as a table with one line for each row and window.
*/
std::string formatBurnReport(const BurnReport &report);

/*!
    Counts good and total requests for each rank and route. Not thread-safe.
*/
class BurnAccumulator
{
public:
    /*!
        Counts a request that ended at \a now; \a good states whether it met its targets.
    */
    void record(Timestamp now, Rank rank, std::string_view route, bool good);

    /*!
        Returns the counts of every window that ends at \a now, with the objectives of \a ranks.
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
